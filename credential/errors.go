package credential

import "github.com/zeebo/errs"

// The classes of errors; each message contains the file, the finding and a remedy.
var (
	// Unreadable means that a file has no path, cannot be read, is not a regular file or is too large.
	Unreadable = errs.Class("credential file unreadable")
	// Malformed means that a file does not contain the expected PEM blocks.
	Malformed = errs.Class("credential file malformed")
	// KeyMismatch means that the private key does not match the certificate.
	KeyMismatch = errs.Class("key mismatch")
	// Expired means that the certificate has expired, or that no authority is valid now.
	Expired = errs.Class("certificate expired")
	// NotYetValid means that the certificate becomes valid in the future.
	NotYetValid = errs.Class("certificate not yet valid")
	// NotAuthority means that a certificate in the authorities file is not a certificate authority.
	NotAuthority = errs.Class("no certificate authority")
	// Untrusted means that the authorities do not accept a certificate, or not for its use, or that a peer presented none.
	Untrusted = errs.Class("certificate untrusted")
	// WrongName means that a certificate has no name or address, or is for another instance.
	WrongName = errs.Class("certificate of another instance")
)
