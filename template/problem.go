package template

import "strings"

// Problem is one fault of a document.
type Problem struct {
	Field   string `json:"field"` // path of the field, for example "operations[2].class"
	Message string `json:"message"`
	Remedy  string `json:"remedy"`
}

// String returns the problem in one line.
func (p Problem) String() string {
	field := p.Field
	if field == "" {
		field = "document"
	}
	return field + ": " + p.Message + "; " + p.Remedy
}

// Invalid is the error for a document with one or more problems, in document order.
type Invalid struct {
	Problems []Problem
}

// Error returns all problems, one a line.
func (e *Invalid) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// maxProblems bounds the report about a document that is wrong throughout.
const maxProblems = 100

// report collects problems while a document is checked.
type report struct {
	problems []Problem
}

func (r *report) add(field, message, remedy string) {
	if len(r.problems) < maxProblems {
		r.problems = append(r.problems, Problem{Field: field, Message: message, Remedy: remedy})
	}
}

func (r *report) err() error {
	if len(r.problems) == 0 {
		return nil
	}
	return &Invalid{Problems: r.problems}
}
