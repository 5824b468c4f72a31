package session

import (
	"encoding/hex"
	"encoding/json"
	"math/rand/v2"

	"github.com/sapphiretack/sapphiretack/request"
	"github.com/sapphiretack/sapphiretack/store"
)

// claimPrefix begins the keys of claim rows.
const claimPrefix = "claim/"

// MaxIdempotencyKeyBytes bounds an idempotency key.
const MaxIdempotencyKeyBytes = 256

// ClaimSettings configures Claims. A zero bound means its default.
type ClaimSettings struct {
	Instance    request.InstanceID
	Incarnation request.Incarnation
	Batch       int // claims in one transaction
	Queue       int // claims that wait for a transaction
	Attempts    int // transactions for one claim
}

// The defaults. The platform takes several hundred writes a second, so claims that arrive while a transaction is in flight
// share the next one.
const (
	defaultClaimBatch    = 64
	defaultClaimQueue    = 1024
	defaultClaimAttempts = 4
)

// Claim asks for the right to run the effect of an idempotency key.
type Claim struct {
	Customer  request.CustomerID
	Key       string
	FirstSend bool // the caller states that it has not sent the request before
	Deadline  request.Instant
	Waiter    Waiter
}

// Nonce identifies one claim, so that its owner recognizes it when it reads the row back.
type Nonce [16]byte

// claimRow is the value of a claim row.
type claimRow struct {
	Instance    request.InstanceID  `json:"instance"`
	Incarnation request.Incarnation `json:"incarnation"`
	Nonce       string              `json:"nonce"`
}

// ClaimEvent is an event of Claims.
type ClaimEvent interface{ claimEvent() }

// The events. ClaimCommitted and ClaimRead answer the actions with the same batch number.
type (
	// ClaimRequested asks for a claim.
	ClaimRequested struct{ Claim Claim }
	// ClaimReleased gives up a granted claim whose effect is proven not run.
	ClaimReleased struct {
		Customer request.CustomerID
		Key      string
	}
	// ClaimFinished ends a granted claim whose effect ran or may have run; its row stays.
	ClaimFinished struct {
		Customer request.CustomerID
		Key      string
	}
	// ClaimCommitted is the result of CommitClaims.
	ClaimCommitted struct {
		Batch uint64
		Err   error
	}
	// ClaimRead is the result of ReadClaims.
	ClaimRead struct {
		Batch uint64
		Rows  []store.Row
		Err   error
	}
)

func (ClaimRequested) claimEvent() {}
func (ClaimReleased) claimEvent()  {}
func (ClaimFinished) claimEvent()  {}
func (ClaimCommitted) claimEvent() {}
func (ClaimRead) claimEvent()      {}

// ClaimAction is an action of Claims.
type ClaimAction interface{ claimAction() }

// The actions.
type (
	// CommitClaims asks the shell to commit a transaction.
	CommitClaims struct {
		Batch       uint64
		Transaction store.Transaction
	}
	// ReadClaims asks the shell to read rows.
	ReadClaims struct {
		Batch uint64
		Keys  []store.Key
	}
	// ResolveClaim tells the result. A granted claim is dispatched under Effect, and then released or finished;
	// one that is not granted is never dispatched and gets Outcome and Reason.
	ResolveClaim struct {
		Waiter  Waiter
		Granted bool
		Effect  Effect
		Outcome request.Outcome
		Reason  request.Reason
	}
)

func (CommitClaims) claimAction() {}
func (ReadClaims) claimAction()   {}
func (ResolveClaim) claimAction() {}

type claimState uint8

const (
	claiming  claimState = iota
	granted              // the effect may be running here
	releasing            // a release is queued; the row is still ours
	deleting             // the deletion is under way
)

// entry is a claim that this node is busy with.
type entry struct {
	claim    Claim
	key      store.Key
	nonce    Nonce
	revision store.Revision // of our row, once read for its deletion
	attempts int
	state    claimState
	deferred *Claim // a resend that arrived while the row was being deleted
}

// Claims is the state machine of the claims of one node. It has one transaction in flight at a time and is not safe for
// concurrent use.
type Claims struct {
	settings ClaimSettings
	random   *rand.Rand
	busy     map[store.Key]*entry
	queue    []*entry // claims and releases that wait for a transaction
	flight   []*entry // the batch in flight
	deletes  bool     // the batch in flight deletes
	batch    uint64   // number of the batch in flight or the last one
}

// NewClaims returns Claims without work.
func NewClaims(s ClaimSettings, random *rand.Rand) *Claims {
	if s.Batch == 0 {
		s.Batch = defaultClaimBatch
	}
	if s.Queue == 0 {
		s.Queue = defaultClaimQueue
	}
	if s.Attempts == 0 {
		s.Attempts = defaultClaimAttempts
	}
	return &Claims{settings: s, random: random, busy: map[store.Key]*entry{}}
}

// claimKey hashes the idempotency key, which may hold any bytes.
func claimKey(customer request.CustomerID, key string) store.Key {
	sum := keySum(customer, key)
	return store.Key(claimPrefix + hex.EncodeToString(sum[:]))
}

func (c *Claims) newNonce() Nonce { return Nonce(request.NewID(c.random)) }

// value returns the row that proves the claim to be ours.
func (c *Claims) value(e *entry) []byte {
	data, err := json.Marshal(claimRow{
		Instance:    c.settings.Instance,
		Incarnation: c.settings.Incarnation,
		Nonce:       hex.EncodeToString(e.nonce[:]),
	})
	if err != nil {
		panic(err) // strings and numbers always marshal
	}
	return data
}

// ours reports whether the row holds the claim. A row that cannot be parsed belongs to someone else.
func (c *Claims) ours(e *entry, row store.Row) bool {
	var r claimRow
	return json.Unmarshal(row.Value, &r) == nil &&
		r.Incarnation == c.settings.Incarnation && r.Nonce == hex.EncodeToString(e.nonce[:])
}

// refusal is the result of a claim that is not granted. Nothing was dispatched for this send; whether the effect ran
// depends on earlier sends, which only the caller knows of.
func refusal(claim *Claim, reason request.Reason) ResolveClaim {
	r := ResolveClaim{Waiter: claim.Waiter, Outcome: request.Unknown, Reason: reason}
	if claim.FirstSend {
		r.Outcome = request.NotRun
	}
	return r
}

func claimedElsewhere(claim *Claim) ResolveClaim {
	return ResolveClaim{Waiter: claim.Waiter, Outcome: request.Unknown, Reason: request.KeyClaimed}
}
