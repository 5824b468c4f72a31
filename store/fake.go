package store

import (
	"context"
	"maps"
	"slices"
	"sync"
)

// OperationKind is the kind of a request to the platform.
type OperationKind uint8

// The kinds of requests.
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

// Fault is what happens to one request.
type Fault uint8

// The faults. A fault that does not fit the kind of the request has no effect.
const (
	NoFault      Fault = iota
	Down               // the request is refused and proven not applied
	LostRequest        // the request never arrives; the caller cannot tell it from LostResponse
	LostResponse       // the request takes effect and its response is lost
	StaleRead          // a read or scan is served from the state kept by Freeze
	Delayed            // the request has no response and takes effect when Deliver is called
)

// FaultHook decides the fault of each request. A hook that waits makes the platform slow.
// It is called without a lock, so it may change the fake, for example to let another writer go first.
type FaultHook func(ctx context.Context, k OperationKind) Fault

// Fake is a platform in memory; it is deterministic and safe for concurrent use.
type Fake struct {
	mu      sync.Mutex
	last    Revision
	current state
	frozen  state
	hook    FaultHook
	delayed []func() error
}

// state holds the rows, with the keys also in order for scans, and the objects.
type state struct {
	keys    []Key
	rows    map[Key]Row
	objects map[string][]byte
}

// NewFake returns an empty platform without faults.
func NewFake() *Fake {
	f := &Fake{current: state{rows: map[Key]Row{}, objects: map[string][]byte{}}}
	f.frozen = f.current.clone()
	return f
}

// Inject sets the hook that decides the fault of each request; nil removes it.
func (f *Fake) Inject(hook FaultHook) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hook = hook
}

// Freeze keeps the present state for later stale reads.
func (f *Fake) Freeze() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.frozen = f.current.clone()
}

// Deliver lets the delayed requests take effect, in their order.
func (f *Fake) Deliver() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, apply := range f.delayed {
		_ = apply() // the response was lost long ago
	}
	f.delayed = nil
}

// Last returns the revision of the newest transaction.
func (f *Fake) Last() Revision {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.last
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
	fault, err := f.query(ctx, ReadOperation)
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.view(fault)
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
	fault, err := f.query(ctx, ScanOperation)
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view(fault).scan(prefix, after, limit), nil
}

// Commit implements Table.
func (f *Fake) Commit(ctx context.Context, t Transaction) error {
	if err := t.Check(); err != nil {
		return err
	}
	return f.change(ctx, CommitOperation, func() error { return f.apply(t) })
}

// Get implements Objects.
func (f *Fake) Get(ctx context.Context, name string) ([]byte, error) {
	fault, err := f.query(ctx, GetOperation)
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	data, ok := f.view(fault).objects[name]
	if !ok {
		return nil, NotFound.New("object %q does not exist; put it first", name)
	}
	return data, nil
}

// Put implements Objects.
func (f *Fake) Put(ctx context.Context, name string, data []byte) error {
	return f.change(ctx, PutOperation, func() error {
		f.current.objects[name] = slices.Clone(data)
		return nil
	})
}

// fault asks the hook.
func (f *Fake) fault(ctx context.Context, k OperationKind) Fault {
	f.mu.Lock()
	hook := f.hook
	f.mu.Unlock()
	if hook == nil {
		return NoFault
	}
	return hook(ctx, k)
}

// query returns the fault of a request that changes nothing; a lost message is an error like any other.
func (f *Fake) query(ctx context.Context, k OperationKind) (Fault, error) {
	fault := f.fault(ctx, k)
	if fault != NoFault && fault != StaleRead {
		return fault, Unavailable.New("%v had no response; send it again", k)
	}
	if err := ctx.Err(); err != nil {
		return fault, Unavailable.New("%v: %v; send it again", k, err)
	}
	return fault, nil
}

// change carries out a request that changes something.
func (f *Fake) change(ctx context.Context, k OperationKind, apply func() error) error {
	fault := f.fault(ctx, k)
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

func (f *Fake) view(fault Fault) *state {
	if fault == StaleRead {
		return &f.frozen
	}
	return &f.current
}

func (f *Fake) apply(t Transaction) error {
	for _, c := range t.Conditions {
		if got := f.current.rows[c.Key].Revision; got != c.Revision {
			return ConditionFailed.New("row %q has revision %d, not %d; read it again", c.Key, got, c.Revision)
		}
	}
	if len(t.Writes) == 0 {
		return nil
	}
	f.last++
	for _, w := range t.Writes {
		f.current.write(w, f.last)
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
