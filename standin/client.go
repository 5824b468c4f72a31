package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/sapphiretack/sapphiretack/exchange"
)

// NewApplicationRequest returns a request to a node as a client on the users' platform sends it.
func NewApplicationRequest(ctx context.Context, address, host, method, path, id string, remaining time.Duration, body io.Reader, length int64) (*http.Request, error) {
	if length == 0 {
		body = nil
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, body)
	if err != nil {
		return nil, err
	}
	r.Host, r.ContentLength = host, length
	r.Header.Set("X-Request-Id", id)
	r.Header.Set("X-Deadline-Ms", strconv.FormatInt(remaining.Milliseconds(), 10))
	return r, nil
}

// RawApplicationRequest returns the wire format of a GET request without a body.
func RawApplicationRequest(host, path, id string, remaining time.Duration) string {
	return fmt.Sprintf("GET %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n\r\n", path, host, id, remaining.Milliseconds())
}

// ApplicationSeal returns the signature of an instance, which a backend server sends with its responses.
func ApplicationSeal(instance string) string { return "seal-of-" + instance }

// ApplicationResponse holds the headers of a response that a client reads.
type ApplicationResponse struct {
	RequestID string
	// Seal is the signature of the backend server; it is empty if the response has none.
	Seal string
}

// ReadApplicationResponse reads the header fields of a response.
func ReadApplicationResponse(h http.Header) ApplicationResponse {
	return ApplicationResponse{RequestID: h.Get("X-Request-Id"), Seal: h.Get("X-Response-Seal")}
}

// ApplicationReport is the report of a backend server to the node on its machine.
type ApplicationReport struct {
	Instance, Service, Address string
	IsDraining                 bool
	Slots, Sequence            int
	StartTime                  time.Time
}

// callClient sends the reports and the nested calls of backend servers.
var callClient = &http.Client{Transport: exchange.New(&http.Transport{IdleConnTimeout: time.Minute})}

// reportTimeout is short, since a report that is lost is soon followed by the next one.
const reportTimeout = time.Second

// Send sends the report to the control listener of the node and returns whether the node acknowledged it.
func (r ApplicationReport) Send(ctx context.Context, controlAddress string) bool {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	state := "ready"
	if r.IsDraining {
		state = "draining"
	}
	body, err := json.Marshal(map[string]any{
		"service": r.Service, "address": r.Address, "state": state, "slots": r.Slots, "seq": r.Sequence, "born": r.StartTime.UnixMilli(),
	})
	if err != nil {
		return false
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+controlAddress+"/-/instances/"+r.Instance, bytes.NewReader(body))
	if err != nil {
		return false
	}
	response, err := callClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// ApplicationRoute is a route of a configuration.
type ApplicationRoute struct {
	Name, Prefix, Service string
	IsIdempotent          bool
	Priority, MaxAttempts int
}

// ApplicationConfiguration returns a configuration document as the operator of the platform writes it.
func ApplicationConfiguration(version int, host string, routes []ApplicationRoute) []byte {
	type columns struct {
		Columns []string `json:"columns"`
		Rows    [][]any  `json:"rows"`
	}
	routeTable := columns{Columns: []string{"name", "host", "prefix", "kind", "timeout_ms", "priority", "max_attempts", "service"}}
	serviceTable := columns{Columns: []string{"name", "health_path", "max_connections"}}
	seen := map[string]bool{}
	for _, route := range routes {
		kind := "unsafe"
		if route.IsIdempotent {
			kind = "safe"
		}
		routeTable.Rows = append(routeTable.Rows, []any{route.Name, host, route.Prefix, kind, 1500, route.Priority, route.MaxAttempts, route.Service})
		if !seen[route.Service] {
			seen[route.Service] = true
			serviceTable.Rows = append(serviceTable.Rows, []any{route.Service, "/health", 100})
		}
	}
	data, err := json.Marshal(map[string]any{
		"version": version, "routes": routeTable, "services": serviceTable,
		"limits": map[string]any{"max_header_bytes": 16 << 10, "max_body_bytes": 1 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	if err != nil {
		panic(err) // cannot happen: JSON can represent all values
	}
	return data
}

// maxAnswerBytes is the largest body in bytes that a stand-in keeps, the limit of the users' deployments on bodies.
const maxAnswerBytes = 64 << 20

// ReadBody returns a body; the error is of class BackendError if it has more than 64 MiB, so that a fault of the other side does not take the
// memory of a test.
func ReadBody(r io.Reader) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r, maxAnswerBytes+1))
	if err != nil {
		return nil, err
	}
	if len(body) > maxAnswerBytes {
		return nil, BackendError.New("the body has more than %d bytes", maxAnswerBytes)
	}
	return body, nil
}
