package template

import "strings"

// Problem is a single validation error of a document.
type Problem struct {
	Field   string `json:"field"` // path of the field, such as "operations[2].class"; empty for the whole document
	Message string `json:"message"`
	Remedy  string `json:"remedy"`
}

// String returns the problem on one line.
func (p Problem) String() string {
	field := p.Field
	if field == "" {
		field = "document"
	}
	return field + ": " + p.Message + "; " + p.Remedy
}

// ValidationError is the error for a document that has one or more problems, in the order in which they were found.
type ValidationError struct {
	Problems []Problem
}

// Error returns the problems, one per line.
func (e *ValidationError) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// maxProblems limits the size of the error for a document with very many problems.
const maxProblems = 100

// report collects the problems of a document during validation.
type report struct {
	problems []Problem
}

func (r *report) add(field, message, remedy string) {
	if len(r.problems) < maxProblems {
		r.problems = append(r.problems, Problem{Field: field, Message: message, Remedy: remedy})
	}
}

func (r *report) asError() error {
	if len(r.problems) == 0 {
		return nil
	}
	return &ValidationError{Problems: r.problems}
}
