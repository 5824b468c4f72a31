package fleet_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/sapphiretack/sapphiretack/fleet"
	"github.com/sapphiretack/sapphiretack/request"
)

// departuresTo returns the departures in the messages of one tick that tell node n of its own backend server.
func departuresTo(table *fleet.Table, now request.Instant, n int) []fleet.Entry {
	var out []fleet.Entry
	for _, m := range table.Messages(now) {
		for _, e := range m.Entries {
			if m.To == address(n) && e.Address == address(n) {
				out = append(out, e)
			}
		}
	}
	return out
}

// TestRestartedNodeIsTold guards against a node that has forgotten in a restart that its backend server has left, and against messages that
// tell it for as long as it runs.
func TestRestartedNodeIsTold(t *testing.T) {
	c := qt.New(t)
	table, restarted := newTable(0), newTable(3)
	e := entry(3, 1, 1)
	e.Health, e.Instance = fleet.Departed, request.InstanceID("i-1").WithStart(time.UnixMilli(1_785_000_000_000))
	table.Merge(0, []fleet.Entry{e})
	tick := request.Instant(100 * time.Millisecond)
	c.Check(departuresTo(table, tick, 3), qt.HasLen, 0) // the node knows
	table.Merge(2*tick, []fleet.Entry{entry(3, 2, 1)})
	i, ok := find(table, 2*tick, 3)
	c.Assert(ok, qt.IsTrue)
	c.Check(i.Health, qt.Equals, fleet.Serving) // of an unknown incarnation
	told := departuresTo(table, 2*tick, 3)
	c.Assert(told, qt.HasLen, 1)
	data, err := fleet.Encode(fleet.Message{Entries: told})
	c.Assert(err, qt.IsNil)
	m, err := fleet.Decode(data)
	c.Assert(err, qt.IsNil)
	restarted.Merge(0, m.Entries)
	c.Check(restarted.TakeToldDepartures(), qt.DeepEquals, []fleet.ToldDeparture{{Instance: e.Instance, Age: 200 * time.Millisecond}})
	c.Check(restarted.TakeToldDepartures(), qt.HasLen, 0)
	messages := 0
	for i := range 100 {
		now := request.Instant(3+i) * tick
		next := entry(3, 2, uint32(2+i))
		table.Merge(now, []fleet.Entry{next})
		messages += len(departuresTo(table, now, 3))
	}
	c.Check(messages > 0 && messages < 10, qt.IsTrue, qt.Commentf("%d messages", messages))
}

// TestRestartedNodeIsConfirmed guards against a node that cannot know after a restart that its backend server has not left, against one that is
// told so of a backend server that has left or that its node did not use, and against messages that tell it for as long as it runs.
func TestRestartedNodeIsConfirmed(t *testing.T) {
	instance := request.InstanceID("i-1").WithStart(time.UnixMilli(1_785_000_000_000))
	tick := request.Instant(100 * time.Millisecond)
	for name, test := range map[string]struct {
		earlier   fleet.Entry
		isLeaving bool // whether a response has told the other node that the backend server leaves
		want      []request.InstanceID
	}{
		"serving":             {earlier: fleet.Entry{Health: fleet.Serving, Instance: instance}, want: []request.InstanceID{instance}},
		"node was stopped":    {earlier: fleet.Entry{Health: fleet.Leaving, Instance: instance}, want: []request.InstanceID{instance}},
		"departed":            {earlier: fleet.Entry{Health: fleet.Departed, Instance: instance}},
		"leaving by response": {earlier: fleet.Entry{Health: fleet.Serving, Instance: instance}, isLeaving: true},
		"not used":            {earlier: fleet.Entry{Health: fleet.Absent, Instance: instance}},
		"unknown":             {earlier: fleet.Entry{Health: fleet.Leaving}},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			table, restarted := newTable(0), newTable(3)
			e := entry(3, 1, 1)
			e.Health, e.Instance = test.earlier.Health, test.earlier.Instance
			table.Merge(0, []fleet.Entry{e})
			if test.isLeaving {
				table.MarkLeaving(0, instance)
			}
			restarted.RenewSelf(0, fleet.Entry{Incarnation: 2})
			told := 0
			for i := range 100 {
				now := request.Instant(1+i) * tick
				table.Merge(now, []fleet.Entry{{Address: address(3), Zone: zoneOf(3), Incarnation: 2, Sequence: uint32(1 + i)}})
				for _, e := range departuresTo(table, now, 3) {
					if e.Health == fleet.Departed {
						continue
					}
					told++
					data, err := fleet.Encode(fleet.Message{Entries: []fleet.Entry{e}})
					c.Assert(err, qt.IsNil)
					m, err := fleet.Decode(data)
					c.Assert(err, qt.IsNil)
					restarted.Merge(now, m.Entries)
				}
				if i == 0 {
					c.Check(restarted.TakeConfirmed(), qt.DeepEquals, test.want)
				}
			}
			c.Check(told < 10, qt.IsTrue, qt.Commentf("%d messages", told))
			restarted.TakeConfirmed()
			// The entry of the node itself comes back from others.
			e.Incarnation, e.Health, e.Instance = 2, fleet.Serving, instance
			restarted.Merge(0, []fleet.Entry{e})
			c.Check(restarted.TakeConfirmed(), qt.HasLen, 0)
		})
	}
}

// TestDepartedIncarnationIsAvoided guards against requests to an incarnation that has left, because its node has restarted and takes it for
// serving, and against a later incarnation that is avoided.
func TestDepartedIncarnationIsAvoided(t *testing.T) {
	c := qt.New(t)
	born := time.UnixMilli(1_785_000_000_000)
	id := request.InstanceID("i-1")
	for _, test := range []struct {
		departed, entry request.InstanceID
		want            fleet.Health
	}{
		{id.WithStart(born), id.WithStart(born), fleet.Leaving},
		{id.WithStart(born), id.WithStart(born.Add(time.Second)), fleet.Serving},
		{id, id.WithStart(born), fleet.Serving}, // the node tells the two apart by the time of the departure
	} {
		table := newTable(0)
		e := entry(3, 1, 1)
		e.Health, e.Instance = fleet.Departed, test.departed
		table.Merge(0, []fleet.Entry{e})
		e = entry(3, 2, 1)
		e.Instance = test.entry
		table.Merge(0, []fleet.Entry{e})
		i, ok := find(table, 0, 3)
		c.Assert(ok, qt.IsTrue)
		c.Check(i.Health, qt.Equals, test.want, qt.Commentf("%s departed, %s told", test.departed, test.entry))
	}
}
