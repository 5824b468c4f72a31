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

// The classes of errors.
var (
	// Malformed means that a ticket or an effect identity cannot be parsed.
	Malformed = errs.Class("session")
	// Limit means that a bound on open tickets is reached.
	Limit = errs.Class("session limit")
)

// maxInstanceBytes bounds the instance name in a ticket.
const maxInstanceBytes = 128

const (
	secretDigits      = 32 // of a 128-bit secret
	incarnationDigits = 16
)

// Ticket names the issuing instance and incarnation and carries a 128-bit random secret.
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

// ParseTicket parses the text form of a ticket. It accepts only what String returns, so that equal tickets have equal text.
func ParseTicket(s string) (Ticket, error) {
	const instanceAt = secretDigits + 1 + incarnationDigits + 1
	if len(s) <= instanceAt || len(s) > instanceAt+maxInstanceBytes {
		return Ticket{}, Malformed.New("the ticket has %d characters; send the ticket as POST /session returned it", len(s))
	}
	var t Ticket
	var incarnation [8]byte
	if s[secretDigits] != '.' || s[instanceAt-1] != '.' ||
		!decodeHex(t.Secret[:], s[:secretDigits]) || !decodeHex(incarnation[:], s[secretDigits+1:instanceAt-1]) {
		return Ticket{}, Malformed.New("the ticket is not in the form secret.incarnation.instance; send it as POST /session returned it")
	}
	t.Incarnation = request.Incarnation(binary.BigEndian.Uint64(incarnation[:]))
	t.Instance = request.InstanceID(s[instanceAt:])
	if !printable(s[instanceAt:]) {
		return Ticket{}, Malformed.New("the ticket names no instance; send it as POST /session returned it")
	}
	return t, nil
}

// decodeHex decodes lower-case hexadecimal digits.
func decodeHex(dst []byte, s string) bool {
	if strings.ToLower(s) != s {
		return false
	}
	_, err := hex.Decode(dst, []byte(s))
	return err == nil
}

func printable(s string) bool {
	for i := range len(s) {
		if s[i] <= ' ' || s[i] > '~' {
			return false
		}
	}
	return true
}

// scopeID identifies a scope: a ticket, or a call whose nested effects are numbered.
type scopeID [16]byte

// scope derives the scope from the secret, so that an effect identity that other nodes see does not reveal the ticket.
func (t *Ticket) scope() scopeID {
	const label = "ticket"
	var b [len(label) + 16]byte
	copy(b[:], label)
	copy(b[len(label):], t.Secret[:])
	sum := sha256.Sum256(b[:])
	return scopeID(sum[:16])
}

// Effect is the identity of an effect: a scope and a number within it. Its size does not depend on the depth of the call.
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

// ParseEffect parses the text form of an effect.
func ParseEffect(s string) (Effect, error) {
	var e Effect
	scope, sequence, ok := strings.Cut(s, ".")
	n, err := strconv.ParseUint(sequence, 10, 64)
	if !ok || err != nil || len(scope) != secretDigits || !decodeHex(e.Scope[:], scope) {
		return Effect{}, Malformed.New("effect identity is not in the form scope.sequence; send it unchanged")
	}
	e.Sequence = request.Sequence(n)
	return e, nil
}

// nested returns the scope that numbers the nested effects of a call.
func (e Effect) nested() scopeID {
	const label = "nested"
	var b [len(label) + 16 + 8]byte
	copy(b[:], label)
	copy(b[len(label):], e.Scope[:])
	binary.BigEndian.PutUint64(b[len(label)+16:], uint64(e.Sequence))
	sum := sha256.Sum256(b[:])
	return scopeID(sum[:16])
}

// Nested returns the identity of the nested effect at a position of the call, counted from 1.
func (e Effect) Nested(position request.Sequence) Effect {
	return Effect{Scope: e.nested(), Sequence: position}
}

// KeyEffect returns the identity of an effect that carries only an idempotency key.
func KeyEffect(customer request.CustomerID, key string) Effect {
	sum := keySum(customer, key)
	return Effect{Scope: scopeID(sum[:16]), Sequence: 1}
}

func keySum(customer request.CustomerID, key string) [32]byte {
	b := make([]byte, 0, len("key")+len(customer)+len(key)+1)
	b = append(b, "key"...)
	b = append(b, customer...)
	b = append(b, 0)
	b = append(b, key...)
	return sha256.Sum256(b)
}
