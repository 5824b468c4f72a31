// Package logs writes log lines without ever blocking the process that logs.
//
// Lines go through a fixed buffer to one writer. A budget of lines a second bounds the volume; lines of level debug, which
// describe served requests, may use a quarter of it, so that failures and refusals are kept before them. What is left out is
// counted, and a line says so each second:
//
//	w := logs.New(os.Stdout, logs.DefaultSettings())
//	log := zerolog.New(w)
//	group.Add(func() error { return w.Run(ctx) }, ...)
package logs
