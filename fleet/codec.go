package fleet

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/zeebo/errs"
)

// Error is the class of errors for messages that cannot be read.
var Error = errs.Class("fleet")

// MaxMessageBytes keeps a message within one Ethernet frame.
const MaxMessageBytes = 1400

// Encode returns the entries as one message; entries that do not fit are left out.
func Encode(entries []Entry) ([]byte, error) {
	for n := len(entries); n > 0; n-- {
		data, err := cbor.Marshal(entries[:n])
		if err != nil {
			return nil, Error.Wrap(err)
		}
		if len(data) <= MaxMessageBytes {
			return data, nil
		}
	}
	return nil, Error.New("one entry is larger than %d bytes", MaxMessageBytes)
}

// Decode reads a message; the error says what cannot be read.
func Decode(data []byte) ([]Entry, error) {
	var entries []Entry
	if err := cbor.Unmarshal(data, &entries); err != nil {
		return nil, Error.New("message of %d bytes: %v", len(data), err)
	}
	return entries, nil
}
