package operator

import (
	"errors"
	"net/http"
)

// ErrorKind says what an error means for the request that met it.
type ErrorKind string

// The kinds. Only Indeterminate leaves open whether a change was applied; after all others it was not.
const (
	Malformed     ErrorKind = "malformed"
	Invalid       ErrorKind = "invalid" // the document has problems
	NotFound      ErrorKind = "not_found"
	Conflict      ErrorKind = "conflict"      // the revision is not the present one
	Unavailable   ErrorKind = "unavailable"   // the platform refused or cannot be reached
	Indeterminate ErrorKind = "indeterminate" // the change may have been applied
	NotReady      ErrorKind = "not_ready"
	Internal      ErrorKind = "internal"
	Unreachable   ErrorKind = "unreachable" // made by the client: no operator listener answered
)

var errorStatus = map[ErrorKind]int{
	Malformed:     http.StatusBadRequest,
	Invalid:       http.StatusUnprocessableEntity,
	NotFound:      http.StatusNotFound,
	Conflict:      http.StatusConflict,
	Unavailable:   http.StatusServiceUnavailable,
	Indeterminate: http.StatusGatewayTimeout,
	NotReady:      http.StatusServiceUnavailable,
	Internal:      http.StatusInternalServerError,
}

// Error is an error of the operator interface, as it is sent in JSON.
type Error struct {
	Kind    ErrorKind `json:"kind"`
	Message string    `json:"message"`
	Remedy  string    `json:"remedy"`
	Present *Object   `json:"present,omitempty"` // the present object, for Conflict
}

// Error returns the message and the remedy.
func (e *Error) Error() string { return e.Message + "; " + e.Remedy }

// asError returns err as an *Error; an error of another type is an internal one.
func asError(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return &Error{Kind: Internal, Message: err.Error(), Remedy: "look at the log of the node"}
}
