// Package logs writes log lines without blocking the process that logs, and reads them to explain what happened to a request.
//
// Lines pass through a buffer of fixed size to one writer. Their rate is limited; lines of level debug, which describe served
// requests, may use a quarter of the limit by default, so that failures and refusals are not displaced. Dropped lines are
// counted and reported in one line per second:
//
//	w := logs.New(os.Stdout, logs.DefaultSettings())
//	log := zerolog.New(w)
//	group.Add(func() error { return w.Run(ctx) }, ...)
//
// Read returns the lines about a request, and Explain describes what happened to it:
//
//	lines, err := logs.Read(file, requestID)
//	err = logs.Explain(os.Stdout, requestID, lines)
package logs
