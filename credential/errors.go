package credential

import "github.com/zeebo/errs"

// The kinds of errors; each message names the file, what was found and the remedy.
var (
	// Unreadable means that a file could not be read or is too large.
	Unreadable = errs.Class("credential file unreadable")
	// Malformed means that a file does not hold what it should hold in PEM.
	Malformed = errs.Class("credential file malformed")
	// Mismatch means that the key does not belong to the certificate.
	Mismatch = errs.Class("key mismatch")
	// Expired means that the certificate, or each authority, is no longer valid.
	Expired = errs.Class("certificate expired")
	// NotYetValid means that the certificate is valid only later.
	NotYetValid = errs.Class("certificate not yet valid")
	// NoAuthority means that the authorities file holds a certificate that is no authority.
	NoAuthority = errs.Class("no certificate authority")
	// Untrusted means that the authorities do not accept a certificate for its use.
	Untrusted = errs.Class("certificate untrusted")
	// WrongName means that the certificate of a server names another instance.
	WrongName = errs.Class("certificate of another instance")
)
