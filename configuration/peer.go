package configuration

import (
	"slices"

	"github.com/sapphiretack/sapphiretack/peer"
)

// maxPeerObjects bounds the objects in one response of a peer. At 90 bytes for a small customer, a message of this many
// objects would have over 90 MB.
const maxPeerObjects = 1 << 20

// Response returns the update as a message to a peer. A snapshot of many customers is larger than the 4 MiB that gRPC
// receives by default.
func (u *Update) Response() *peer.ConfigurationResponse {
	r := &peer.ConfigurationResponse{Version: uint64(u.Version), Snapshot: u.Snapshot}
	for i := range u.Objects {
		o := &u.Objects[i]
		r.Objects = append(r.Objects, &peer.ConfigurationObject{
			Kind: o.Kind.String(), Name: o.Name, Revision: uint64(o.Revision), Version: uint64(o.Version),
			Document: o.Document, Withdrawn: o.Withdrawn,
		})
	}
	return r
}

// ParseResponse returns the update in a message of a peer; the error is of class Rejected. Replica.Apply checks the rest.
func ParseResponse(r *peer.ConfigurationResponse) (Update, error) {
	if len(r.GetObjects()) > maxPeerObjects {
		return Update{}, Rejected.New("a peer sent %d objects; fetch from another instance", len(r.GetObjects()))
	}
	u := Update{Version: Version(r.GetVersion()), Snapshot: r.GetSnapshot()}
	for _, o := range r.GetObjects() {
		k, err := ParseKind(o.GetKind())
		if err != nil {
			return Update{}, err
		}
		u.Objects = append(u.Objects, Object{
			Kind: k, Name: o.GetName(), Revision: Revision(o.GetRevision()), Version: Version(o.GetVersion()),
			Document: slices.Clone(o.GetDocument()), Withdrawn: o.GetWithdrawn(),
		})
	}
	return u, nil
}
