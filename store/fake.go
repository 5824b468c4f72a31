package store

import (
	"context"
	"maps"
	"slices"
	"sync"
)

// OperationKind is the kind of an operation on the platform's store.
type OperationKind uint8

// The kinds of operations.
const (
	ReadOperation OperationKind = iota
	ScanOperation
	CommitOperation
	GetOperation
	PutOperation
)

var operationNames = [...]string{"read", "scan", "commit", "get", "put"}

// String returns the name of the kind.
func (k OperationKind) String() string { return operationNames[k] }

// Fault is a failure injected into one operation.
type Fault uint8

// The faults. StaleRead has no effect on a change; a read treats LostRequest, LostResponse and Delayed like Down.
const (
	NoFault      Fault = iota
	Down               // the operation fails with Unavailable and is not applied
	LostRequest        // the request is lost; the caller cannot distinguish it from LostResponse
	LostResponse       // the operation is applied, but its response is lost
	StaleRead          // a read or scan returns the state saved by SaveStaleState
	Delayed            // there is no response, and the operation is applied by the next ApplyDelayed
)

// FaultHook returns the fault of each operation. A hook that sleeps simulates a slow platform. It is called without a lock, so it
// may use the Fake, for example to apply a concurrent write first.
type FaultHook func(ctx context.Context, k OperationKind) Fault

// Fake is an in-memory Table and Objects with fault injection; it is deterministic and safe for concurrent use.
type Fake struct {
	mu           sync.Mutex
	lastRevision uint64
	lastWrite    uint64
	current      state
	stale        state
	saved        copyState
	era          Era
	hook         FaultHook
	delayed      []func() error
}

// state holds the rows, their sorted keys for scans, and the objects.
type state struct {
	keys    []Key
	rows    map[Key]Row
	objects map[string][]byte
}

// copyState is a copy of the state, and the revision that it is from.
type copyState struct {
	state
	revision uint64
}

// NewFake returns an empty Fake without faults.
func NewFake() *Fake {
	f := &Fake{era: 1, current: state{rows: map[Key]Row{}, objects: map[string][]byte{}}}
	f.stale = f.current.clone()
	f.saved = copyState{state: f.current.clone()}
	return f
}

// SetFaultHook sets the hook that returns the fault of each operation; nil removes it.
func (f *Fake) SetFaultHook(hook FaultHook) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hook = hook
}

// SaveStaleState saves the current state for later stale reads.
func (f *Fake) SaveStaleState() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stale = f.current.clone()
}

// SaveCopy saves a copy of the current state for Restore.
func (f *Fake) SaveCopy() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.saved = copyState{f.current.clone(), f.lastRevision}
}

// Restore returns to the saved copy and begins the next era; the revisions of the transactions since are used again. Delayed operations stay
// delayed.
func (f *Fake) Restore() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.current, f.lastRevision = f.saved.state.clone(), f.saved.revision
	f.era++
}

// Era implements Table.
func (f *Fake) Era() Era {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.era
}

// ApplyDelayed applies the delayed operations in the order of their calls.
func (f *Fake) ApplyDelayed() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, apply := range f.delayed {
		_ = apply() // the caller has already got Indeterminate
	}
	f.delayed = nil
}

// LastRevision returns the number of the latest transaction.
func (f *Fake) LastRevision() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lastRevision
}

// Len returns the number of rows.
func (f *Fake) Len() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.current.keys)
}

// Read implements Table.
func (f *Fake) Read(ctx context.Context, keys []Key) ([]Row, error) {
	if err := checkKeys(keys); err != nil {
		return nil, err
	}
	fault, err := f.readFault(ctx, ReadOperation)
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.stateFor(fault)
	rows := make([]Row, len(keys))
	for i, k := range keys {
		rows[i] = s.rows[k]
		rows[i].Key = k
	}
	return rows, nil
}

// Scan implements Table.
func (f *Fake) Scan(ctx context.Context, prefix, after Key, limit int) ([]Row, error) {
	if err := checkScan(limit); err != nil {
		return nil, err
	}
	fault, err := f.readFault(ctx, ScanOperation)
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.stateFor(fault).scan(prefix, after, limit), nil
}

