package settings

import (
	"cmp"
	"fmt"
	"math"
	"net/netip"
	"net/url"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/tailscale/hujson"
)

// reader collects the problems of one file.
type reader struct {
	file     string
	data     []byte
	problems ValidationError
}

// parse returns the root object of the file, or nil if the file is not a JSON object.
func (r *reader) parse() *object {
	root, err := hujson.Parse(r.data)
	if err != nil {
		r.addSyntaxError(err)
		return nil
	}
	members, ok := root.Value.(*hujson.Object)
	if !ok {
		r.add(root.StartOffset, "", "found "+describe(root), "write one object in braces")
		return nil
	}
	return r.object("", root.StartOffset, members)
}

// addSyntaxError adds a syntax error as a problem; its position is taken from the start of the parser's message.
func (r *reader) addSyntaxError(err error) {
	line, column := 1, 1
	message := strings.TrimPrefix(err.Error(), "hujson: ")
	if _, scanErr := fmt.Sscanf(message, "line %d, column %d", &line, &column); scanErr == nil {
		if _, rest, found := strings.Cut(message, ": "); found {
			message = rest
		}
	}
	r.problems = append(r.problems, Problem{
		File: r.file, Line: line, Column: column,
		Found: message, Remedy: "write JSON; comments and trailing commas are allowed",
	})
}

// add adds a problem at an offset of the file.
func (r *reader) add(offset int, field, found, remedy string) {
	line, column := lineColumn(r.data, offset)
	r.problems = append(r.problems, Problem{File: r.file, Line: line, Column: column, Field: field, Found: found, Remedy: remedy})
}

