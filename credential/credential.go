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

// maxFileBytes bounds a file; a bundle of 200 authorities takes about 400 KiB.
const maxFileBytes = 1 << 20

// Files are the paths of the PEM files; an empty path means that there is none.
type Files struct {
	Certificate string // the certificate, and then the chain up to an authority
	Key         string // the private key of the certificate
	Authorities string // the authorities that certificates of the other side come from
}

// Role says which side of connections the files serve, and so which of them are required.
type Role int

// The roles.
const (
	Server Role = iota // certificate and key; with authorities, client certificates are required
	Client             // authorities; certificate and key for servers that require them
	Peer               // all files; both sides of a connection present certificates
)

// Dependencies are what a Credential needs from outside; a nil field means the function of the operating system.
type Dependencies struct {
	Stat func(path string) (fs.FileInfo, error)
	Read func(path string) ([]byte, error)
	Now  func() time.Time
}

// Credential is a certificate with its key and authorities, as the files last held them in good order.
type Credential struct {
	files Files
	role  Role
	d     Dependencies

	current atomic.Pointer[material]

	// The fields below belong to Check.
	seen     map[string]version
	bad      bool   // the present files have not been accepted
	reported string // the last finding, so that it is reported once
}

// version identifies the state of a file without its content.
type version struct {
	modified time.Time
	size     int64
}

// material is what the files held at one time; it does not change.
type material struct {
	content     map[string][]byte
	certificate *tls.Certificate // nil for a client without one
	authorities *x509.CertPool   // nil if there are none
}

// New reads the files; the error is one of the kinds of this package. The files are paths that the role requires.
func New(files Files, role Role, d Dependencies) (*Credential, error) {
	if d.Stat == nil {
		d.Stat = os.Stat
	}
	if d.Read == nil {
		d.Read = os.ReadFile
	}
	if d.Now == nil {
		d.Now = time.Now
	}
	c := &Credential{files: files, role: role, d: d}
	if err := c.checkPaths(); err != nil {
		return nil, err
	}
	m, seen, err := c.load()
	if err != nil {
		return nil, err
	}
	c.seen = seen
	c.current.Store(m)
	return c, nil
}

// checkPaths reports files that the role requires and that have no path.
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

// versions returns the present versions of the files.
func (c *Credential) versions() (map[string]version, error) {
	versions := map[string]version{}
	for _, path := range c.paths() {
		info, err := c.d.Stat(path)
		if err != nil {
			return nil, Unreadable.New("%s: %v; write the file or correct the path", path, err)
		}
		if info.Size() > maxFileBytes {
			return nil, Unreadable.New("%s: found %d bytes; write a PEM file of at most %d bytes", path, info.Size(), maxFileBytes)
		}
		if !info.Mode().IsRegular() {
			return nil, Unreadable.New("%s: found a directory or device (%v); name a file", path, info.Mode())
		}
		versions[path] = version{modified: info.ModTime(), size: info.Size()}
	}
	return versions, nil
}

// load reads and checks the files. The versions are taken before the content, so that a file that is written meanwhile
// differs from its version at the next check.
func (c *Credential) load() (*material, map[string]version, error) {
	versions, err := c.versions()
	if err != nil {
		return nil, nil, err
	}
	m := &material{content: map[string][]byte{}}
	for _, path := range c.paths() {
		data, err := c.d.Read(path)
		if err != nil {
			return nil, versions, Unreadable.New("%s: %v; make the file readable for the node", path, err)
		}
		m.content[path] = data
	}
	if old := c.current.Load(); old != nil && maps.EqualFunc(old.content, m.content, equalBytes) {
		return old, versions, c.checkTime(old)
	}
	if err := c.parse(m); err != nil {
		return nil, versions, err
	}
	return m, versions, nil
}

func equalBytes(a, b []byte) bool { return string(a) == string(b) }

