package configuration

import (
	"context"
	"sync"
	"time"

	"github.com/sapphiretack/sapphiretack/store"
	"github.com/sapphiretack/sapphiretack/template"
)

const (
	// writeBackTime is how long changes are refused after the store came back from a copy. The readers of each zone poll it once a second
	// and meanwhile write what the copy lacks; a change before that would get a version that an accepted one has.
	writeBackTime = 5 * time.Second
	// maxWriteBack is the number of objects that fit into one transaction.
	maxWriteBack = 8
)

// restoreWatch notices that the store has come back from a copy; it is safe for concurrent use.
type restoreWatch struct {
	mu    sync.Mutex
	era   store.Era
	until time.Time
}

// isWritingBack records the latest era and reports whether changes are to be refused.
func (w *restoreWatch) isWritingBack(now time.Time, era store.Era) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.era != 0 && era > w.era {
		w.until = now.Add(writeBackTime)
	}
	w.era = max(w.era, era)
	return now.Before(w.until)
}

// WriteBack writes the objects of a replica that the store lacks because it came back from a copy, with the versions that they had. It does
// nothing if the store has the version of the replica, and returns the number of objects that were written. The error is of class Unavailable
// or Indeterminate; writing back again is harmless.
func (s *Store) WriteBack(ctx context.Context, r *Replica) (int, error) {
	written := 0
	for {
		head, objects, err := s.missing(ctx, r)
		if err != nil || len(objects) == 0 {
			return written, err
		}
		err = s.writeBack(ctx, head, objects)
		switch {
		case err == nil:
			written += len(objects)
		case store.ConditionFailed.Has(err):
			return written, nil // another node writes them, or the head row was read late
		case store.Indeterminate.Has(err):
			return written, Indeterminate.Wrap(err)
		default:
			return written, Unavailable.Wrap(err)
		}
	}
}

// missing returns the head row, and the first objects of the replica that are newer than the store, in the order of their versions.
func (s *Store) missing(ctx context.Context, r *Replica) (store.Row, []Object, error) {
	rows, err := s.table.Read(ctx, []store.Key{headKey})
	if err != nil {
		return store.Row{}, nil, Unavailable.Wrap(err)
	}
	var head headRow
	if err := decode(rows[0], &head); err != nil {
		return store.Row{}, nil, err
	}
	u := r.Since(head.Version)
	var objects []Object
	for _, o := range u.Objects {
		if o.Version > head.Version && len(objects) < maxWriteBack {
			objects = append(objects, o)
		}
	}
	return rows[0], objects, nil
}

// writeBack writes objects that are newer than the head row, on condition that this has not changed.
func (s *Store) writeBack(ctx context.Context, headRead store.Row, objects []Object) error {
	var head headRow
	if err := decode(headRead, &head); err != nil {
		return err
	}
	p := plan{}
	p.addConditions(headRead)
	uses := map[string]int{}
	for _, o := range objects {
		rows, err := s.table.Read(ctx, []store.Key{objectRowKey(o.Kind, o.Name)})
		if err != nil {
			return err
		}
		var current Object
		if err := decode(rows[0], &current); err != nil {
			return err
		}
		p.addConditions(rows...)
		head.Version, head.Digest = o.Version, head.Digest-current.digest()+o.digest()
		p.writes = append(p.writes, encode(objectRowKey(o.Kind, o.Name), o), encode(logKey(o.Version), logRow{Object: o}))
		if o.Kind == Customer {
			countUse(uses, &current, -1)
			countUse(uses, &o, 1)
		}
	}
	p.writes = append(p.writes, encode(headKey, head))
	for name, by := range uses {
		if by != 0 {
			if err := s.addUses(ctx, &p, name, by); err != nil {
				return err
			}
		}
	}
	return s.table.Commit(ctx, p.transaction())
}

// countUse adds by to the uses of the template that a customer references.
func countUse(uses map[string]int, o *Object, by int) {
	if !o.Exists() {
		return
	}
	if c, err := template.ParseCustomer(o.Document); err == nil {
		uses[c.Template] += by
	}
}
