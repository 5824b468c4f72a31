package load

import (
	"bytes"
	"encoding/json"
	"net/http"
	"os"
	"time"

	"github.com/tailscale/hujson"
	"github.com/zeebo/errs"

	"github.com/sapphiretack/sapphiretack/request"
)

// Error is the class of errors of this package.
var Error = errs.Class("load")

// Settings configure the load to generate.
type Settings struct {
	Targets  []string // caller listeners of nodes, as IP address and port
	Customer request.CustomerID
	Mix      []Kind
	Callers  int
	Interval time.Duration // between the starts of two requests of one caller, which waits for the outcome of the first
	Duration time.Duration
	MaxSends int // limit on the sends of one request, including the first
	Seed     uint64
	// Transport returns the transport of one caller; nil selects a new exchange.Transport.
	Transport func() http.RoundTripper
}

// Kind is a kind of request in the mix.
type Kind struct {
	Service   request.ServiceID `json:"service"`
	Operation request.Operation `json:"operation"`
	Class     string            `json:"class"`  // only for the report; the template determines the actual class
	Effect    bool              `json:"effect"` // sent with a ticket
	Weight    int               `json:"weight"`
	TimeoutMs int               `json:"timeout_ms"`
	CrashAt   request.ServiceID `json:"crash_at"` // service whose stand-in backend servers crash on the request
}

// ReadMix reads the kinds of requests from a file of JSON with comments.
func ReadMix(path string) ([]Kind, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	plain, err := hujson.Standardize(data)
	if err != nil {
		return nil, Error.New("%s: %v; write JSON with comments", path, err)
	}
	decoder := json.NewDecoder(bytes.NewReader(plain))
	decoder.DisallowUnknownFields()
	var mix []Kind
	if err := decoder.Decode(&mix); err != nil {
		return nil, Error.New("%s: %v; compare with deployments/golubarnik-small/load.json", path, err)
	}
	for i, k := range mix {
		if k.Service == "" || k.Operation == "" || k.Weight < 1 || k.TimeoutMs < 1 {
			return nil, Error.New("%s: entry %d has no service, operation, weight or timeout_ms; give all four", path, i+1)
		}
	}
	if len(mix) == 0 {
		return nil, Error.New("%s: the mix is empty; add an entry", path)
	}
	return mix, nil
}

func (s Settings) check() error {
	if len(s.Targets) == 0 || len(s.Mix) == 0 || s.Customer == "" {
		return Error.New("targets, mix or customer are missing; give all three")
	}
	if s.Callers < 1 || s.MaxSends < 1 || s.Interval <= 0 || s.Duration <= 0 {
		return Error.New("callers, sends, interval and duration must be above 0")
	}
	return nil
}
