package exchange

import (
	"bytes"
	"net/http"
	"strings"
)

const (
	// maxStatusBytes is the length in bytes of the part of a status line in which the status has to end.
	maxStatusBytes = 32
	// maxNameBytes is the length in bytes of the part of a field name that is kept.
	maxNameBytes = len(transferEncoding) + 1
	// transferEncoding is the field that tells how a body is framed, in lower case. HTTP/1.0 has none, and net/http ignores it there.
	transferEncoding = "transfer-encoding"
)

// headState tells what the next byte of a response belongs to.
type headState uint8

const (
	inStatusLine headState = iota
	atLineStart
	inName
	inValue
	inBody
)

// head checks the head of a response, and those of the interim responses before it, byte by byte as they are read. The zero value is at the
// beginning of a response.
type head struct {
	state     headState
	status    [maxStatusBytes]byte // the beginning of the status line
	statusLen int
	name      [maxNameBytes]byte // the beginning of the field name, in lower case
	nameLen   int
	hasField  bool // whether a field has begun in this head
	afterCR   bool
	isInterim bool
	isOld     bool // whether the response is of HTTP/1.0
}

// check checks the next bytes of a response; the error is of class Error.
func (h *head) check(p []byte) error {
	for len(p) > 0 && h.state != inBody {
		if h.state == inValue {
			// net/http checks the values.
			end := bytes.IndexByte(p, '\n')
			if end < 0 {
				return nil
			}
			h.state, p = atLineStart, p[end+1:]
			continue
		}
		if err := h.next(p[0]); err != nil {
			return err
		}
		p = p[1:]
	}
	return nil
}

// next checks a byte that does not belong to a value or to the body.
func (h *head) next(b byte) error {
	if h.afterCR && b != '\n' {
		return Error.New("the head of the response has a carriage return within a line")
	}
	h.afterCR = b == '\r' && h.state != inName
	switch {
	case h.afterCR:
		return nil
	case h.state == inStatusLine:
		return h.nextOfStatusLine(b)
	case h.state == inName:
		return h.nextOfName(b)
	case b == '\n':
		next := inBody
		if h.isInterim {
			next = inStatusLine
		}
		*h = head{state: next}
		return nil
	case b == ' ' || b == '\t':
		if !h.hasField {
			return Error.New("the first line after the status line begins with a blank")
		}
		h.state = inValue // continues that of the line before
		return nil
	}
	h.state, h.nameLen, h.hasField = inName, 0, true
	return h.nextOfName(b)
}

func (h *head) nextOfStatusLine(b byte) error {
	switch {
	case b == '\n':
		h.state = atLineStart
		return h.endStatusLine()
	case b < ' ' && b != '\t' || b == 0x7f:
		return Error.New("the status line has the control byte %#02x", b)
	}
	if h.statusLen < maxStatusBytes {
		h.status[h.statusLen] = b
		h.statusLen++
	}
	return nil
}

// endStatusLine checks the version and the status.
func (h *head) endStatusLine() error {
	line := string(h.status[:h.statusLen])
	version, rest, _ := strings.Cut(line, " ")
	rest = strings.TrimLeft(rest, " ")
	status, _, _ := strings.Cut(rest, " ")
	switch {
	case len(version) != len("HTTP/1.1") || !strings.HasPrefix(version, "HTTP/1.") || !isDigit(version[len(version)-1]):
		return Error.New("the status line %.40q does not have a version of HTTP/1", line)
	case len(status) != 3 || status[0] < '1' || status[0] > '5' || !isDigit(status[1]) || !isDigit(status[2]):
		return Error.New("the status %.10q is not a number from 100 to 599", status)
	case status == "101":
		return Error.New("the response switches to another protocol, which no request asks for")
	}
	h.isInterim, h.isOld = status[0] == '1', strings.HasSuffix(version, "0")
	return nil
}

func (h *head) nextOfName(b byte) error {
	if b != ':' {
		if !isToken(b) {
			return Error.New("the name of a field has the byte %#02x", b)
		}
		if h.nameLen < maxNameBytes {
			h.name[h.nameLen] = b | 0x20
			h.nameLen++
		}
		return nil
	}
	h.state = inValue
	switch name := string(h.name[:h.nameLen]); {
	case name == "":
		return Error.New("a field has no name")
	case h.isOld && name == transferEncoding:
		return Error.New("a response of HTTP/1.0 has the field %s", http.CanonicalHeaderKey(name))
	}
	return nil
}

func isDigit(b byte) bool { return '0' <= b && b <= '9' }

// isToken reports whether a field name can have the byte.
func isToken(b byte) bool {
	return isDigit(b) || 'a' <= b|0x20 && b|0x20 <= 'z' || strings.IndexByte("!#$%&'*+-.^_`|~", b) >= 0
}
