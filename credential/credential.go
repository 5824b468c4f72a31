package credential

import (
	"crypto/tls"
	"crypto/x509"
	"io/fs"
	"maps"
	"os"
	"sync/atomic"
	"time"
)

// maxFileBytes is the maximum size of a file; a bundle of 200 authorities is about 400 KiB.
const maxFileBytes = 1 << 20

// Files are the paths of the PEM files; an empty path means no file.
type Files struct {
	Certificate string // the certificate, followed by the chain up to an authority
	Key         string // the private key of the certificate
	Authorities string // the authorities trusted to issue the other side's certificates
}

// Role is the side of a connection that the files are for; it determines which files are required.
type Role int

// The roles.
const (
	Server Role = iota // certificate and key; with authorities, client certificates are required
	Client             // authorities; certificate and key for servers that require them
	Peer               // all files; mutual TLS between nodes
)

// Dependencies are the external functions that a Credential uses; nil fields default to os.Stat, os.ReadFile and time.Now.
type Dependencies struct {
	Stat     func(path string) (fs.FileInfo, error)
	ReadFile func(path string) ([]byte, error)
	Now      func() time.Time
}

// Credential is a certificate with its key and authorities, as last loaded from valid files.
type Credential struct {
	files Files
	role  Role
	deps  Dependencies

	current atomic.Pointer[snapshot]

	// The fields below are used only by Reload.
	loaded     map[string]fileVersion // the files as last loaded, by path
	loadFailed bool                   // the last load failed
	lastError  string                 // text of the last error, which Reload returns only once
}

// fileVersion identifies the content of a file by its metadata.
type fileVersion struct {
	modified time.Time
	size     int64
}

// snapshot is the content of the files as loaded at one time; it is immutable.
type snapshot struct {
	content     map[string][]byte
	certificate *tls.Certificate // nil for a client without a certificate
	authorities *x509.CertPool   // nil if there are none
}

// New loads the files. It returns an error of one of this package's classes if a file that the role requires has no path, or if
// a file is invalid.
func New(files Files, role Role, d Dependencies) (*Credential, error) {
	if d.Stat == nil {
		d.Stat = os.Stat
	}
	if d.ReadFile == nil {
		d.ReadFile = os.ReadFile
	}
	if d.Now == nil {
		d.Now = time.Now
	}
	c := &Credential{files: files, role: role, deps: d}
	if err := c.checkPaths(); err != nil {
		return nil, err
	}
	s, loaded, err := c.load()
	if err != nil {
		return nil, err
	}
	c.loaded = loaded
	c.current.Store(s)
	return c, nil
}

// checkPaths returns an error if a file that the role requires has no path.
func (c *Credential) checkPaths() error {
	hasPair := c.files.Certificate != "" && c.files.Key != ""
	if !hasPair && (c.role != Client || c.files.Certificate != c.files.Key) {
		return Unreadable.New("found certificate file %q and key file %q; name both", c.files.Certificate, c.files.Key)
	}
	if c.role != Server && c.files.Authorities == "" {
		return Unreadable.New("found no authorities file; name the file of the authorities that issue the certificates of the other side")
	}
	return nil
}

func (c *Credential) paths() []string {
	var paths []string
	for _, path := range []string{c.files.Certificate, c.files.Key, c.files.Authorities} {
		if path != "" {
			paths = append(paths, path)
		}
	}
	return paths
}

// versions returns the current versions of the files by path.
func (c *Credential) versions() (map[string]fileVersion, error) {
	versions := map[string]fileVersion{}
	for _, path := range c.paths() {
		info, err := c.deps.Stat(path)
		if err != nil {
			return nil, Unreadable.New("%s: %v; write the file or correct the path", path, err)
		}
		if info.Size() > maxFileBytes {
			return nil, Unreadable.New("%s: found %d bytes; write a PEM file of at most %d bytes", path, info.Size(), maxFileBytes)
		}
		if !info.Mode().IsRegular() {
			return nil, Unreadable.New("%s: found a directory or device (%v); set the path of a regular file", path, info.Mode())
		}
		versions[path] = fileVersion{modified: info.ModTime(), size: info.Size()}
	}
	return versions, nil
}

// load reads and validates the files. It takes the versions before it reads the content, so that a concurrent write shows as a
// changed version at the next check.
func (c *Credential) load() (*snapshot, map[string]fileVersion, error) {
	versions, err := c.versions()
	if err != nil {
		return nil, nil, err
	}
	s := &snapshot{content: map[string][]byte{}}
	for _, path := range c.paths() {
		data, err := c.deps.ReadFile(path)
		if err != nil {
			return nil, versions, Unreadable.New("%s: %v; make the file readable by the node", path, err)
		}
		s.content[path] = data
	}
	if old := c.current.Load(); old != nil && maps.EqualFunc(old.content, s.content, equalBytes) {
		return old, versions, c.checkTime(old)
	}
	if err := c.parse(s); err != nil {
		return nil, versions, err
	}
	return s, versions, nil
}

