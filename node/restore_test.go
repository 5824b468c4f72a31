package node_test

import (
	"context"
	"testing"

	"github.com/sapphiretack/sapphiretack/store"
)

// TestMemberRowAfterRestore guards against a node that no other one finds in the store, because it came back from a copy of before the node
// wrote its row.
func TestMemberRowAfterRestore(t *testing.T) {
	t.Parallel()
	f := newFleet(t, nil)
	defer f.close()
	f.platform.SaveCopy()
	f.addInstance("registry-1", "registry", "a")
	f.startInstances([]string{"registry-1"})
	hasRow := func() bool {
		rows, err := f.platform.Scan(context.Background(), "member/", "", store.MaxRows)
		return err == nil && len(rows) == 1
	}
	f.waitUntil("the row is written", hasRow)
	f.platform.Restore()
	f.waitUntil("the row is written again", hasRow)
}
