package mesh

import (
	"context"
	"net/netip"
)

// FetchConfiguration fetches the configuration of another node.
func (n *Node) FetchConfiguration(ctx context.Context, from netip.Addr) error {
	return n.fetchConfiguration(ctx, from)
}
