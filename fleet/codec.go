package fleet

import (
	"net/netip"

	"github.com/fxamacker/cbor/v2"
	"github.com/zeebo/errs"

	"github.com/sapphiretack/sapphiretack/quarantine"
	"github.com/sapphiretack/sapphiretack/routing"
)

// Error is the class of encoding and decoding errors.
var Error = errs.Class("fleet")

const (
	// MaxMessageBytes is the maximum size of a message, so that it fits into one Ethernet frame.
	MaxMessageBytes = 1400
	// messageOverhead is the maximum size in bytes of a message without its entries and summaries.
	messageOverhead = 32
)

// summaryMessage is the encoding of a message with summaries or crash reports. It is a map where a message with entries is an array, so
// that the two can be told apart and nodes of earlier versions, which know entries only, reject it.
type summaryMessage struct {
	Version   routing.Version `cbor:"1,keyasint"`
	Summaries []Summary       `cbor:"2,keyasint,omitempty"`
	// Crashes are ignored by nodes of earlier versions.
	Crashes []quarantine.Report `cbor:"3,keyasint,omitempty"`
}

// Encode returns a message as bytes, or an Error if it is empty or exceeds MaxMessageBytes.
func Encode(m Message) ([]byte, error) {
	var data []byte
	var err error
	switch {
	case len(m.Entries) > 0:
		data, err = cbor.Marshal(m.Entries)
	case len(m.Summaries) > 0 || len(m.Crashes) > 0:
		data, err = cbor.Marshal(summaryMessage{m.ConfigurationVersion, m.Summaries, m.Crashes})
	default:
		return nil, Error.New("message is empty")
	}
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if len(data) > MaxMessageBytes {
		return nil, Error.New("message of %d bytes exceeds the limit of %d bytes", len(data), MaxMessageBytes)
	}
	return data, nil
}

// arrayMajorType is the major type of a CBOR array, the upper three bits of its first byte.
const arrayMajorType = 4

// Decode returns a message without its recipient, or an Error if it is malformed.
func Decode(data []byte) (Message, error) {
	if len(data) > 0 && data[0]>>5 == arrayMajorType {
		var entries []Entry
		if err := cbor.Unmarshal(data, &entries); err != nil {
			return Message{}, Error.New("decode message of %d bytes: %v", len(data), err)
		}
		return Message{Entries: entries}, nil
	}
	var m summaryMessage
	if err := cbor.Unmarshal(data, &m); err != nil {
		return Message{}, Error.New("decode message of %d bytes: %v", len(data), err)
	}
	return Message{ConfigurationVersion: m.Version, Summaries: m.Summaries, Crashes: m.Crashes}, nil
}

// headSize returns the encoded size in bytes of a number, or of the head of a text or array of that length.
func headSize(v uint64) int {
	switch {
	case v < 24:
		return 1
	case v < 1<<8:
		return 2
	case v < 1<<16:
		return 3
	case v < 1<<32:
		return 5
	default:
		return 9
	}
}

func textSize(n int) int { return headSize(uint64(n)) + n }

func addressSize(a netip.Addr) int { return textSize(a.BitLen()/8 + len(a.Zone())) }

const (
	// float32Size is the encoded size in bytes of a float32.
	float32Size = 5
	// timeSize is the maximum encoded size in bytes of a duration, in whole nanoseconds.
	timeSize = 9
)

func ratesSize(rates []Rate) int {
	size := headSize(uint64(len(rates)))
	for _, r := range rates {
		size += 1 + headSize(uint64(r.Route)) + float32Size
	}
	return size
}

// size returns an upper bound of the encoded size of the entry in bytes.
func (e *Entry) size() int {
	return 1 + addressSize(e.Address) + textSize(len(e.Zone)) + textSize(len(e.Service)) + textSize(len(e.Instance)) +
		headSize(uint64(e.Incarnation)) + headSize(uint64(e.Sequence)) + timeSize + headSize(uint64(e.Health)) +
		headSize(uint64(e.Limit)) + headSize(uint64(e.LoadPermille)) + headSize(uint64(e.DominantRoute)) + timeSize +
		headSize(uint64(e.FailurePercent)) + headSize(uint64(e.ConfigurationVersion)) + ratesSize(e.Rates)
}

// size returns an upper bound of the encoded size of the summary in bytes.
func (s *Summary) size() int {
	size := 1 + textSize(len(s.Zone)) + textSize(len(s.Service)) + timeSize + headSize(uint64(s.Nodes)) + headSize(uint64(s.Instances)) +
		headSize(uint64(s.Slots)) + headSize(uint64(s.LoadPermille)) + headSize(uint64(s.FailurePercent)) +
		headSize(uint64(len(s.Speeds))) + ratesSize(s.Rates) + headSize(uint64(len(s.Servers)))
	for _, r := range s.Speeds {
		size += 1 + headSize(uint64(r.Route)) + headSize(uint64(r.Slots)) + timeSize + float32Size
	}
	for _, server := range s.Servers {
		size += 1 + addressSize(server.Address) + textSize(len(server.Instance)) + headSize(uint64(server.Limit)) + timeSize + headSize(uint64(server.DominantRoute))
	}
	return size
}