func (c *Credential) parse(m *material) error {
	var err error
	if path := c.files.Certificate; path != "" {
		if m.certificate, err = parsePair(path, m.content[path], c.files.Key, m.content[c.files.Key]); err != nil {
			return err
		}
	}
	var issuers []*x509.Certificate
	if path := c.files.Authorities; path != "" {
		if issuers, err = parseCertificates(path, m.content[path]); err != nil {
			return err
		}
		if m.authorities, err = newPool(path, issuers, c.d.Now()); err != nil {
			return err
		}
	}
	if err := c.checkTime(m); err != nil || c.role != Peer {
		return err
	}
	return c.checkPeer(m)
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
	if !matches(key, chain[0]) {
		return nil, Mismatch.New("%s: the key does not belong to the first certificate of %s (%s); write the certificate and its key together", keyPath, path, chain[0].Subject)
	}
	pair := &tls.Certificate{PrivateKey: key, Leaf: chain[0]}
	for _, certificate := range chain {
		pair.Certificate = append(pair.Certificate, certificate.Raw)
	}
	return pair, nil
}

// newPool returns the authorities. One that has expired may stay in the file as long as another one is valid.
func newPool(path string, issuers []*x509.Certificate, now time.Time) (*x509.CertPool, error) {
	pool := x509.NewCertPool()
	valid := false
	for _, issuer := range issuers {
		if !issuer.BasicConstraintsValid || !issuer.IsCA {
			return nil, NoAuthority.New("%s: the certificate of %q is not an authority; write the certificates of the issuers only", path, issuer.Subject)
		}
		pool.AddCert(issuer)
		valid = valid || !now.Before(issuer.NotBefore) && !now.After(issuer.NotAfter)
	}
	if !valid {
		return nil, Expired.New("%s: none of %d authorities is valid now; write one that is", path, len(issuers))
	}
	return pool, nil
}

// checkTime reports an own certificate that is not valid now.
func (c *Credential) checkTime(m *material) error {
	if m.certificate == nil {
		return nil
	}
	leaf, now := m.certificate.Leaf, c.d.Now()
	if now.After(leaf.NotAfter) {
		return Expired.New("%s: the certificate expired at %s; write a new certificate and its key", c.files.Certificate, leaf.NotAfter.Format(time.RFC3339))
	}
	if now.Before(leaf.NotBefore) {
		return NotYetValid.New("%s: the certificate is valid from %s; write one that is valid now, or correct the clock", c.files.Certificate, leaf.NotBefore.Format(time.RFC3339))
	}
	return nil
}

// checkPeer reports an own certificate that other nodes with the same authorities would refuse.
func (c *Credential) checkPeer(m *material) error {
	chain := make([]*x509.Certificate, len(m.certificate.Certificate))
	chain[0] = m.certificate.Leaf
	for i, raw := range m.certificate.Certificate[1:] {
		// parsePair has parsed the same bytes.
		chain[i+1], _ = x509.ParseCertificate(raw)
	}
	for _, use := range []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth} {
		if err := m.verify(chain, use, c.d.Now()); err != nil {
			return Untrusted.New("%s: the authorities in %s do not accept the certificate: %v; have it issued by one of them, for servers and clients", c.files.Certificate, c.files.Authorities, err)
		}
	}
	if len(m.certificate.Leaf.DNSNames)+len(m.certificate.Leaf.IPAddresses) == 0 {
		return WrongName.New("%s: the certificate has no DNS name and no IP address; have it issued for the instance name and the peer address", c.files.Certificate)
	}
	return nil
}

// verify checks a chain, which begins with the certificate of the other side, for one use.
func (m *material) verify(chain []*x509.Certificate, use x509.ExtKeyUsage, now time.Time) error {
	intermediates := x509.NewCertPool()
	for _, certificate := range chain[1:] {
		intermediates.AddCert(certificate)
	}
	_, err := chain[0].Verify(x509.VerifyOptions{
		Roots:         m.authorities,
		Intermediates: intermediates,
		CurrentTime:   now,
		KeyUsages:     []x509.ExtKeyUsage{use},
	})
	return err
}
