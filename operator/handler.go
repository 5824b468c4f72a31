package operator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/rs/zerolog"

	"github.com/sapphiretack/sapphiretack/request"
)

// ConfigurationStore stores templates and customers; its errors are *Error.
type ConfigurationStore interface {
	// Commit applies a change and returns the resulting object. Calls with the same ChangeID apply it at most once.
	Commit(ctx context.Context, c Change) (Object, error)
	// Show returns the current state of an object.
	Show(ctx context.Context, kind Kind, name string) (Object, error)
}

// Inspector returns the state of the node; its errors are *Error.
type Inspector interface {
	Status() Status
	Explain(q ExplainQuery) (Explanation, error)
	// Ready returns nil if the node has a configuration and has joined the membership.
	Ready() error
}

// LevelSetter sets the log level of the node.
type LevelSetter interface {
	SetLogLevel(level zerolog.Level)
}

// Dependencies holds the dependencies of the handler.
type Dependencies struct {
	Configuration ConfigurationStore
	Inspector     Inspector
	LevelSetter   LevelSetter
	Metrics       http.Handler // serves the Prometheus text format
}

// maxDocumentBytes equals template.MaxDocumentBytes.
const maxDocumentBytes = 64 << 10

// New returns the handler of the operator listener.
func New(deps Dependencies) http.Handler {
	h := &handler{deps: deps}
	mux := http.NewServeMux()
	for _, kind := range []Kind{KindTemplate, KindCustomer} {
		path := "/v1/" + string(kind) + "/{name}"
		mux.HandleFunc("PUT "+path, jsonHandler(func(r *http.Request) (any, error) { return h.commit(r, kind, false) }))
		mux.HandleFunc("DELETE "+path, jsonHandler(func(r *http.Request) (any, error) { return h.commit(r, kind, true) }))
		mux.HandleFunc("GET "+path, jsonHandler(func(r *http.Request) (any, error) {
			return deps.Configuration.Show(r.Context(), kind, r.PathValue("name"))
		}))
	}
	mux.HandleFunc("GET /v1/status", jsonHandler(func(*http.Request) (any, error) { return deps.Inspector.Status(), nil }))
	mux.HandleFunc("GET /v1/explain", jsonHandler(h.explain))
	mux.HandleFunc("PUT /v1/log_level", jsonHandler(h.logLevel))
	mux.HandleFunc("GET /health", jsonHandler(func(*http.Request) (any, error) { return healthResponse{"ok"}, nil }))
	mux.HandleFunc("GET /ready", jsonHandler(h.ready))
	mux.Handle("GET /metrics", deps.Metrics)
	mux.HandleFunc("/", jsonHandler(func(r *http.Request) (any, error) {
		return nil, &Error{Kind: NotFound, Message: fmt.Sprintf("%s %s is not part of the operator interface", r.Method, r.URL.Path), Remedy: "see docs/operators.md"}
	}))
	return mux
}

type handler struct {
	deps Dependencies
}

// healthResponse is the body of a successful response of /health and /ready.
type healthResponse struct {
	Status string `json:"status"`
}

// jsonHandler returns a handler that writes the result or the error of f as JSON.
func jsonHandler(f func(r *http.Request) (any, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, maxDocumentBytes)
		result, err := f(r)
		status := http.StatusOK
		if err != nil {
			e := asError(err)
			result, status = e, httpStatus[e.Kind]
			if status == 0 {
				status = http.StatusInternalServerError
			}
		}
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		// Encoding fails only if the client has closed the connection.
		_ = json.NewEncoder(w).Encode(result)
	}
}

func (h *handler) commit(r *http.Request, kind Kind, withdraw bool) (any, error) {
	query := r.URL.Query()
	c := Change{ID: ChangeID(query.Get("change")), Kind: kind, Name: r.PathValue("name"), Withdrawn: withdraw}
	if !c.ID.Valid() {
		return nil, &Error{Kind: Malformed, Message: fmt.Sprintf("the query parameter change is %q", query.Get("change")), Remedy: "send 32 hexadecimal digits, and the same ones when the response is lost"}
	}
	revision, err := strconv.ParseUint(query.Get("revision"), 10, 64)
	if err != nil {
		return nil, &Error{Kind: Malformed, Message: fmt.Sprintf("the query parameter revision is %q", query.Get("revision")), Remedy: "send the present revision, or 0 for a new object"}
	}
	c.Revision = revision
	if !withdraw {
		if c.Document, err = readBody(r); err != nil {
			return nil, err
		}
	}
	object, err := h.deps.Configuration.Commit(r.Context(), c)
	var classified *Error
	if err != nil && !errors.As(err, &classified) {
		// An error that the store does not classify does not show whether the change was applied.
		return nil, &Error{Kind: Indeterminate, Message: err.Error(), Remedy: "send the same change again"}
	}
	return object, err
}

func readBody(r *http.Request) ([]byte, error) {
	body, err := io.ReadAll(r.Body)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, &Error{Kind: Malformed, Message: fmt.Sprintf("the document is larger than %d bytes", maxDocumentBytes), Remedy: "split the template"}
	}
	if err != nil {
		return nil, &Error{Kind: Malformed, Message: "the document cannot be read: " + err.Error(), Remedy: "send it again"}
	}
	return body, nil
}

func (h *handler) explain(r *http.Request) (any, error) {
	query := r.URL.Query()
	q := ExplainQuery{
		Service:   request.ServiceID(query.Get("service")),
		Customer:  request.CustomerID(query.Get("customer")),
		Operation: request.Operation(query.Get("operation")),
	}
	if q.Service == "" {
		return nil, &Error{Kind: Malformed, Message: "the query parameter service is missing", Remedy: "name the service that refuses"}
	}
	if s := query.Get("fingerprint"); s != "" {
		fingerprint, err := strconv.ParseUint(s, 16, 64)
		if err != nil {
			return nil, &Error{Kind: Malformed, Message: fmt.Sprintf("the query parameter fingerprint is %q", s), Remedy: "send up to 16 hexadecimal digits"}
		}
		q.Fingerprint = request.Fingerprint(fingerprint)
	}
	return h.deps.Inspector.Explain(q)
}

func (h *handler) logLevel(r *http.Request) (any, error) {
	body, err := readBody(r)
	if err != nil {
		return nil, err
	}
	var l LogLevel
	if err := json.Unmarshal(body, &l); err != nil {
		return nil, &Error{Kind: Malformed, Message: "the body is not JSON: " + err.Error(), Remedy: `send {"level": "debug"}`}
	}
	for _, level := range []zerolog.Level{zerolog.DebugLevel, zerolog.InfoLevel, zerolog.WarnLevel, zerolog.ErrorLevel} {
		if l.Level == level.String() {
			h.deps.LevelSetter.SetLogLevel(level)
			return l, nil
		}
	}
	return nil, &Error{Kind: Malformed, Message: fmt.Sprintf("the level is %q", l.Level), Remedy: "send debug, info, warn or error"}
}

func (h *handler) ready(*http.Request) (any, error) {
	if err := h.deps.Inspector.Ready(); err != nil {
		return nil, err
	}
	return healthResponse{"ready"}, nil
}
