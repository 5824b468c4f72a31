package member

import (
	"math/bits"

	"github.com/sapphiretack/sapphiretack/quarantine"
)

// Size returns the encoded protobuf size of the message in bytes without building the protobuf message. It applies to
// requests and responses alike, as both encode these fields in the same size.
func (msg *Message) Size() int {
	n := stringField(len(msg.From)) + varintField(msg.ConfigurationVersion) + stringField(len(msg.Probe))
	for i := range msg.Members {
		n += lengthDelimited(msg.Members[i].size())
	}
	for i := range msg.Crashes {
		n += lengthDelimited(crashSize(&msg.Crashes[i]))
	}
	for i := range msg.Digests {
		n += lengthDelimited(msg.Digests[i].size())
	}
	if msg.ProbeAnswered {
		n += 2
	}
	return n
}

func (m *Member) size() int {
	return stringField(len(m.Instance)) + stringField(len(m.Service)) + stringField(len(m.Zone)) +
		stringField(len(m.Region)) + stringField(len(m.Address)) + stringField(len(m.SuspectedBy)) +
		fixed64Field(uint64(m.Incarnation)) + varintField(uint64(m.State)) + varintField(uint64(m.Revision)) +
		varintField(m.ConfigurationVersion) + varintField(uint64(m.Slots))
}

func (d *RangeDigest) size() int {
	return fixed64Field(d.First) + fixed64Field(d.Last) + fixed64Field(d.Hash) + varintField(uint64(d.Count)) +
		stringField(4*len(d.Parts)) + stringField(4*len(d.Entries))
}

func crashSize(r *quarantine.Record) int {
	n := fixed64Field(uint64(r.Fingerprint)) + varintField(uint64(r.Count)) + varintField(uint64(r.Remaining)) +
		stringField(len(r.Service))
	for _, c := range r.Crashes {
		n += lengthDelimited(stringField(len(c.Instance)) + fixed64Field(uint64(c.Incarnation)))
	}
	for _, l := range r.Losses {
		n += lengthDelimited(stringField(len(l.Instance)) + fixed64Field(uint64(l.Incarnation)) + varintField(uint64(l.Remaining)))
	}
	return n
}

// stringField returns the size of a string, bytes or packed field, which is omitted if empty. All field numbers are below
// 16, so that a tag takes one byte.
func stringField(length int) int {
	if length == 0 {
		return 0
	}
	return lengthDelimited(length)
}

// lengthDelimited returns the size of a length-delimited field, which is never omitted.
func lengthDelimited(length int) int { return 1 + varintSize(uint64(length)) + length }

func fixed64Field(v uint64) int {
	if v == 0 {
		return 0
	}
	return 9
}

func varintField(v uint64) int {
	if v == 0 {
		return 0
	}
	return 1 + varintSize(v)
}

func varintSize(v uint64) int { return (bits.Len64(v|1) + 6) / 7 }
