package session

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"strconv"
	"strings"

	"github.com/zeebo/errs"

	"github.com/sapphiretack/sapphiretack/request"
)

// The error classes.
var (
	// Malformed means that a ticket or an effect identity cannot be parsed.
	Malformed = errs.Class("session")
	// LimitReached means that a limit on open tickets is reached.
	LimitReached = errs.Class("session limit")
)

// maxInstanceBytes is the maximum length of the instance name in a ticket.
const maxInstanceBytes = 128

const (
	secretHexDigits      = 32 // of a 128-bit secret
	incarnationHexDigits = 16
)

// Ticket identifies a session: the issuing instance and incarnation, and a 128-bit random secret.
type Ticket struct {
	Instance    request.InstanceID
	Incarnation request.Incarnation
	Secret      secret
}

// secret is the 128-bit random number of a ticket.
type secret [16]byte

// String returns the ticket as "secret.incarnation.instance", the first two in hexadecimal.
func (t Ticket) String() string {
	var incarnation [8]byte
	binary.BigEndian.PutUint64(incarnation[:], uint64(t.Incarnation))
	return hex.EncodeToString(t.Secret[:]) + "." + hex.EncodeToString(incarnation[:]) + "." + string(t.Instance)
}

// ParseTicket parses the text form of a ticket; the error is of class Malformed. It accepts only the exact form that String
// returns, so that each ticket has one text.
func ParseTicket(s string) (Ticket, error) {
	const instanceOffset = secretHexDigits + 1 + incarnationHexDigits + 1
	if len(s) <= instanceOffset || len(s) > instanceOffset+maxInstanceBytes {
		return Ticket{}, Malformed.New("the ticket has %d characters; send the ticket as POST /session returned it", len(s))
	}
	var t Ticket
	var incarnation [8]byte
	if s[secretHexDigits] != '.' || s[instanceOffset-1] != '.' ||
		!decodeHex(t.Secret[:], s[:secretHexDigits]) || !decodeHex(incarnation[:], s[secretHexDigits+1:instanceOffset-1]) {
		return Ticket{}, Malformed.New("the ticket is not in the form secret.incarnation.instance; send it as POST /session returned it")
	}
	t.Incarnation = request.Incarnation(binary.BigEndian.Uint64(incarnation[:]))
	t.Instance = request.InstanceID(s[instanceOffset:])
	if !isPrintable(s[instanceOffset:]) {
		return Ticket{}, Malformed.New("the ticket names no instance; send it as POST /session returned it")
	}
	return t, nil
}

// decodeHex decodes lower-case hexadecimal digits into dst and reports whether all are valid.
func decodeHex(dst []byte, s string) bool {
	if strings.ToLower(s) != s {
		return false
	}
	_, err := hex.Decode(dst, []byte(s))
	return err == nil
}

// isPrintable reports whether s consists of printable ASCII characters without blanks.
func isPrintable(s string) bool {
	for i := range len(s) {
		if s[i] <= ' ' || s[i] > '~' {
			return false
		}
	}
	return true
}

// scopeID identifies a scope: that of a ticket, or that of the effects nested under a call.
type scopeID [16]byte

// scopeID derives the ID of the ticket's scope from the secret by a hash, so that an effect identity that other nodes see does not reveal the
// ticket.
func (t *Ticket) scopeID() scopeID {
	const label = "ticket"
	var b [len(label) + 16]byte
	copy(b[:], label)
	copy(b[len(label):], t.Secret[:])
	sum := sha256.Sum256(b[:])
	return scopeID(sum[:16])
}

// Effect is the identity of an effect: a scope and a sequence within it. Its size does not depend on the nesting depth.
type Effect struct {
	Scope    scopeID
	Sequence request.Sequence
}

// String returns the effect as "scope.sequence", the scope in hexadecimal.
func (e Effect) String() string {
	return hex.EncodeToString(e.Scope[:]) + "." + strconv.FormatUint(uint64(e.Sequence), 10)
}

// IsZero reports whether the effect is unset.
func (e Effect) IsZero() bool { return e == Effect{} }

// ParseEffect parses the text form of an effect; the error is of class Malformed.
func ParseEffect(s string) (Effect, error) {
	var e Effect
	scope, sequence, ok := strings.Cut(s, ".")
	n, err := strconv.ParseUint(sequence, 10, 64)
	if !ok || err != nil || len(scope) != secretHexDigits || !decodeHex(e.Scope[:], scope) {
		return Effect{}, Malformed.New("effect identity is not in the form scope.sequence; send it unchanged")
	}
	e.Sequence = request.Sequence(n)
	return e, nil
}

// nestedScopeID returns the identifier of the scope of the effects nested under e.
func (e Effect) nestedScopeID() scopeID {
	const label = "nested"
	var b [len(label) + 16 + 8]byte
	copy(b[:], label)
	copy(b[len(label):], e.Scope[:])
	binary.BigEndian.PutUint64(b[len(label)+16:], uint64(e.Sequence))
	sum := sha256.Sum256(b[:])
	return scopeID(sum[:16])
}

// Nested returns the identity of the effect nested under e at a position, counted from 1.
func (e Effect) Nested(position request.Sequence) Effect {
	return Effect{Scope: e.nestedScopeID(), Sequence: position}
}

// KeyEffect returns the identity of an effect that carries only an idempotency key.
func KeyEffect(customer request.CustomerID, key string) Effect {
	sum := hashKey(customer, key)
	return Effect{Scope: scopeID(sum[:16]), Sequence: 1}
}

// hashKey hashes a customer and an idempotency key, with a separator so that different pairs have different hashes.
func hashKey(customer request.CustomerID, key string) [32]byte {
	b := make([]byte, 0, len("key")+len(customer)+len(key)+1)
	b = append(b, "key"...)
	b = append(b, customer...)
	b = append(b, 0)
	b = append(b, key...)
	return sha256.Sum256(b)
}
