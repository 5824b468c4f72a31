package fleet

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/zeebo/errs"
)

// Error is the class of encoding and decoding errors.
var Error = errs.Class("fleet")

// MaxMessageBytes is the maximum size of a message, so that it fits into one Ethernet frame.
const MaxMessageBytes = 1400

// Encode returns a message with as many leading entries as fit, or an Error if there are none or the first one does not fit.
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
	return nil, Error.New("entry exceeds the message limit of %d bytes", MaxMessageBytes)
}

// Decode returns the entries of a message, or an Error if it is malformed.
func Decode(data []byte) ([]Entry, error) {
	var entries []Entry
	if err := cbor.Unmarshal(data, &entries); err != nil {
		return nil, Error.New("decode message of %d bytes: %v", len(data), err)
	}
	return entries, nil
}