// result returns the problems sorted by position, or nil if there are none.
func (r *reader) result() error {
	if len(r.problems) == 0 {
		return nil
	}
	slices.SortStableFunc(r.problems, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	return r.problems
}

// object reads the members of a JSON object; a missing object is read as an empty one at the position of its parent.
type object struct {
	r           *reader
	path        string
	offset      int
	members     map[string]hujson.Value
	nameOffsets map[string]int // offsets of the member names
	known       []string
}

func (r *reader) object(path string, offset int, o *hujson.Object) *object {
	result := &object{r: r, path: path, offset: offset, members: map[string]hujson.Value{}, nameOffsets: map[string]int{}}
	for _, m := range o.Members {
		name := m.Name.Value.(hujson.Literal).String()
		if _, duplicate := result.members[name]; duplicate {
			r.add(m.Name.StartOffset, result.field(name), "the field is set twice", "remove one of the two")
			continue
		}
		result.members[name] = m.Value
		result.nameOffsets[name] = m.Name.StartOffset
	}
	return result
}

func (o *object) field(name string) string {
	if o.path == "" {
		return name
	}
	return o.path + "." + name
}

// valueOffset returns the offset of a member's value, or of the object if the member is missing.
func (o *object) valueOffset(name string) int {
	if v, ok := o.members[name]; ok {
		return v.StartOffset
	}
	return o.offset
}

func (o *object) has(name string) bool {
	_, ok := o.members[name]
	return ok
}

func (o *object) add(name, found, remedy string) {
	o.r.add(o.valueOffset(name), o.field(name), found, remedy)
}

// member returns a member's value and records its name as known.
func (o *object) member(name string) (hujson.Value, bool) {
	if !slices.Contains(o.known, name) {
		o.known = append(o.known, name)
	}
	v, ok := o.members[name]
	return v, ok
}

// checkUnknown adds a problem for each member whose name is not known.
func (o *object) checkUnknown() {
	for name := range o.members {
		if !slices.Contains(o.known, name) {
			o.r.add(o.nameOffsets[name], o.field(name), "the field is unknown", "remove it or use one of: "+strings.Join(o.known, ", "))
		}
	}
}

func (o *object) child(name string) *object {
	v, ok := o.member(name)
	if ok {
		if members, isObject := v.Value.(*hujson.Object); isObject {
			return o.r.object(o.field(name), v.StartOffset, members)
		}
		o.add(name, "found "+describe(v), "write an object in braces")
	}
	return o.r.object(o.field(name), o.valueOffset(name), &hujson.Object{})
}

// readSection reads a child object with the function and adds a problem for each of its unknown members.
func readSection[T any](o *object, name string, read func(*object) T) T {
	child := o.child(name)
	result := read(child)
	child.checkUnknown()
	return result
}

func (o *object) elements(name string) []hujson.Value {
	v, ok := o.member(name)
	if !ok {
		return nil
	}
	array, isArray := v.Value.(*hujson.Array)
	if !isArray {
		o.add(name, "found "+describe(v), "write a list in brackets")
		return nil
	}
	return array.Elements
}

// text reads an optional string.
func (o *object) text(name, fallback string) string {
	v, ok := o.member(name)
	if !ok {
		return fallback
	}
	literal, isLiteral := v.Value.(hujson.Literal)
	if !isLiteral || literal.Kind() != '"' {
		o.add(name, "found "+describe(v), "write a string in double quotes")
		return fallback
	}
	return literal.String()
}

// required reports whether a member is present, and adds a problem if it is not.
func (o *object) required(name, remedy string) bool {
	if _, ok := o.member(name); !ok {
		o.add(name, "the field is missing", remedy)
		return false
	}
	return true
}

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

const nameRemedy = "write 1 to 63 lower-case letters, digits and inner hyphens"

// name reads a required name; its characters are restricted because it becomes part of messages, metrics and keys.
func (o *object) name(name string) string {
	if !o.required(name, nameRemedy) {
		return ""
	}
	s, isString := o.textValue(name)
	if isString && !namePattern.MatchString(s) {
		o.add(name, fmt.Sprintf("found %q", s), nameRemedy)
	}
	return s
}

// textValue reads a string and reports whether the member is present and a string.
func (o *object) textValue(name string) (string, bool) {
	before := len(o.r.problems)
	s := o.text(name, "")
	return s, o.has(name) && len(o.r.problems) == before
}

func (o *object) integer(name string, fallback, low, high int) int {
	remedy := fmt.Sprintf("write an integer from %d to %d", low, high)
	v, ok := o.member(name)
	if !ok {
		return fallback
	}
	literal, isLiteral := v.Value.(hujson.Literal)
	if !isLiteral || literal.Kind() != '0' {
		o.add(name, "found "+describe(v), remedy)
		return fallback
	}
	n, err := strconv.ParseInt(string(literal), 10, 64)
	if err != nil || n < int64(low) || n > int64(high) {
		o.add(name, "found "+string(literal), remedy)
		return fallback
	}
	return int(n)
}

// duration reads an integer number of milliseconds.
func (o *object) duration(name string, fallback, low, high time.Duration) time.Duration {
	ms := o.integer(name, int(fallback.Milliseconds()), int(low.Milliseconds()), int(high.Milliseconds()))
	return time.Duration(ms) * time.Millisecond
}

func (o *object) number(name string, fallback, low, high float64) float64 {
	remedy := fmt.Sprintf("write a number from %v to %v", low, high)
	v, ok := o.member(name)
	if !ok {
		return fallback
	}
	literal, isLiteral := v.Value.(hujson.Literal)
	if !isLiteral || literal.Kind() != '0' {
		o.add(name, "found "+describe(v), remedy)
		return fallback
	}
	f, err := strconv.ParseFloat(string(literal), 64)
	if err != nil || math.IsNaN(f) || f < low || f > high {
		o.add(name, "found "+string(literal), remedy)
		return fallback
	}
	return f
}

const addressRemedy = `write an IP address and a port, such as "10.20.1.11:7400" or "[fd00::1]:7400"`

// address reads an IP address and port, or returns the zero AddrPort if the member is missing or invalid.
func (o *object) address(name string) netip.AddrPort {
	s, isString := o.textValue(name)
	if !isString {
		return netip.AddrPort{}
	}
	return o.r.address(o.valueOffset(name), o.field(name), s)
}

func (r *reader) address(offset int, field, s string) netip.AddrPort {
	address, err := netip.ParseAddrPort(s)
	if err != nil || address.Port() == 0 {
		r.add(offset, field, fmt.Sprintf("found %q", s), addressRemedy)
		return netip.AddrPort{}
	}
	return address
}

// httpURL reads an http or https URL whose host is an IP address and port, or returns nil if the member is missing or invalid.
func (o *object) httpURL(name string) *url.URL {
	const remedy = `write an http URL with an IP address and a port, such as "http://10.20.0.5:7300"`
	s, isString := o.textValue(name)
	if !isString {
		return nil
	}
	u, err := url.Parse(s)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.User != nil || u.RawQuery != "" || u.Fragment != "" {
		o.add(name, fmt.Sprintf("found %q", s), remedy)
		return nil
	}
	if address, err := netip.ParseAddrPort(u.Host); err != nil || address.Port() == 0 {
		o.add(name, fmt.Sprintf("found %q", s), remedy)
		return nil
	}
	return u
}

// describe returns the type of a value, and the text of a literal, for messages.
func describe(v hujson.Value) string {
	switch value := v.Value.(type) {
	case *hujson.Object:
		return "an object"
	case *hujson.Array:
		return "a list"
	case hujson.Literal:
		switch value.Kind() {
		case '"':
			return "the string " + string(value)
		case '0':
			return "the number " + string(value)
		}
		return string(value)
	}
	return "nothing"
}
