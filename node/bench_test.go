package node_test

import (
	"bytes"
	"io"
	"net/http"
	"slices"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
)

// Each of benchCallers sends its calls one after the other and waits benchInterval before each; the total rate is well below
// the capacity.
const (
	benchCallers  = 16
	benchInterval = 4 * time.Millisecond
)

// BenchmarkPath compares a direct call to the backend server with a call through two nodes: a node of another service and
// the node beside the backend server. It reports the latency at p50 and p99 and the CPU time per call of the whole process,
// which includes callers and backend servers. All listeners of the nodes use plain TCP or TLS.
func BenchmarkPath(b *testing.B) {
	b.Run("plain", func(b *testing.B) { benchmarkPath(b, nil) })
	b.Run("tls", func(b *testing.B) { benchmarkPath(b, newCertificates(b)) })
}

func benchmarkPath(b *testing.B, c *certificates) {
	f := newFleet(b, c)
	defer f.close()
	f.addInstance("registry-1", "registry", "a")
	f.addInstance("transfers-1", "transfers", "a")
	f.startInstances([]string{"registry-1", "transfers-1"})
	f.commit("registry-1", "templates", "club", "1", `{"operations": [
		{"service": "registry", "operation": "look-up", "class": "standard", "idempotent": true, "timeout_ms": 5000, "extra_attempts": 3}
	], "parameters": [{"name": "rate_per_second", "default": 100000, "min": 1, "max": 100000}]}`)
	f.commit("registry-1", "customers", "club-17", "2", `{"template": "club", "parameters": {}}`)
	registry, transfers := f.instances["registry-1"], f.instances["transfers-1"]
	b.Run("direct", func(b *testing.B) {
		measureCalls(b, &http.Transport{}, registry.settings.Backend.URL+"/look-up")
	})
	b.Run("two-nodes", func(b *testing.B) {
		transport := &http.Transport{}
		if c != nil {
			transport.TLSClientConfig = c.client()
		}
		measureCalls(b, transport, f.url(transfers.settings.Listeners.Caller)+"/call/registry/look-up")
	})
}

func measureCalls(b *testing.B, transport *http.Transport, url string) {
	transport.MaxIdleConnsPerHost = benchCallers
	client := &http.Client{Transport: transport}
	times := make([][]time.Duration, benchCallers)
	before := cpuTime()
	var group errgroup.Group
	for caller := range benchCallers {
		group.Go(func() error {
			for i := caller; i < b.N; i += benchCallers {
				time.Sleep(benchInterval)
				took, err := timeCall(client, url)
				if err != nil {
					return err
				}
				times[caller] = append(times[caller], took)
			}
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		b.Fatal(err)
	}
	all := slices.Concat(times...)
	slices.Sort(all)
	b.ReportMetric(float64(all[len(all)/2].Microseconds()), "p50-µs")
	b.ReportMetric(float64(all[len(all)*99/100].Microseconds()), "p99-µs")
	b.ReportMetric(float64((cpuTime()-before).Microseconds())/float64(b.N), "cpu-µs/call")
}

func timeCall(client *http.Client, url string) (time.Duration, error) {
	r, err := http.NewRequest(http.MethodPost, url, bytes.NewBufferString("ring 1"))
	if err != nil {
		return 0, err
	}
	r.Header.Set("Sapphiretack-Customer", "club-17")
	begin := time.Now()
	response, err := client.Do(r)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return time.Since(begin), err
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	// Getrusage fails only for an invalid argument.
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
