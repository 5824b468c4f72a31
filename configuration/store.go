package configuration

import (
	"context"
	"fmt"

	"github.com/zeebo/errs"

	"github.com/sapphiretack/sapphiretack/store"
	"github.com/sapphiretack/sapphiretack/template"
)

// maxTries bounds the transactions for one Commit. Changes are rare (12,000 a day), so a lost race for the head seldom repeats.
const maxTries = 8

// Store reads and changes the configuration in the platform's table. It is safe for concurrent use.
type Store struct {
	table store.Table
	log   Version // length of the log
}

// New returns a Store on the table with a log of DefaultLogLength.
func New(table store.Table) *Store { return NewWithLog(table, DefaultLogLength) }

// NewWithLog returns a Store that keeps the given number of changes in the log. All stores of a table must use the same number.
func NewWithLog(table store.Table, length int) *Store {
	return &Store{table: table, log: Version(length)}
}

// Commit applies the change as one transaction and returns the object as changed. Committing the same Change again returns
// the same object without effect, as long as the log holds it.
func (s *Store) Commit(ctx context.Context, c Change) (Object, error) {
	if err := c.check(); err != nil {
		return Object{}, err
	}
	unsure := false // an earlier transaction of this call may still be applied
	cause := errs.New("other changes, out-of-date reads or lost responses got in the way %d times", maxTries)
	for range maxTries {
		p, err := s.prepare(ctx, &c)
		if err == nil && p.done {
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
			unsure = unsure || p.refusal == nil // a proof writes nothing
			continue
		case !unsure:
			return Object{}, Unavailable.New("nothing was changed: %v; commit the same change again", err)
		}
		cause = err
	}
	if unsure {
		return Object{}, Indeterminate.New("%v; commit the same change again to learn whether it was applied", cause)
	}
	return Object{}, Unavailable.New("nothing was changed: %v; commit the same change again", cause)
}

// plan is a change prepared on the rows as read.
type plan struct {
	done       bool   // the change was applied earlier; object is its result
	object     Object // after the change
	refusal    error  // why the change cannot be made in the state as read
	conditions []store.Condition
	writes     []store.Write
}

// transaction returns the transaction of the plan. A refusal is based on reads that may be out of date, so its transaction
// has no writes and proves that the rows were current.
func (p *plan) transaction() store.Transaction {
	if p.refusal != nil {
		return store.Transaction{Conditions: p.conditions}
	}
	return store.Transaction{Conditions: p.conditions, Writes: p.writes}
}

func (p *plan) require(rows ...store.Row) {
	for _, r := range rows {
		p.conditions = append(p.conditions, store.Condition{Key: r.Key, Revision: r.Revision})
	}
}

// prepare reads the rows that the change depends on and plans the transaction.
func (s *Store) prepare(ctx context.Context, c *Change) (plan, error) {
	rows, err := s.table.Read(ctx, []store.Key{headKey, objectRowKey(c.Kind, c.Name), changeKey(c.ID)})
	if err != nil {
		return plan{}, err
	}
	var head headRow
	var present Object
	var earlier changeRow
	for i, v := range []any{&head, &present, &earlier} {
		if err := decode(rows[i], v); err != nil {
			return plan{}, err
		}
	}
	p := plan{}
	if rows[2].Revision != 0 {
		return earlierPlan(c, &earlier), nil
	}
	p.require(rows...)
	if !c.fits(&present) {
		present.Kind, present.Name = c.Kind, c.Name
		p.refusal = &Conflict{Expected: c.Revision, Present: present}
		return p, nil
	}
	p.object = Object{
		Kind: c.Kind, Name: c.Name, Revision: present.Revision + 1, Version: head.Version + 1,
		Document: c.Document, Withdrawn: c.Withdrawn,
	}
	if c.Withdrawn {
		p.object.Document = nil // also when it was empty, so that a lookup of the change returns an equal object
	}
	p.writes = append(p.writes,
		encode(headKey, headRow{Version: p.object.Version, Digest: head.Digest - present.digest() + p.object.digest()}),
		encode(objectRowKey(c.Kind, c.Name), p.object),
		encode(changeKey(c.ID), changeRow{Fingerprint: c.fingerprint(), Object: p.object}),
		encode(logKey(p.object.Version), logRow{Change: c.ID, Object: p.object}))
	if err := s.references(ctx, &p, &present); err != nil {
		return plan{}, err
	}
	return p, s.trimLog(ctx, &p)
}

