package configuration

import (
	"context"
	"fmt"
	"time"

	"github.com/zeebo/errs"

	"github.com/sapphiretack/sapphiretack/store"
	"github.com/sapphiretack/sapphiretack/template"
)

// maxCommitAttempts is the maximum number of transactions for one Commit. Changes are rare (12,000 a day), so conflicts on
// the head row seldom occur twice in a row.
const maxCommitAttempts = 8

// Store reads and changes the configuration in the platform's table. It is safe for concurrent use.
type Store struct {
	table     store.Table
	logLength Version // number of changes that the log keeps
	restores  restoreWatch
	now       func() time.Time
}

// New returns a Store on the table with a log of DefaultLogLength.
func New(table store.Table) *Store { return NewWithLogLength(table, DefaultLogLength) }

// NewWithLogLength returns a Store that keeps the given number of changes in the log. All Stores on a table must use the same
// number.
func NewWithLogLength(table store.Table, length int) *Store {
	return &Store{table: table, logLength: Version(length), now: time.Now}
}

// Commit applies the change in one transaction and returns the changed object. Committing the same Change again returns the
// same object without another effect, as long as the log contains the change. The error is a *template.ValidationError, a
// *ConflictError, or of class Unavailable or Indeterminate.
func (s *Store) Commit(ctx context.Context, c Change) (Object, error) {
	if err := c.validate(); err != nil {
		return Object{}, err
	}
	mayBeApplied := false // an earlier transaction of this call may have been applied or be applied later
	cause := errs.New("other changes, out-of-date reads or lost responses got in the way %d times", maxCommitAttempts)
	for range maxCommitAttempts {
		p, err := s.prepare(ctx, &c)
		if err == nil && p.alreadyApplied {
			return p.object, nil
		}
		if err == nil {
			err = s.table.Commit(ctx, p.transaction())
		}
		switch {
		case err == nil && p.refusal != nil:
			return Object{}, p.refusal
		case err == nil:
			return p.object, nil
		case store.ConditionFailed.Has(err):
			continue
		case store.Indeterminate.Has(err):
			mayBeApplied = mayBeApplied || p.refusal == nil // the transaction of a refusal has no writes
			continue
		case !mayBeApplied:
			return Object{}, Unavailable.New("nothing was changed: %v; commit the same change again", err)
		}
		cause = err
	}
	if mayBeApplied {
		return Object{}, Indeterminate.New("%v; commit the same change again to learn whether it was applied", cause)
	}
	return Object{}, Unavailable.New("nothing was changed: %v; commit the same change again", cause)
}

// plan is a change prepared from the rows that were read.
type plan struct {
	alreadyApplied bool   // the change is already applied, and object is its result
	object         Object // after the change
	refusal        error  // error of a change that the rows as read do not permit; nil otherwise
	conditions     []store.Condition
	writes         []store.Write
}

// transaction returns the transaction of the plan. A refusal is based on reads that may be stale, so its transaction has no
// writes and only verifies that the rows were current.
func (p *plan) transaction() store.Transaction {
	if p.refusal != nil {
		return store.Transaction{Conditions: p.conditions}
	}
	return store.Transaction{Conditions: p.conditions, Writes: p.writes}
}

// addConditions makes the transaction conditional on the revisions of the rows.
func (p *plan) addConditions(rows ...store.Row) {
	for _, r := range rows {
		p.conditions = append(p.conditions, store.Condition{Key: r.Key, Revision: r.Revision})
	}
}

// prepare reads the rows that the change depends on and prepares the transaction.
func (s *Store) prepare(ctx context.Context, c *Change) (plan, error) {
	rows, err := s.table.Read(ctx, []store.Key{headKey, objectRowKey(c.Kind, c.Name), changeKey(c.ID)})
	if err != nil {
		return plan{}, err
	}
	if s.restores.isWritingBack(s.now(), s.table.Era()) {
		return plan{}, Unavailable.New("the store has come back from a copy, and accepted changes that it lacks are being written again")
	}
	var head headRow
	var current Object
	var earlier changeRow
	for i, v := range []any{&head, &current, &earlier} {
		if err := decode(rows[i], v); err != nil {
			return plan{}, err
		}
	}
	p := plan{}
	if rows[2].Revision.Exists() {
		return planForUsedID(c, &earlier), nil
	}
	p.addConditions(rows...)
	if !c.appliesTo(&current) {
		current.Kind, current.Name = c.Kind, c.Name
		p.refusal = &ConflictError{Expected: c.Revision, Current: current}
		return p, nil
	}
	p.object = Object{
		Kind: c.Kind, Name: c.Name, Revision: current.Revision + 1, Version: head.Version + 1,
		Document: c.Document, Withdrawn: c.Withdrawn,
	}
	if c.Withdrawn {
		p.object.Document = nil // nil rather than empty, so that a second Commit of the same Change returns an equal object
	}
	p.writes = append(p.writes,
		encode(headKey, headRow{Version: p.object.Version, Digest: head.Digest - current.digest() + p.object.digest()}),
		encode(objectRowKey(c.Kind, c.Name), p.object),
		encode(changeKey(c.ID), changeRow{Fingerprint: c.fingerprint(), Object: p.object}),
		encode(logKey(p.object.Version), logRow{Change: c.ID, Object: p.object}))
	if err := s.updateReferences(ctx, &p, &current); err != nil {
		return plan{}, err
	}
	return p, s.trimLog(ctx, &p)
}

