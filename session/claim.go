package session

import (
	"encoding/hex"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/sapphiretack/sapphiretack/request"
	"github.com/sapphiretack/sapphiretack/store"
)

// claimPrefix is the key prefix of claim rows.
const claimPrefix = "claim/"

// MaxIdempotencyKeyBytes is the maximum length of an idempotency key.
const MaxIdempotencyKeyBytes = 256

// ClaimSettings configures Claims. A limit of zero means its default.
type ClaimSettings struct {
	Instance    request.InstanceID
	Incarnation request.Incarnation
	MaxBatch    int // maximum claims in one transaction
	MaxQueue    int // maximum claims that wait for a transaction
	MaxAttempts int // maximum transactions for one claim
	// RestoreDoubt is the time after the store came back from a copy in which a key that was sent before is not granted, because the
	// copy may lack the claim under which it ran. A zero selects the default.
	RestoreDoubt time.Duration
}

// The default limits. The platform accepts only several hundred writes per second, so claims that arrive while a
// transaction is in flight are batched into the next one.
const (
	defaultClaimBatch    = 25
	defaultClaimQueue    = 1024
	defaultClaimAttempts = 4
	defaultRestoreDoubt  = time.Hour
)

// Claim requests the exclusive right to run the effect of an idempotency key.
type Claim struct {
	Customer  request.CustomerID
	Key       string
	FirstSend bool // the caller declares that it has not sent the request before
	Deadline  request.Instant
	Waiter    Waiter
}

// Nonce identifies one claim, so that its node recognizes the row after a commit with an unknown outcome.
type Nonce [16]byte

// claimRow is the value of a claim row.
type claimRow struct {
	Instance    request.InstanceID  `json:"instance"`
	Incarnation request.Incarnation `json:"incarnation"`
	Nonce       string              `json:"nonce"`
}

// ClaimEvent is an input of Claims.Handle.
type ClaimEvent interface{ claimEvent() }

// The events. ClaimCommitted and ClaimRead report the results of the actions with the same batch number, and the latest era of the store that
// is known then.
type (
	// ClaimRequested submits a claim.
	ClaimRequested struct{ Claim Claim }
	// ClaimReleased deletes a granted claim whose effect provably did not run.
	ClaimReleased struct {
		Customer request.CustomerID
		Key      string
	}
	// ClaimFinished ends a granted claim whose effect ran or may have run; its row stays in the table.
	ClaimFinished struct {
		Customer request.CustomerID
		Key      string
	}
	// ClaimCommitted reports the result of CommitClaims.
	ClaimCommitted struct {
		Batch uint64
		Era   store.Era
		Err   error
	}
	// ClaimHistory reports whether the store came back from a copy before this node knew its era, and how long ago. Until it is reported,
	// keys that were sent before are not granted.
	ClaimHistory struct {
		IsRestored bool
		Ago        time.Duration
	}
	// ClaimRead reports the result of ReadClaims.
	ClaimRead struct {
		Batch uint64
		Era   store.Era
		Rows  []store.Row
		Err   error
	}
)

func (ClaimRequested) claimEvent() {}
func (ClaimReleased) claimEvent()  {}
func (ClaimFinished) claimEvent()  {}
func (ClaimCommitted) claimEvent() {}
func (ClaimRead) claimEvent()      {}
func (ClaimHistory) claimEvent()   {}

// ClaimAction is an action that Claims.Handle requests from its driver.
type ClaimAction interface{ claimAction() }

// The actions.
type (
	// CommitClaims requests the commit of a transaction; ClaimCommitted must follow.
	CommitClaims struct {
		Batch       uint64
		Transaction store.Transaction
	}
	// ReadClaims requests a read of rows; ClaimRead must follow.
	ReadClaims struct {
		Batch uint64
		Keys  []store.Key
	}
	// ResolveClaim reports the result of a claim. A granted claim is dispatched under Effect and then released or
	// finished; any other is never dispatched and gets Outcome and Reason.
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
	claimPending   claimState = iota
	claimGranted              // the effect may be running here
	claimReleasing            // a release is queued; the row still has the nonce of this claim
	claimDeleting             // the row's deletion is in flight
)

