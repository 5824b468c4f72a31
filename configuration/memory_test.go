package configuration_test

import (
	"fmt"
	"runtime"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"github.com/sapphiretack/sapphiretack/configuration"
	"github.com/sapphiretack/sapphiretack/peer"
)

// heapBytes returns the bytes in live objects.
func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// retained keeps the measured replicas reachable.
var retained []*configuration.Replica

// newTemplateReplica returns a replica with n templates of ten operations each.
func newTemplateReplica(b *testing.B, n int) *configuration.Replica {
	var operations []string
	for i := range 10 {
		operations = append(operations, fmt.Sprintf(
			`{"service": "service-%d", "operation": "operation-%d", "class": "bulk", "idempotent": true, "timeout_ms": 500}`, i%4, i))
	}
	document := `{"operations": [` + strings.Join(operations, ",") +
		`], "parameters": [{"name": "rate_per_second", "default": 50, "min": 1, "max": 500}]}`
	var objects []configuration.Object
	for i := range n {
		objects = append(objects, configuration.Object{
			Kind: configuration.Template, Name: fmt.Sprint("template-", i), Revision: 1,
			Version: configuration.Version(i + 1), Document: []byte(document), // one copy per object, as after decoding
		})
	}
	r := configuration.NewReplica()
	if err := r.Apply(configuration.Version(n), objects, true); err != nil {
		b.Fatal(err)
	}
	return r
}

// BenchmarkMemory reports the memory per customer and per template. Run it with -benchtime 1x.
func BenchmarkMemory(b *testing.B) {
	report := func(b *testing.B, n int, unit string, build func() *configuration.Replica) {
		before := heapBytes()
		for range b.N {
			retained = append(retained, build())
		}
		b.ReportMetric((float64(heapBytes())-float64(before))/float64(n*b.N), unit)
		retained = nil
	}
	for _, n := range []int{1000, 10_000, 100_000} {
		b.Run(fmt.Sprint("customers=", n), func(b *testing.B) {
			report(b, n, "B/customer", func() *configuration.Replica { return newCustomerReplica(b, n) })
		})
	}
	for _, n := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint("templates=", n), func(b *testing.B) {
			report(b, n, "B/template", func() *configuration.Replica { return newTemplateReplica(b, n) })
		})
	}
}

// FuzzPeerResponse guards against a peer's message that causes a panic, or that raises the version without its changes.
func FuzzPeerResponse(f *testing.F) {
	f.Fuzz(func(t *testing.T, data []byte) {
		var r peer.ConfigurationResponse
		if proto.Unmarshal(data, &r) != nil {
			return
		}
		u, err := configuration.ParseResponse(&r)
		if err != nil {
			qt.Assert(t, configuration.Rejected.Has(err), qt.IsTrue)
			return
		}
		replica := configuration.NewReplica()
		if err := replica.Apply(u.Version, u.Objects, u.Snapshot); err != nil {
			qt.Assert(t, configuration.Rejected.Has(err), qt.IsTrue)
			qt.Assert(t, replica.Version(), qt.Equals, configuration.Version(0))
			return
		}
		qt.Assert(t, replica.Version(), qt.Equals, u.Version)
		back := replica.Since(0)
		again, err := configuration.ParseResponse(back.Response())
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, len(again.Objects), qt.Equals, len(back.Objects))
	})
}
