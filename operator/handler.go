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

// Configuration commits and returns templates and customers; its errors are *Error.
type Configuration interface {
	// Commit applies a change at most once, however often it is called with the same identifier.
	Commit(ctx context.Context, c Change) (Object, error)
	// Show returns the present object.
	Show(ctx context.Context, kind Kind, name string) (Object, error)
}

// Inspector answers questions about the node; its errors are *Error.
type Inspector interface {
	Status() Status
	Explain(q ExplainQuery) (Explanation, error)
	// Ready returns nil if the node has a configuration and has joined.
	Ready() error
}

// Logger changes what the node logs.
type Logger interface {
	SetLogLevel(level zerolog.Level)
}

// Settings are what the handler works with.
type Settings struct {
	Configuration Configuration
	Inspector     Inspector
	Logger        Logger
	Metrics       http.Handler // Prometheus text
}

// maxDocumentBytes is the bound of package template.
const maxDocumentBytes = 64 << 10

// New returns the handler of the operator listener.
func New(s Settings) http.Handler {
	h := &handler{settings: s}
	mux := http.NewServeMux()
	for _, kind := range []Kind{KindTemplate, KindCustomer} {
		path := "/v1/" + string(kind) + "/{name}"
		mux.HandleFunc("PUT "+path, reply(func(r *http.Request) (any, error) { return h.commit(r, kind, false) }))
		mux.HandleFunc("DELETE "+path, reply(func(r *http.Request) (any, error) { return h.commit(r, kind, true) }))
		mux.HandleFunc("GET "+path, reply(func(r *http.Request) (any, error) {
			return s.Configuration.Show(r.Context(), kind, r.PathValue("name"))
		}))
	}
	mux.HandleFunc("GET /v1/status", reply(func(*http.Request) (any, error) { return s.Inspector.Status(), nil }))
	mux.HandleFunc("GET /v1/explain", reply(h.explain))
	mux.HandleFunc("PUT /v1/log_level", reply(h.logLevel))
	mux.HandleFunc("GET /health", reply(func(*http.Request) (any, error) { return health{"ok"}, nil }))
	mux.HandleFunc("GET /ready", reply(h.ready))
	mux.Handle("GET /metrics", s.Metrics)
	mux.HandleFunc("/", reply(func(r *http.Request) (any, error) {
		return nil, &Error{Kind: NotFound, Message: fmt.Sprintf("%s %s is not part of the operator interface", r.Method, r.URL.Path), Remedy: "see docs/operators.md"}
	}))
	return mux
}

type handler struct {
	settings Settings
}

// health is the body of a positive answer of /health and /ready.
type health struct {
	Status string `json:"status"`
}

// reply turns a function's result into a JSON response.
func reply(f func(r *http.Request) (any, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, maxDocumentBytes)
		result, err := f(r)
		status := http.StatusOK
		if err != nil {
			e := asError(err)
			result, status = e, errorStatus[e.Kind]
			if status == 0 {
				status = http.StatusInternalServerError
			}
		}
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		// An error here means that the client is gone.
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
	object, err := h.settings.Configuration.Commit(r.Context(), c)
	var known *Error
	if err != nil && !errors.As(err, &known) {
		// An error that the store does not classify proves nothing about the change.
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
	return h.settings.Inspector.Explain(q)
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
			h.settings.Logger.SetLogLevel(level)
			return l, nil
		}
	}
	return nil, &Error{Kind: Malformed, Message: fmt.Sprintf("the level is %q", l.Level), Remedy: "send debug, info, warn or error"}
}

func (h *handler) ready(*http.Request) (any, error) {
	if err := h.settings.Inspector.Ready(); err != nil {
		return nil, err
	}
	return health{"ready"}, nil
}
