package settings

import (
	"bytes"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

// Position returns the position of a field, such as "operations[2].class", in a document of JSON with comments: its line and
// column in bytes, both from 1. For a missing field it returns the position of the innermost enclosing object or list that
// exists, and for a document that does not parse the position of the syntax error.
func Position(document []byte, field string) (line, column int) {
	root, err := hujson.Parse(bytes.Clone(document))
	if err != nil {
		r := reader{data: document}
		r.addSyntaxError(err)
		return r.problems[0].Line, r.problems[0].Column
	}
	return lineColumn(document, offsetOf(root, strings.FieldsFunc(field, func(c rune) bool { return c == '.' || c == '[' || c == ']' })))
}

// offsetOf returns the offset of the value at the path, or of the last value on the path that exists.
func offsetOf(v hujson.Value, path []string) int {
	if len(path) == 0 {
		return v.StartOffset
	}
	switch value := v.Value.(type) {
	case *hujson.Object:
		for _, m := range value.Members {
			if m.Name.Value.(hujson.Literal).String() == path[0] {
				return offsetOf(m.Value, path[1:])
			}
		}
	case *hujson.Array:
		if i, err := strconv.Atoi(path[0]); err == nil && i >= 0 && i < len(value.Elements) {
			return offsetOf(value.Elements[i], path[1:])
		}
	}
	return v.StartOffset
}

// lineColumn converts an offset into a line and column, both from 1; the column counts bytes.
func lineColumn(data []byte, offset int) (line, column int) {
	before := data[:min(offset, len(data))]
	return 1 + bytes.Count(before, []byte("\n")), len(before) - bytes.LastIndexByte(before, '\n')
}
