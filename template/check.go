package template

import (
	"fmt"
	"strconv"
	"strings"
)

// maxNameBytes keeps table keys and metric labels short.
const maxNameBytes = 64

const nameRemedy = "use 1 to 64 lower-case letters, digits, '-', '_' or '.', beginning with a letter or digit"

// CheckName checks the name of a template, customer, service or operation; the error is *ValidationError.
func CheckName(name string) error {
	if !validName(name) {
		return &ValidationError{Problems: []Problem{{Field: "name", Message: fmt.Sprintf("%q is not a name", truncate(name)), Remedy: nameRemedy}}}
	}
	return nil
}

func validName(name string) bool {
	if name == "" || len(name) > maxNameBytes {
		return false
	}
	for i := range len(name) {
		c := name[i]
		letter := c >= 'a' && c <= 'z' || c >= '0' && c <= '9'
		if !letter && (i == 0 || c != '-' && c != '_' && c != '.') {
			return false
		}
	}
	return true
}

// truncate truncates untrusted text to maxNameBytes before it goes into a message.
func truncate(s string) string {
	if len(s) > maxNameBytes {
		return s[:maxNameBytes] + "..."
	}
	return s
}

// checkObject reports whether v is an object. A field that is unknown or duplicate is a problem too, but the result stays true.
func (r *report) checkObject(v *value, path string, known ...string) bool {
	if v.kind != objectKind {
		r.add(path, "is "+kindNames[v.kind], "write an object with the fields "+strings.Join(known, ", "))
		return false
	}
	for i, f := range v.fields {
		if !contains(known, f.name) {
			r.add(fieldPath(path, truncate(f.name)), "is not a known field", "remove it; the fields are "+strings.Join(known, ", "))
		}
		for _, earlier := range v.fields[:i] {
			if earlier.name == f.name {
				r.add(fieldPath(path, truncate(f.name)), "is given twice", "keep one of them")
				break
			}
		}
	}
	return true
}

// array returns the items of a required array field, or nil if it has a problem.
func (r *report) array(v *value, path, name string, limit int) []value {
	f := v.get(name)
	if f == nil {
		r.add(fieldPath(path, name), "is missing", "add an array")
		return nil
	}
	if f.kind != arrayKind {
		r.add(fieldPath(path, name), "is "+kindNames[f.kind], "write an array")
		return nil
	}
	if len(f.items) > limit {
		r.add(fieldPath(path, name), fmt.Sprintf("has %d entries", len(f.items)), fmt.Sprintf("keep at most %d", limit))
		return nil
	}
	return f.items
}

// name returns the text of a required field that must be a valid name, or "" if it has a problem.
func (r *report) name(v *value, path, name string) string {
	f := v.get(name)
	switch {
	case f == nil:
		r.add(fieldPath(path, name), "is missing", nameRemedy)
	case f.kind != stringKind:
		r.add(fieldPath(path, name), "is "+kindNames[f.kind], nameRemedy)
	case !validName(f.text):
		r.add(fieldPath(path, name), fmt.Sprintf("%q is not a name", truncate(f.text)), nameRemedy)
	default:
		return f.text
	}
	return ""
}

// boolean returns the value of a required boolean field, or false if it has a problem.
func (r *report) boolean(v *value, path, name, remedy string) bool {
	f := v.get(name)
	switch {
	case f == nil:
		r.add(fieldPath(path, name), "is missing", remedy)
	case f.kind != boolKind:
		r.add(fieldPath(path, name), "is "+kindNames[f.kind], "write true or false")
	default:
		return f.text == "true"
	}
	return false
}

// integer returns the value of an integer within [low, high]; ok is false if f is nil or has a problem.
func (r *report) integer(f *value, path string, low, high int64) (n int64, ok bool) {
	remedy := fmt.Sprintf("write a whole number from %d to %d", low, high)
	if f == nil {
		r.add(path, "is missing", remedy)
		return 0, false
	}
	if f.kind != numberKind {
		r.add(path, "is "+kindNames[f.kind], remedy)
		return 0, false
	}
	n, err := strconv.ParseInt(f.text, 10, 64)
	if err != nil || n < low || n > high {
		r.add(path, "is "+truncate(f.text), remedy)
		return 0, false
	}
	return n, true
}

func fieldPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func contains(list []string, s string) bool {
	for _, e := range list {
		if e == s {
			return true
		}
	}
	return false
}