// earlierPlan returns the result of the change that used the identifier earlier.
func earlierPlan(c *Change, earlier *changeRow) plan {
	if earlier.Fingerprint == c.fingerprint() {
		return plan{done: true, object: earlier.Object}
	}
	return plan{refusal: invalid("change", fmt.Sprintf("%q was used for another change", c.ID), "choose a new identifier")}
}

// fits reports whether the change applies to the object as read.
func (c *Change) fits(present *Object) bool {
	if c.Revision == 0 {
		return !present.Exists() && !c.Withdrawn
	}
	return present.Exists() && present.Revision == c.Revision
}

// references keeps the counts of customers per template, and refuses a change that would leave a customer without its template.
func (s *Store) references(ctx context.Context, p *plan, present *Object) error {
	if p.object.Kind == Template {
		if !p.object.Withdrawn {
			return nil
		}
		return s.checkUnused(ctx, p)
	}
	var before, after template.Customer
	var err error
	if present.Exists() {
		if before, err = template.ParseCustomer(present.Document); err != nil {
			return Unavailable.New("the present document of customer %q cannot be read: %v", present.Name, err)
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
	if err := s.count(ctx, p, before.Template, -1); err != nil {
		return err
	}
	return s.count(ctx, p, after.Template, 1)
}

func (s *Store) checkUnused(ctx context.Context, p *plan) error {
	rows, err := s.table.Read(ctx, []store.Key{usesKey(p.object.Name)})
	if err != nil {
		return err
	}
	var uses usesRow
	if err := decode(rows[0], &uses); err != nil {
		return err
	}
	p.require(rows...)
	if uses.Customers > 0 {
		p.refusal = invalid("name", fmt.Sprintf("%d customers name template %q", uses.Customers, p.object.Name),
			"set these customers to another template or withdraw them first")
	}
	return nil
}

func (s *Store) checkTemplate(ctx context.Context, p *plan, c *template.Customer) error {
	rows, err := s.table.Read(ctx, []store.Key{objectRowKey(Template, c.Template)})
	if err != nil {
		return err
	}
	var object Object
	if err := decode(rows[0], &object); err != nil {
		return err
	}
	p.require(rows...)
	if !object.Exists() {
		p.refusal = invalid("template", fmt.Sprintf("template %q does not exist", c.Template), "publish it first")
		return nil
	}
	t, err := template.ParseTemplate(object.Document)
	if err != nil {
		return Unavailable.New("the document of template %q cannot be read: %v", c.Template, err)
	}
	p.refusal = t.Check(c)
	return nil
}

// count changes the number of customers that name the template.
func (s *Store) count(ctx context.Context, p *plan, name string, by int) error {
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
	p.require(rows...)
	p.writes = append(p.writes, encode(usesKey(name), uses))
	return nil
}

// trimLog deletes the log row that the new one pushes out, with the row of its change identifier.
func (s *Store) trimLog(ctx context.Context, p *plan) error {
	if p.object.Version <= s.log {
		return nil
	}
	rows, err := s.table.Read(ctx, []store.Key{logKey(p.object.Version - s.log)})
	if err != nil {
		return err
	}
	var oldest logRow
	if err := decode(rows[0], &oldest); err != nil {
		return err
	}
	if rows[0].Revision != 0 {
		p.require(rows...)
		p.writes = append(p.writes,
			store.Write{Key: rows[0].Key, Delete: true},
			store.Write{Key: changeKey(oldest.Change), Delete: true})
	}
	return nil
}
