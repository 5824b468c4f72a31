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

// roundTrip sends one request on a persistent connection and reads its response.
func roundTrip(b *testing.B, conn net.Conn, r *bufio.Reader, path, id string) {
	fmt.Fprint(conn, standin.RawApplicationRequest("ledger.example", path, id, 5*time.Second))
	response, err := http.ReadResponse(r, nil)
	qt.Assert(b, err, qt.IsNil)
	_, err = io.Copy(io.Discard, response.Body)
	qt.Assert(b, err, qt.IsNil)
	qt.Assert(b, response.StatusCode, qt.Equals, http.StatusOK)
}

// BenchmarkPath measures the latency of a request to a backend server on another machine, direct and through two nodes.
func BenchmarkPath(b *testing.B) {
	d := newSerialDeployment(b, ledgerConfiguration(1, birdsRoute(), quickRoute()))
	a, other := d.start("registry", "a", 0), d.start("transfers", "a", 0)
	d.waitUntilServing("/quick/1")
	for _, path := range []struct {
		name   string
		target netip.AddrPort
	}{
		{"direct", netip.AddrPortFrom(other.address, d.ports["application"])},
		{"two_nodes", netip.AddrPortFrom(a.address, d.ports["outbound"])},
	} {
		b.Run(path.name, func(b *testing.B) {
			conn, err := net.Dial("tcp4", path.target.String())
			qt.Assert(b, err, qt.IsNil)
			defer conn.Close()
			r := bufio.NewReader(conn)
			var times []time.Duration
			for i := 0; b.Loop(); i++ {
				begin := time.Now()
				roundTrip(b, conn, r, "/quick/1", fmt.Sprint("id", i))
				times = append(times, time.Since(begin))
			}
			slices.Sort(times)
			b.ReportMetric(float64(times[len(times)/2].Microseconds()), "p50-µs")
			b.ReportMetric(float64(times[len(times)*99/100].Microseconds()), "p99-µs")
		})
	}
}
