package member

import (
	"math/bits"

	"github.com/sapphiretack/sapphiretack/quarantine"
)

// Size returns the encoded size of the message in bytes, without allocating the protobuf message. The response has the
// same size as the request, within the byte of a flag.
func (msg *Message) Size() int {
	n := stringSize(len(msg.From)) + varintField(msg.ConfigurationVersion) + stringSize(len(msg.Probe))
	for i := range msg.Members {
		n += nested(msg.Members[i].size())
	}
	for i := range msg.Crashes {
		n += nested(crashSize(&msg.Crashes[i]))
	}
	for i := range msg.Digests {
		n += nested(msg.Digests[i].size())
	}
	if msg.ProbeAnswered {
		n += 2
	}
	return n
}

func (m *Member) size() int {
	return stringSize(len(m.Instance)) + stringSize(len(m.Service)) + stringSize(len(m.Zone)) +
		stringSize(len(m.Region)) + stringSize(len(m.Address)) + stringSize(len(m.SuspectedBy)) +
		fixedField(uint64(m.Incarnation)) + varintField(uint64(m.State)) + varintField(uint64(m.Revision)) +
		varintField(m.ConfigurationVersion) + varintField(uint64(m.Slots))
}

func (d *RangeDigest) size() int {
	return fixedField(d.First) + fixedField(d.Last) + fixedField(d.Hash) + varintField(uint64(d.Count)) +
		stringSize(4*len(d.Parts)) + stringSize(4*len(d.Entries))
}

func crashSize(r *quarantine.Record) int {
	n := fixedField(uint64(r.Fingerprint)) + varintField(uint64(r.Count)) + varintField(uint64(r.Remaining)) +
		stringSize(len(r.Service))
	for _, c := range r.Crashes {
		n += nested(stringSize(len(c.Instance)) + fixedField(uint64(c.Incarnation)))
	}
	for _, l := range r.Losses {
		n += nested(stringSize(len(l.Instance)) + fixedField(uint64(l.Incarnation)) + varintField(uint64(l.Remaining)))
	}
	return n
}

// All field numbers are below 16, so that a tag takes one byte.
func stringSize(length int) int {
	if length == 0 {
		return 0
	}
	return nested(length)
}

func nested(length int) int { return 1 + varint(uint64(length)) + length }

func fixedField(v uint64) int {
	if v == 0 {
		return 0
	}
	return 9
}

func varintField(v uint64) int {
	if v == 0 {
		return 0
	}
	return 1 + varint(v)
}

func varint(v uint64) int { return (bits.Len64(v|1) + 6) / 7 }