// planForUsedID returns the plan for an identifier that was used before: the earlier result, or a refusal if the changes
// differ.
func planForUsedID(c *Change, earlier *changeRow) plan {
	if earlier.Fingerprint == c.fingerprint() {
		return plan{alreadyApplied: true, object: earlier.Object}
	}
	return plan{refusal: invalidField("change", fmt.Sprintf("%q was used for another change", c.ID), "choose a new identifier")}
}

// appliesTo reports whether the object as read has the expected revision.
func (c *Change) appliesTo(current *Object) bool {
	if c.Revision == 0 {
		return !current.Exists() && !c.Withdrawn
	}
	return current.Exists() && current.Revision == c.Revision
}

// updateReferences updates the counts of customers per template. It refuses a change that would leave a customer with a missing
// template or with parameters that its template does not accept.
func (s *Store) updateReferences(ctx context.Context, p *plan, current *Object) error {
	if p.object.Kind == Template {
		if !p.object.Withdrawn {
			return nil
		}
		return s.checkUnused(ctx, p)
	}
	var before, after template.Customer
	var err error
	if current.Exists() {
		if before, err = template.ParseCustomer(current.Document); err != nil {
			return Unavailable.New("the present document of customer %q cannot be read: %v", current.Name, err)
		}
	}
	if !p.object.Withdrawn {
		if after, err = template.ParseCustomer(p.object.Document); err != nil {
			return err
		}
		if err := s.checkTemplate(ctx, p, &after); err != nil {
			return err
		}
	}
	if before.Template == after.Template {
		return nil
	}
	if err := s.addUses(ctx, p, before.Template, -1); err != nil {
		return err
	}
	return s.addUses(ctx, p, after.Template, 1)
}

// checkUnused refuses the withdrawal of a template that customers reference.
func (s *Store) checkUnused(ctx context.Context, p *plan) error {
	rows, err := s.table.Read(ctx, []store.Key{usesKey(p.object.Name)})
	if err != nil {
		return err
	}
	var uses usesRow
	if err := decode(rows[0], &uses); err != nil {
		return err
	}
	p.addConditions(rows...)
	if uses.Customers > 0 {
		p.refusal = invalidField("name", fmt.Sprintf("%d customers name template %q", uses.Customers, p.object.Name),
			"set these customers to another template or withdraw them first")
	}
	return nil
}

// checkTemplate refuses a customer whose template does not exist or does not accept it.
func (s *Store) checkTemplate(ctx context.Context, p *plan, c *template.Customer) error {
	rows, err := s.table.Read(ctx, []store.Key{objectRowKey(Template, c.Template)})
	if err != nil {
		return err
	}
	var object Object
	if err := decode(rows[0], &object); err != nil {
		return err
	}
	p.addConditions(rows...)
	if !object.Exists() {
		p.refusal = invalidField("template", fmt.Sprintf("template %q does not exist", c.Template), "publish it first")
		return nil
	}
	t, err := template.ParseTemplate(object.Document)
	if err != nil {
		return Unavailable.New("the document of template %q cannot be read: %v", c.Template, err)
	}
	p.refusal = t.Validate(c)
	return nil
}

// addUses adds by to the number of customers that reference the template.
func (s *Store) addUses(ctx context.Context, p *plan, name string, by int) error {
	if name == "" {
		return nil
	}
	rows, err := s.table.Read(ctx, []store.Key{usesKey(name)})
	if err != nil {
		return err
	}
	var uses usesRow
	if err := decode(rows[0], &uses); err != nil {
		return err
	}
	uses.Customers += by
	p.addConditions(rows...)
	p.writes = append(p.writes, encode(usesKey(name), uses))
	return nil
}

// trimLog deletes the oldest log row once the log is full, together with the row of its change identifier.
func (s *Store) trimLog(ctx context.Context, p *plan) error {
	if p.object.Version <= s.logLength {
		return nil
	}
	rows, err := s.table.Read(ctx, []store.Key{logKey(p.object.Version - s.logLength)})
	if err != nil {
		return err
	}
	var oldest logRow
	if err := decode(rows[0], &oldest); err != nil {
		return err
	}
	if rows[0].Revision.Exists() {
		p.addConditions(rows...)
		p.writes = append(p.writes,
			store.Write{Key: rows[0].Key, Delete: true},
			store.Write{Key: changeKey(oldest.Change), Delete: true})
	}
	return nil
}
