package settings

import (
	"bytes"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

// Place returns the line and column, from 1, of a field such as "operations[2].class" in a document of JSON with
// comments. A field that is missing has the place of the innermost object or list that should hold it.
func Place(document []byte, field string) (line, column int) {
	root, err := hujson.Parse(bytes.Clone(document))
	if err != nil {
		r := reader{data: document}
		r.syntax(err)
		return r.problems[0].Line, r.problems[0].Column
	}
	return lineColumn(document, find(root, strings.FieldsFunc(field, func(c rune) bool { return c == '.' || c == '[' || c == ']' })))
}

// find follows the path as far as it exists and returns the offset there.
func find(v hujson.Value, path []string) int {
	if len(path) == 0 {
		return v.StartOffset
	}
	switch value := v.Value.(type) {
	case *hujson.Object:
		for _, m := range value.Members {
			if m.Name.Value.(hujson.Literal).String() == path[0] {
				return find(m.Value, path[1:])
			}
		}
	case *hujson.Array:
		if i, err := strconv.Atoi(path[0]); err == nil && i >= 0 && i < len(value.Elements) {
			return find(value.Elements[i], path[1:])
		}
	}
	return v.StartOffset
}

// lineColumn converts an offset into a line and a column in bytes, both from 1.
func lineColumn(data []byte, offset int) (line, column int) {
	before := data[:min(offset, len(data))]
	return 1 + bytes.Count(before, []byte("\n")), len(before) - bytes.LastIndexByte(before, '\n')
}