// Commit implements Table.
func (f *Fake) Commit(ctx context.Context, t Transaction) error {
	if err := t.Validate(); err != nil {
		return err
	}
	return f.mutate(ctx, CommitOperation, func() error { return f.apply(t) })
}

// Get implements Objects.
func (f *Fake) Get(ctx context.Context, name string) ([]byte, error) {
	fault, err := f.readFault(ctx, GetOperation)
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	data, ok := f.stateFor(fault).objects[name]
	if !ok {
		return nil, NotFound.New("object %q does not exist; put it first", name)
	}
	return data, nil
}

// Put implements Objects.
func (f *Fake) Put(ctx context.Context, name string, data []byte) error {
	return f.mutate(ctx, PutOperation, func() error {
		f.current.objects[name] = slices.Clone(data)
		return nil
	})
}

// nextFault returns the fault that the hook chooses for the next operation.
func (f *Fake) nextFault(ctx context.Context, k OperationKind) Fault {
	f.mu.Lock()
	hook := f.hook
	f.mu.Unlock()
	if hook == nil {
		return NoFault
	}
	return hook(ctx, k)
}

// readFault returns the fault of a read-only operation. Every fault except StaleRead causes an error of class Unavailable,
// since nothing changes.
func (f *Fake) readFault(ctx context.Context, k OperationKind) (Fault, error) {
	fault := f.nextFault(ctx, k)
	if fault != NoFault && fault != StaleRead {
		return fault, Unavailable.New("%v had no response; send it again", k)
	}
	if err := ctx.Err(); err != nil {
		return fault, Unavailable.New("%v: %v; send it again", k, err)
	}
	return fault, nil
}

// mutate performs an operation that changes the state, subject to the fault.
func (f *Fake) mutate(ctx context.Context, k OperationKind, apply func() error) error {
	fault := f.nextFault(ctx, k)
	switch fault {
	case Down:
		return Unavailable.New("the platform is down; send the %v again later", k)
	case LostRequest:
		return Indeterminate.New("%v had no response; read back what was written", k)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if fault == Delayed {
		f.delayed = append(f.delayed, apply)
		return Indeterminate.New("%v had no response; read back what was written", k)
	}
	err := apply()
	if fault == LostResponse || ctx.Err() != nil {
		return Indeterminate.New("%v had no response; read back what was written", k)
	}
	return err
}

func (f *Fake) stateFor(fault Fault) *state {
	if fault == StaleRead {
		return &f.stale
	}
	return &f.current
}

func (f *Fake) apply(t Transaction) error {
	for _, c := range t.Conditions {
		if got := f.current.rows[c.Key].Revision; !got.meets(c.Revision) {
			return ConditionFailed.New("row %q has revision %v, not %v; read it again", c.Key, got, c.Revision)
		}
	}
	if len(t.Writes) == 0 {
		return nil
	}
	f.lastRevision++
	for _, w := range t.Writes {
		f.lastWrite++
		f.current.write(w, Revision{f.lastRevision, f.lastWrite})
	}
	return nil
}

func (s *state) clone() state {
	return state{keys: slices.Clone(s.keys), rows: maps.Clone(s.rows), objects: maps.Clone(s.objects)}
}

func (s *state) write(w Write, revision Revision) {
	i, exists := slices.BinarySearch(s.keys, w.Key)
	switch {
	case w.Delete && exists:
		s.keys = slices.Delete(s.keys, i, i+1)
		delete(s.rows, w.Key)
	case w.Delete:
	case !exists:
		s.keys = slices.Insert(s.keys, i, w.Key)
		fallthrough
	default:
		s.rows[w.Key] = Row{Key: w.Key, Value: slices.Clone(w.Value), Revision: revision}
	}
}

func hasPrefix(k, prefix Key) bool { return len(k) >= len(prefix) && k[:len(prefix)] == prefix }

func (s *state) scan(prefix, after Key, limit int) []Row {
	i, found := slices.BinarySearch(s.keys, max(prefix, after))
	if found && s.keys[i] == after {
		i++
	}
	var rows []Row
	size := 0
	for ; i < len(s.keys) && len(rows) < limit && size < MaxPageBytes && hasPrefix(s.keys[i], prefix); i++ {
		row := s.rows[s.keys[i]]
		rows = append(rows, row)
		size += len(row.Value)
	}
	return rows
}
