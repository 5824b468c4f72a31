// Package route implements the routing table of a source. It selects the
// instance for each attempt and decides which requests the first node sheds
// because a service further down their path would refuse them.
//
//	table := route.New(settings, random)
//	table.Update(members)
//	if table.Shed(now, service, operation, priority) {
//		// refuse: early_shed
//	}
//	choice, result := table.Pick(now, service, priority, nil)
//	if result == route.Picked {
//		table.Begin(now, choice.Instance)
//		// send, and when the attempt has ended:
//		table.Done(choice.Instance)
//		table.RecordLoad(now, choice.Instance, load)
//		table.RecordLevel(now, service, operation, pathLevel)
//	}
//
// A Table is not safe for concurrent use.
package route