// claimEntry is a claim that this node has queued, in flight or granted.
type claimEntry struct {
	claim    Claim
	key      store.Key
	nonce    Nonce
	revision store.Revision // of the row of this claim, once it was read for its deletion
	attempts int
	state    claimState
	deferred *Claim // a resend that arrived while the row was being deleted
}

// Claims is the state machine that commits and deletes the claims of one node. It has at most one batch in flight and is
// not safe for concurrent use.
type Claims struct {
	settings        ClaimSettings
	random          *rand.Rand
	entries         map[store.Key]*claimEntry
	queue           []*claimEntry // claims and releases that wait for a transaction
	inFlight        []*claimEntry // the batch in flight
	inFlightDeletes bool          // whether the batch in flight deletes rows
	batch           uint64        // number of the batch in flight, or of the last one
	era             store.Era
	knowsHistory    bool
	doubtUntil      request.Instant // until when the table may lack claims of keys that ran
}

// NewClaims returns Claims with an empty queue; random generates the nonces.
func NewClaims(s ClaimSettings, random *rand.Rand) *Claims {
	if s.MaxBatch == 0 {
		s.MaxBatch = defaultClaimBatch
	}
	if s.MaxQueue == 0 {
		s.MaxQueue = defaultClaimQueue
	}
	if s.MaxAttempts == 0 {
		s.MaxAttempts = defaultClaimAttempts
	}
	if s.RestoreDoubt == 0 {
		s.RestoreDoubt = defaultRestoreDoubt
	}
	return &Claims{settings: s, random: random, entries: map[store.Key]*claimEntry{}}
}

// claimKey returns the row key of a claim. It hashes the idempotency key, which may contain any bytes.
func claimKey(customer request.CustomerID, key string) store.Key {
	sum := hashKey(customer, key)
	return store.Key(claimPrefix + hex.EncodeToString(sum[:]))
}

func (c *Claims) newNonce() Nonce { return Nonce(request.NewID(c.random)) }

// rowValue returns the row value that identifies the claim by its nonce.
func (c *Claims) rowValue(e *claimEntry) []byte {
	data, err := json.Marshal(claimRow{
		Instance:    c.settings.Instance,
		Incarnation: c.settings.Incarnation,
		Nonce:       hex.EncodeToString(e.nonce[:]),
	})
	if err != nil {
		panic(err) // strings and integers always marshal
	}
	return data
}

// isOwnRow reports whether the row was written for the claim. A row that cannot be parsed counts as that of another claim.
func (c *Claims) isOwnRow(e *claimEntry, row store.Row) bool {
	var r claimRow
	return json.Unmarshal(row.Value, &r) == nil &&
		r.Incarnation == c.settings.Incarnation && r.Nonce == hex.EncodeToString(e.nonce[:])
}

// refuseClaim returns the result of a claim that is not granted. Nothing was dispatched for this send, so the outcome is
// not_run for a first send; otherwise an earlier send may have run the effect, and the outcome is unknown.
func refuseClaim(claim *Claim, reason request.Reason) ResolveClaim {
	r := ResolveClaim{Waiter: claim.Waiter, Outcome: request.Unknown, Reason: reason}
	if claim.FirstSend {
		r.Outcome = request.NotRun
	}
	return r
}

// observeEra records the era of the store. In a later one than before, claims that were acknowledged may be missing.
func (c *Claims) observeEra(now request.Instant, era store.Era) {
	if c.era != 0 && era > c.era {
		c.doubtUntil = now.Add(c.settings.RestoreDoubt)
	}
	c.era = max(c.era, era)
}

// isDoubtful reports whether the effect of a claim may have run although the table has no other claim of its key.
func (c *Claims) isDoubtful(now request.Instant, claim *Claim) bool {
	return !claim.FirstSend && (!c.knowsHistory || now < c.doubtUntil)
}

// refuseKeyClaimed returns the result of a claim whose key is held by another claim.
func refuseKeyClaimed(claim *Claim) ResolveClaim {
	return ResolveClaim{Waiter: claim.Waiter, Outcome: request.Unknown, Reason: request.KeyClaimed}
}
