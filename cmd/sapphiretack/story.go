package main

import (
	"context"
	"os"
	"strings"

	"github.com/integrii/flaggy"

	"github.com/sapphiretack/sapphiretack/logs"
)

func storyCommand(parser *flaggy.Parser, output *outputFlags) command {
	var files []string
	var id string
	sub := newCommand(&parser.Subcommand, output, "story", "show from the logs of nodes what happened to a request and why",
		"sapphiretack story --log a.log --log b.log 9c41d07be2a35f68")
	sub.StringSlice(&files, "l", "log", "log file of one or more nodes; can be repeated")
	sub.AddPositionalValue(&id, "REQUEST", 1, true, "identifier of the request")
	return command{sub: sub, run: func(_ context.Context, p *printer) error {
		if len(files) == 0 {
			return usageError.New("the log files are missing; give --log FILE")
		}
		var lines []logs.Line
		for _, file := range files {
			found, err := readLog(file, strings.TrimSpace(id))
			if err != nil {
				return err
			}
			lines = append(lines, found...)
		}
		return logs.Explain(p.out, id, lines)
	}}
}

func readLog(file, id string) ([]logs.Line, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return logs.Read(f, id)
}
