package store

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
)

// The paths of the protocol. All but ObjectPath take a POST with a JSON body; objects are read with GET and written with PUT.
const (
	ReadPath   = "/v1/table/read"
	ScanPath   = "/v1/table/scan"
	CommitPath = "/v1/table/commit"
	ObjectPath = "/v1/objects/" // followed by the name
)

// The kinds of error responses.
const (
	KindConditionFailed = "condition_failed" // status 409
	KindUnavailable     = "unavailable"      // status 503, nothing was applied
	KindRefused         = "refused"          // status 400
	KindNotFound        = "not_found"        // status 404
)

// ReadRequest is the body of a read.
type ReadRequest struct {
	Keys []Key `json:"keys"`
}

// ScanRequest is the body of a scan.
type ScanRequest struct {
	Prefix Key `json:"prefix"`
	After  Key `json:"after"`
	Limit  int `json:"limit"`
}

// RowsResponse is the response to a read or a scan.
type RowsResponse struct {
	Rows []Row `json:"rows"`
}

// ErrorResponse is the response to a request that was not carried out.
type ErrorResponse struct {
	Kind    string `json:"kind"`
	Message string `json:"message"`
	Remedy  string `json:"remedy"`
}

// DecodeStrict reads one JSON value into v and refuses unknown fields and trailing text.
func DecodeStrict(data []byte, v any) error {
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return Refused.New("the body is not valid: %v; see package platform for the protocol", err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return Refused.New("there is text after the body; send one JSON value")
	}
	return nil
}

// decodeRows reads the response to a read or a scan. Unknown fields are permitted, so that the platform can add some.
func decodeRows(data []byte) ([]Row, error) {
	var response RowsResponse
	if err := json.Unmarshal(data, &response); err != nil {
		return nil, errors.New("the response is not valid JSON")
	}
	for _, r := range response.Rows {
		if checkKey(r.Key) != nil || len(r.Value) > MaxValueBytes {
			return nil, errors.New("a row is outside the bounds of the protocol")
		}
	}
	return response.Rows, nil
}

// decodeRead reads the response to a read of the keys.
func decodeRead(data []byte, keys []Key) ([]Row, error) {
	rows, err := decodeRows(data)
	if err != nil {
		return nil, err
	}
	if len(rows) != len(keys) {
		return nil, errors.New("the response has another number of rows than were asked for")
	}
	for i, r := range rows {
		if r.Key != keys[i] {
			return nil, errors.New("the response has rows in another order than was asked for")
		}
	}
	return rows, nil
}

// decodeScan reads the response to a scan and checks that its rows can belong to it.
func decodeScan(data []byte, s ScanRequest) ([]Row, error) {
	rows, err := decodeRows(data)
	if err != nil {
		return nil, err
	}
	if len(rows) > s.Limit {
		return nil, errors.New("the response has more rows than were asked for")
	}
	after := s.After
	for _, r := range rows {
		if !hasPrefix(r.Key, s.Prefix) || r.Key <= after || r.Revision == 0 {
			return nil, errors.New("the response has a row outside the scan")
		}
		after = r.Key
	}
	return rows, nil
}

func hasPrefix(k, prefix Key) bool { return len(k) >= len(prefix) && k[:len(prefix)] == prefix }

// errorOf returns the typed error for an error response, or nil if the kind proves nothing.
func errorOf(status int, data []byte) error {
	var response ErrorResponse
	if json.Unmarshal(data, &response) != nil {
		return nil
	}
	message := clip(response.Message)
	switch {
	case status == 409 && response.Kind == KindConditionFailed:
		return ConditionFailed.New("%s", message)
	case status == 503 && response.Kind == KindUnavailable:
		return Unavailable.New("%s", message)
	case status == 400 && response.Kind == KindRefused:
		return Refused.New("%s", message)
	case status == 404 && response.Kind == KindNotFound:
		return NotFound.New("%s", message)
	}
	return nil
}

// maxMessageBytes bounds a message from the platform in an error.
const maxMessageBytes = 300

func clip(s string) string {
	if len(s) > maxMessageBytes {
		return s[:maxMessageBytes]
	}
	return s
}
