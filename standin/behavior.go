package standin

import (
	"bytes"
	"encoding/json"
	"os"
	"strings"
	"time"

	"github.com/tailscale/hujson"
	"github.com/zeebo/errs"
)

// BackendError is the class of errors of the stand-in backend server.
var BackendError = errs.Class("standin backend")

// LoadReport selects how accurately the load endpoint reports.
type LoadReport string

// The load reports.
const (
	LoadTrue       LoadReport = "true"
	LoadLagging    LoadReport = "lagging"    // a value that is at least LoadLagMs old
	LoadMisleading LoadReport = "misleading" // always idle
)

// Behavior configures the backend servers of a service.
type Behavior struct {
	Queue      int                          `json:"queue"` // maximum number of requests that wait for a slot; further ones are shed
	LoadReport LoadReport                   `json:"load_report"`
	LoadLagMs  int                          `json:"load_lag_ms"`
	Operations map[string]OperationBehavior `json:"operations"`
}

// OperationBehavior configures one operation.
type OperationBehavior struct {
	ServiceTimeMs float64  `json:"service_time_ms"` // without nested calls
	Parts         int      `json:"parts"`           // parts of the response; 0 means 1
	PartBytes     int      `json:"part_bytes"`      // padding of each part
	Nested        []string `json:"nested"`          // calls made first, sequentially, as "service/operation"
}

func (o OperationBehavior) serviceTime() time.Duration {
	return time.Duration(o.ServiceTimeMs * float64(time.Millisecond))
}

// ReadBehaviors reads the behavior of each service from a file of JSON with comments.
func ReadBehaviors(path string) (map[string]Behavior, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	plain, err := hujson.Standardize(data)
	if err != nil {
		return nil, BackendError.New("%s: %v; write JSON with comments", path, err)
	}
	decoder := json.NewDecoder(bytes.NewReader(plain))
	decoder.DisallowUnknownFields()
	var behaviors map[string]Behavior
	if err := decoder.Decode(&behaviors); err != nil {
		return nil, BackendError.New("%s: %v; compare with deployments/golubarnik-small/standin.json", path, err)
	}
	for service, b := range behaviors {
		if err := b.check(); err != nil {
			return nil, BackendError.New("%s: service %q: %v", path, service, err)
		}
	}
	return behaviors, nil
}

func (b Behavior) check() error {
	switch b.LoadReport {
	case "", LoadTrue, LoadLagging, LoadMisleading:
	default:
		return errs.New("load_report is %q; use true, lagging or misleading", b.LoadReport)
	}
	for name, o := range b.Operations {
		if o.ServiceTimeMs < 0 || o.Parts < 0 || o.PartBytes < 0 {
			return errs.New("operation %q has a negative service_time_ms, parts or part_bytes; use 0 or more", name)
		}
		for _, nested := range o.Nested {
			if service, operation, ok := strings.Cut(nested, "/"); !ok || service == "" || operation == "" {
				return errs.New("operation %q calls %q; write service/operation", name, nested)
			}
		}
	}
	return nil
}