func equalBytes(a, b []byte) bool { return string(a) == string(b) }

func (c *Credential) parse(s *snapshot) error {
	var err error
	if path := c.files.Certificate; path != "" {
		if s.certificate, err = parsePair(path, s.content[path], c.files.Key, s.content[c.files.Key]); err != nil {
			return err
		}
	}
	var issuers []*x509.Certificate
	if path := c.files.Authorities; path != "" {
		if issuers, err = parseCertificates(path, s.content[path]); err != nil {
			return err
		}
		if s.authorities, err = newPool(path, issuers, c.deps.Now()); err != nil {
			return err
		}
	}
	if err := c.checkTime(s); err != nil || c.role != Peer {
		return err
	}
	return c.checkPeer(s)
}

func parsePair(path string, data []byte, keyPath string, keyData []byte) (*tls.Certificate, error) {
	chain, err := parseCertificates(path, data)
	if err != nil {
		return nil, err
	}
	key, err := parseKey(keyPath, keyData)
	if err != nil {
		return nil, err
	}
	if !keyMatches(key, chain[0]) {
		return nil, KeyMismatch.New("%s: the key does not belong to the first certificate of %s (%s); write the certificate and its key together", keyPath, path, chain[0].Subject)
	}
	pair := &tls.Certificate{PrivateKey: key, Leaf: chain[0]}
	for _, certificate := range chain {
		pair.Certificate = append(pair.Certificate, certificate.Raw)
	}
	return pair, nil
}

// newPool returns a pool of the authorities. Expired ones are permitted as long as at least one authority is valid.
func newPool(path string, issuers []*x509.Certificate, now time.Time) (*x509.CertPool, error) {
	pool := x509.NewCertPool()
	valid := false
	for _, issuer := range issuers {
		if !issuer.BasicConstraintsValid || !issuer.IsCA {
			return nil, NotAuthority.New("%s: the certificate of %q is not an authority; write the certificates of the issuers only", path, issuer.Subject)
		}
		pool.AddCert(issuer)
		valid = valid || !now.Before(issuer.NotBefore) && !now.After(issuer.NotAfter)
	}
	if !valid {
		return nil, Expired.New("%s: none of %d authorities is valid now; write one that is", path, len(issuers))
	}
	return pool, nil
}

// checkTime returns an error if the certificate of this side has expired or is not yet valid.
func (c *Credential) checkTime(s *snapshot) error {
	if s.certificate == nil {
		return nil
	}
	leaf, now := s.certificate.Leaf, c.deps.Now()
	if now.After(leaf.NotAfter) {
		return Expired.New("%s: the certificate expired at %s; write a new certificate and its key", c.files.Certificate, leaf.NotAfter.Format(time.RFC3339))
	}
	if now.Before(leaf.NotBefore) {
		return NotYetValid.New("%s: the certificate is valid from %s; write one that is valid now, or correct the clock", c.files.Certificate, leaf.NotBefore.Format(time.RFC3339))
	}
	return nil
}

// checkPeer returns an error if nodes with the same authorities would reject this node's certificate.
func (c *Credential) checkPeer(s *snapshot) error {
	chain := make([]*x509.Certificate, len(s.certificate.Certificate))
	chain[0] = s.certificate.Leaf
	for i, raw := range s.certificate.Certificate[1:] {
		// parsePair has already parsed the same bytes without an error.
		chain[i+1], _ = x509.ParseCertificate(raw)
	}
	for _, use := range []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth} {
		if err := s.verify(chain, use, c.deps.Now()); err != nil {
			return Untrusted.New("%s: the authorities in %s do not accept the certificate: %v; have it issued by one of them, for servers and clients", c.files.Certificate, c.files.Authorities, err)
		}
	}
	if len(s.certificate.Leaf.DNSNames)+len(s.certificate.Leaf.IPAddresses) == 0 {
		return WrongName.New("%s: the certificate has no DNS name and no IP address; have it issued for the instance name and the peer address", c.files.Certificate)
	}
	return nil
}

// verify verifies a chain, leaf first, against the authorities for one extended key usage.
func (s *snapshot) verify(chain []*x509.Certificate, use x509.ExtKeyUsage, now time.Time) error {
	intermediates := x509.NewCertPool()
	for _, certificate := range chain[1:] {
		intermediates.AddCert(certificate)
	}
	_, err := chain[0].Verify(x509.VerifyOptions{
		Roots:         s.authorities,
		Intermediates: intermediates,
		CurrentTime:   now,
		KeyUsages:     []x509.ExtKeyUsage{use},
	})
	return err
}
