// Package route is a source's table of the instances of each service. It
// decides where an attempt goes and which requests the first node sheds
// because a service further down their path sheds them.
//
//	table := route.New(settings, random)
//	table.Update(members)
//	if table.Shed(now, service, operation, priority) {
//		// refuse: early_shed
//	}
//	choice, verdict := table.Pick(now, service, priority, nil)
//	if verdict == route.Picked {
//		table.Begin(now, choice.Instance)
//		// send, and when the attempt has ended:
//		table.Done(choice.Instance)
//		table.Observe(now, choice.Instance, load)
//		table.ObserveLevel(now, service, operation, load.PathLevel)
//	}
//
// The table holds no lock; its owner serialises the calls.
package route
