package configuration

import (
	"slices"

	"github.com/sapphiretack/sapphiretack/peer"
)

// maxPeerObjects is the maximum number of objects in a peer's response. At 90 bytes for a small customer, such a message
// exceeds 90 MB.
const maxPeerObjects = 1 << 20

// Response encodes the update as a message to a peer. A snapshot of many customers exceeds gRPC's default limit of 4 MiB for
// received messages, so the peer must raise it.
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

// ParseResponse decodes an update from a peer's message; the error is of class Rejected. Replica.Apply validates the objects.
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
