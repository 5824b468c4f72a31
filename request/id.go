package request

import (
	crand "crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of errors for malformed identifiers.
var Error = errs.Class("request")

// ServiceID names a service, for example "racedesk".
type ServiceID string

// ZoneID names an availability zone, for example "plovdiv-a".
type ZoneID string

// RegionID names a region, for example "bg-south".
type RegionID string

// CustomerID names a customer from the operator's configuration.
type CustomerID string

// InstanceID names an instance, which is one backend server together with its node. Packages mesh and platform also use it for
// one incarnation of a backend server, under the identifier that the backend server reports.
type InstanceID string

// startMark separates an instance from the start time in an identifier of WithStart.
const startMark = "@"

// startModulus bounds the start times in identifiers, in milliseconds. They only tell apart incarnations that follow each other within
// minutes, and each entry that nodes tell each other has one.
const startModulus = 36 * 36 * 36 * 36

// WithStart returns the identifier of the incarnation of a backend server that started at the given time under the identifier id, which
// may have belonged to earlier incarnations; it returns id if the time is unknown.
func (id InstanceID) WithStart(start time.Time) InstanceID {
	if start.IsZero() {
		return id
	}
	return id + startMark + InstanceID(strconv.FormatInt(start.UnixMilli()%startModulus, 36))
}

// SplitStart returns the identifier that the backend server reports, and its start time as in WithStart or "" if it is unknown.
func (id InstanceID) SplitStart() (reported InstanceID, start string) {
	i := strings.LastIndex(string(id), startMark)
	if i < 0 {
		return id, ""
	}
	return id[:i], string(id[i+len(startMark):])
}

// Operation names an operation of a service, for example "record-arrival".
type Operation string

// Incarnation identifies one run of a node process; a later incarnation of the same instance has a higher value.
type Incarnation uint64

// NewIncarnation returns an incarnation with the start time in Unix milliseconds in its upper 48 bits. The lower 16 bits are
// random, to tell apart processes started in the same millisecond.
func NewIncarnation(start time.Time, random *rand.Rand) Incarnation {
	return Incarnation(uint64(start.UnixMilli())<<16 | random.Uint64()&0xffff)
}

// NewRandom returns a cryptographically strong random source, since identifiers and tickets must not be predictable.
func NewRandom() *rand.Rand {
	var seed [32]byte
	// crypto/rand.Read never fails since Go 1.24.
	_, _ = crand.Read(seed[:])
	return rand.New(rand.NewChaCha8(seed))
}

// ID identifies a request; a caller that resends a request uses the same ID.
type ID [16]byte

// NewID returns a random ID.
func NewID(random *rand.Rand) ID {
	var id ID
	binary.BigEndian.PutUint64(id[:8], random.Uint64())
	binary.BigEndian.PutUint64(id[8:], random.Uint64())
	return id
}

// ParseID parses 32 hexadecimal digits; the error is of class Error.
func ParseID(s string) (ID, error) {
	var id ID
	if len(s) != hex.EncodedLen(len(id)) {
		return ID{}, Error.New("request ID has %d characters; send 32 hexadecimal digits", len(s))
	}
	if _, err := hex.Decode(id[:], []byte(s)); err != nil {
		return ID{}, Error.New("request ID is not hexadecimal; send 32 hexadecimal digits")
	}
	return id, nil
}

// String returns the ID as 32 hexadecimal digits.
func (id ID) String() string { return hex.EncodeToString(id[:]) }

// IsZero reports whether the ID is unset.
func (id ID) IsZero() bool { return id == ID{} }

// AttemptID identifies one attempt of one call; it is unique across nodes because it contains the source's incarnation.
type AttemptID struct {
	Source Incarnation
	Number uint64
}

// String returns the attempt ID as "source.number" in hexadecimal.
func (a AttemptID) String() string {
	return strconv.FormatUint(uint64(a.Source), 16) + "." + strconv.FormatUint(a.Number, 16)
}

// Fingerprint is a hash of the content of a request, independent of its request ID.
type Fingerprint uint64

// FingerprintOf returns the FNV-1a hash of the customer, the service, the operation and the body.
func FingerprintOf(customer CustomerID, service ServiceID, op Operation, body []byte) Fingerprint {
	return fingerprintOf(body, string(customer), string(service), string(op))
}

// HTTPFingerprintOf returns the FNV-1a hash of the method, the host, the path with the query, and the body or its beginning.
func HTTPFingerprintOf(method, host, target string, body []byte) Fingerprint {
	return fingerprintOf(body, method, host, target)
}

func fingerprintOf(body []byte, fields ...string) Fingerprint {
	h := fnv.New64a()
	for _, field := range fields {
		h.Write([]byte(field))
		h.Write([]byte{0})
	}
	h.Write(body)
	return Fingerprint(h.Sum64())
}

// String returns the fingerprint as 16 hexadecimal digits.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(f)) }

// ParseFingerprint parses the hexadecimal digits of a fingerprint; the error is that of strconv.ParseUint.
func ParseFingerprint(text string) (Fingerprint, error) {
	f, err := strconv.ParseUint(text, 16, 64)
	return Fingerprint(f), err
}

// Sequence is the sequence number of an effect under a ticket, from 1.
type Sequence uint64

// Instant is a point in monotonic time, in nanoseconds since the process started.
type Instant int64

// Add returns the instant t+d.
func (t Instant) Add(d time.Duration) Instant { return t + Instant(d) }

// Sub returns the duration t-u.
func (t Instant) Sub(u Instant) time.Duration { return time.Duration(t - u) }
