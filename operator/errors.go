package operator

import (
	"errors"
	"net/http"
)

// ErrorKind classifies an error by what it means for the request.
type ErrorKind string

// The kinds of errors. After Indeterminate the change may have been applied; after all others it was not.
const (
	Malformed     ErrorKind = "malformed"
	Invalid       ErrorKind = "invalid" // the document fails validation
	NotFound      ErrorKind = "not_found"
	Conflict      ErrorKind = "conflict"      // the revision is not the current one
	Unavailable   ErrorKind = "unavailable"   // the platform refused the request or is unreachable
	Indeterminate ErrorKind = "indeterminate" // the change may have been applied
	NotReady      ErrorKind = "not_ready"
	Internal      ErrorKind = "internal"
	Unreachable   ErrorKind = "unreachable" // set by the client: the connection or its TLS handshake failed
)

var httpStatus = map[ErrorKind]int{
	Malformed:     http.StatusBadRequest,
	Invalid:       http.StatusUnprocessableEntity,
	NotFound:      http.StatusNotFound,
	Conflict:      http.StatusConflict,
	Unavailable:   http.StatusServiceUnavailable,
	Indeterminate: http.StatusGatewayTimeout,
	NotReady:      http.StatusServiceUnavailable,
	Internal:      http.StatusInternalServerError,
}

// Error is an error of the operator interface; responses contain it as JSON.
type Error struct {
	Kind    ErrorKind `json:"kind"`
	Message string    `json:"message"`
	Remedy  string    `json:"remedy"`
	Current *Object   `json:"present,omitempty"` // the current object, for Conflict
}

// Error returns the message and the remedy, separated by a semicolon.
func (e *Error) Error() string { return e.Message + "; " + e.Remedy }

// asError returns err as an *Error; an error of another type gets the kind Internal.
func asError(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return &Error{Kind: Internal, Message: err.Error(), Remedy: "look at the log of the node"}
}
