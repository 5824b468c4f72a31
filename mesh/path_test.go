package mesh_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/sapphiretack/sapphiretack/standin"
)

// exchange sends one request on a kept connection and reads its response.
func exchange(b *testing.B, conn net.Conn, r *bufio.Reader, path, id string) {
	fmt.Fprint(conn, standin.RawApplicationRequest("ledger.example", path, id, 5*time.Second))
	response, err := http.ReadResponse(r, nil)
	qt.Assert(b, err, qt.IsNil)
	_, err = io.Copy(io.Discard, response.Body)
	qt.Assert(b, err, qt.IsNil)
	qt.Assert(b, response.StatusCode, qt.Equals, http.StatusOK)
}

// BenchmarkPath measures what two nodes add to a call of a backend server on another machine.
func BenchmarkPath(b *testing.B) {
	w := newBenchWorld(b, ledger(1, birds(), quick()))
	a, other := w.start("registry", "a", 0), w.start("transfers", "a", 0)
	w.settle("/quick/1")
	for _, path := range []struct {
		name   string
		target netip.AddrPort
	}{
		{"direct", netip.AddrPortFrom(other.address, w.ports["application"])},
		{"two_nodes", netip.AddrPortFrom(a.address, w.ports["outbound"])},
	} {
		b.Run(path.name, func(b *testing.B) {
			conn, err := net.Dial("tcp4", path.target.String())
			qt.Assert(b, err, qt.IsNil)
			defer conn.Close()
			r := bufio.NewReader(conn)
			var times []time.Duration
			for i := 0; b.Loop(); i++ {
				begin := time.Now()
				exchange(b, conn, r, "/quick/1", fmt.Sprint("id", i))
				times = append(times, time.Since(begin))
			}
			slices.Sort(times)
			b.ReportMetric(float64(times[len(times)/2].Microseconds()), "p50-µs")
			b.ReportMetric(float64(times[len(times)*99/100].Microseconds()), "p99-µs")
		})
	}
}
