package template

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
)

// Limits on the size and nesting of a document. Table rows store documents in base64, so that a row stays under 100 KiB; the
// limit for a row is 1 MiB.
const (
	MaxDocumentBytes = 64 << 10
	maxDepth         = 8
)

type kind uint8

const (
	nullKind kind = iota
	boolKind
	numberKind
	stringKind
	arrayKind
	objectKind
)

var kindNames = [...]string{"null", "a boolean", "a number", "a string", "an array", "an object"}

// value is a parsed JSON value. Documents are parsed into a tree and then checked field by field, since encoding/json stops at
// the first unknown field.
type value struct {
	kind   kind
	text   string // content of a string, literal of a number, or "true" or "false"
	items  []value
	fields []field
}

type field struct {
	name  string
	value value
}

// get returns the value of the first field with the name, or nil.
func (v *value) get(name string) *value {
	for i := range v.fields {
		if v.fields[i].name == name {
			return &v.fields[i].value
		}
	}
	return nil
}

// parse parses a document that consists of exactly one JSON value.
func parse(document []byte) (value, error) {
	if len(document) > MaxDocumentBytes {
		return value{}, fmt.Errorf("the document has %d bytes, the limit is %d", len(document), MaxDocumentBytes)
	}
	d := json.NewDecoder(bytes.NewReader(document))
	d.UseNumber()
	v, err := parseValue(d, 0)
	if err != nil {
		return value{}, syntaxError(d, err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return value{}, fmt.Errorf("there is text after the document at byte %d", d.InputOffset())
	}
	return v, nil
}

func syntaxError(d *json.Decoder, err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return errors.New("the document ends too early")
	}
	return fmt.Errorf("the document is not valid JSON at byte %d: %w", d.InputOffset(), err)
}

func parseValue(d *json.Decoder, depth int) (value, error) {
	if depth > maxDepth {
		return value{}, fmt.Errorf("values are nested deeper than %d", maxDepth)
	}
	token, err := d.Token()
	if err != nil {
		return value{}, err
	}
	switch token := token.(type) {
	case json.Delim:
		if token == '{' {
			return parseObject(d, depth)
		}
		return parseArray(d, depth)
	case string:
		return value{kind: stringKind, text: token}, nil
	case json.Number:
		return value{kind: numberKind, text: token.String()}, nil
	case bool:
		return value{kind: boolKind, text: strconv.FormatBool(token)}, nil
	}
	return value{}, nil
}

func parseObject(d *json.Decoder, depth int) (value, error) {
	v := value{kind: objectKind}
	for d.More() {
		token, err := d.Token()
		if err != nil {
			return value{}, err
		}
		name, _ := token.(string)
		child, err := parseValue(d, depth+1)
		if err != nil {
			return value{}, err
		}
		v.fields = append(v.fields, field{name: name, value: child})
	}
	_, err := d.Token()
	return v, err
}

func parseArray(d *json.Decoder, depth int) (value, error) {
	v := value{kind: arrayKind}
	for d.More() {
		child, err := parseValue(d, depth+1)
		if err != nil {
			return value{}, err
		}
		v.items = append(v.items, child)
	}
	_, err := d.Token()
	return v, err
}
