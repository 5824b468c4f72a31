package settings

import (
	"strings"

	"github.com/sapphiretack/sapphiretack/request"
)

// TLS holds the files of the listeners that use TLS; a listener with zero TLSFiles uses plain TCP.
type TLS struct {
	Peer     TLSFiles // mutual TLS: both nodes of a connection present certificates
	Caller   TLSFiles
	Operator TLSFiles
}

// TLSFiles are the paths of the PEM files of one listener.
type TLSFiles struct {
	Certificate string
	Key         string
	Authorities string // if set, clients must present a certificate issued by one of these authorities
}

// Enabled reports whether the listener uses TLS.
func (f TLSFiles) Enabled() bool { return f != TLSFiles{} }

// readTLS reads the optional section tls.
func readTLS(o *object) TLS {
	if _, present := o.member("tls"); !present {
		return TLS{}
	}
	return readSection(o, "tls", func(o *object) TLS {
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
	return readSection(o, name, func(o *object) TLSFiles {
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

// readTLSPath reads a required path, which must not be empty.
func readTLSPath(o *object, name, remedy string) string {
	if !o.required(name, remedy) {
		return ""
	}
	path, isString := o.textValue(name)
	if isString && path == "" {
		o.add(name, `found ""`, remedy)
	}
	return path
}

// forInstance returns t with instancePlaceholder in all paths replaced by the name of the instance.
func (t TLS) forInstance(instance request.InstanceID) TLS {
	for _, path := range []*string{
		&t.Peer.Certificate, &t.Peer.Key, &t.Peer.Authorities,
		&t.Caller.Certificate, &t.Caller.Key, &t.Caller.Authorities,
		&t.Operator.Certificate, &t.Operator.Key, &t.Operator.Authorities,
	} {
		*path = strings.ReplaceAll(*path, instancePlaceholder, string(instance))
	}
	return t
}
