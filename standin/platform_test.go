package standin_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/sapphiretack/sapphiretack/standin"
)

// TestRestore guards against a stand-in whose restored store differs from the users': versions that are not given out again, a feed that
// goes on after a version that the store does not have, and responses without the era.
func TestRestore(t *testing.T) {
	c := qt.New(t)
	p := standin.NewPlatform()
	server := httptest.NewServer(p.Handler())
	c.Cleanup(server.Close)
	write := func(key string) {
		c.Helper()
		c.Assert(p.WriteRow(context.Background(), "op", key, []byte("x")), qt.IsNil)
	}
	// get returns the status, the era, the version and the keys of a page.
	get := func(path string) string {
		c.Helper()
		response, err := http.Get(server.URL + path)
		c.Assert(err, qt.IsNil)
		defer response.Body.Close()
		var page struct {
			Rows []struct{ Key string }
			Ver  uint64
		}
		c.Assert(json.NewDecoder(response.Body).Decode(&page), qt.IsNil)
		var keys []string
		for _, r := range page.Rows {
			keys = append(keys, r.Key)
		}
		return fmt.Sprintf("%d era %s version %d %s", response.StatusCode, response.Header.Get(standin.PlatformEraHeader), page.Ver, strings.Join(keys, " "))
	}
	const rows, feed = "/-/rows-get?table=op&part=", "/-/rows-feed?table=op&wait_ms=0&after="
	write("a")
	write("b")
	p.SaveCopy()
	write("c")
	write("d")
	c.Check(get(rows), qt.Equals, "200 era 1 version 4 a b c d")
	p.Restore()
	c.Check(get(rows), qt.Equals, "200 era 2 version 2 a b")
	c.Check(get(feed+"1"), qt.Equals, "200 era 2 version 2 b")
	c.Check(get(feed+"4"), qt.Equals, "410 era 2 version 0 ")
	write("c")
	write("e")
	write("f")
	c.Check(get(feed+"4"), qt.Equals, "200 era 2 version 5 f")
	p.SetFaults(standin.PlatformFaults{Down: true})
	c.Check(get(rows), qt.Equals, "503 era 2 version 0 ")
}
