package settings

import (
	"strings"

	"github.com/sapphiretack/sapphiretack/request"
)

// TLS names the files of the listeners that use TLS; a listener whose part is zero uses plain TCP.
type TLS struct {
	Peer     TLSFiles // both sides of a connection between nodes present certificates
	Caller   TLSFiles
	Operator TLSFiles
}

// TLSFiles are the paths of PEM files.
type TLSFiles struct {
	Certificate string
	Key         string
	Authorities string // if set, clients must present a certificate of these authorities
}

// Enabled returns whether the listener uses TLS.
func (f TLSFiles) Enabled() bool { return f != TLSFiles{} }

// readTLS reads the optional section of TLS.
func readTLS(o *object) TLS {
	if _, present := o.member("tls"); !present {
		return TLS{}
	}
	return section(o, "tls", func(o *object) TLS {
		if !o.has("peer") && !o.has("caller") && !o.has("operator") {
			o.r.add(o.offset, o.path, "the section names no listener", "add peer, caller or operator, or remove the section to use plain TCP")
		}
		return TLS{
			Peer:     readTLSFiles(o, "peer", true),
			Caller:   readTLSFiles(o, "caller", false),
			Operator: readTLSFiles(o, "operator", false),
		}
	})
}

func readTLSFiles(o *object, name string, mutual bool) TLSFiles {
	if _, present := o.member(name); !present {
		return TLSFiles{}
	}
	return section(o, name, func(o *object) TLSFiles {
		f := TLSFiles{
			Certificate: readTLSPath(o, "certificate_file", "write the path of the certificate in PEM"),
			Key:         readTLSPath(o, "key_file", "write the path of the private key in PEM"),
		}
		if mutual || o.has("authorities_file") {
			f.Authorities = readTLSPath(o, "authorities_file", "write the path of the certificate authorities in PEM")
		} else {
			o.member("authorities_file")
		}
		return f
	})
}

// readTLSPath reads a required path.
func readTLSPath(o *object, name, remedy string) string {
	if !o.required(name, remedy) {
		return ""
	}
	path, isText := o.textValue(name)
	if isText && path == "" {
		o.add(name, `found ""`, remedy)
	}
	return path
}

// of returns the files of one instance of a deployment.
func (t TLS) of(instance request.InstanceID) TLS {
	for _, path := range []*string{
		&t.Peer.Certificate, &t.Peer.Key, &t.Peer.Authorities,
		&t.Caller.Certificate, &t.Caller.Key, &t.Caller.Authorities,
		&t.Operator.Certificate, &t.Operator.Key, &t.Operator.Authorities,
	} {
		*path = strings.ReplaceAll(*path, instancePlaceholder, string(instance))
	}
	return t
}
