package settings

import (
	"fmt"
	"strings"
)

// Problem is an error in a file, with its position and a remedy.
type Problem struct {
	File   string `json:"file"`
	Line   int    `json:"line"`   // from 1
	Column int    `json:"column"` // from 1, in bytes
	Field  string `json:"field"`  // path of the field, such as "listeners.peer"
	Found  string `json:"found"`
	Remedy string `json:"remedy"`
}

// String returns the problem on one line in the form "file:line:column: field: found; remedy".
func (p Problem) String() string {
	field := p.Field
	if field == "" {
		field = "file"
	}
	return fmt.Sprintf("%s:%d:%d: %s: %s; %s", p.File, p.Line, p.Column, field, p.Found, p.Remedy)
}

// ValidationError is the error of an invalid file; it has all problems found in the file.
type ValidationError []Problem

// Error returns the problems, one per line.
func (p ValidationError) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}
