package soak

import (
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/sapphiretack/sapphiretack/exchange"
	"github.com/sapphiretack/sapphiretack/request"
	"github.com/sapphiretack/sapphiretack/standin"
)

const (
	// clientPause is the pause of a client after a response.
	clientPause = 10 * time.Millisecond
	// clientTimeout limits how long a client waits for a response; it is also the deadline that requests carry.
	clientTimeout = 2 * time.Second
	// clientHost is the host name of all routes.
	clientHost = "soak.example"
	// longBodyBytes is the size of the large request bodies, which do not fit into one packet.
	longBodyBytes = 40 << 10
)

// isResponseTo reports whether body is the complete response body of some backend server to the request with the given id.
func isResponseTo(body, id string) bool {
	rest, ok := strings.CutPrefix(body, "answer of ")
	instance, _, _ := strings.Cut(rest, " ")
	return ok && body == standin.ApplicationBody(instance, id)
}

// client sends requests one at a time over persistent connections until the context ends.
func (r *run) client(ctx context.Context, index int) {
	random := rand.New(rand.NewPCG(r.settings.Seed, uint64(index+1)))
	transport := exchange.New(&http.Transport{MaxIdleConnsPerHost: len(r.machines), DisableCompression: true})
	defer transport.CloseIdleConnections()
	for count := 0; ctx.Err() == nil; count++ {
		sent := randomRequest(random, fmt.Sprintf("%d-%d-%d", r.settings.Seed, index, count))
		m := r.machines[random.IntN(len(r.machines))]
		r.history.AddRequest(sent)
		outcome := sendRequest(transport, m.address(0, outboundPort), sent)
		r.history.AddOutcome(outcome)
		r.countOutcome(outcome)
		request.Sleep(ctx, clientPause)
	}
}

// randomRequest returns a random request with the given id.
func randomRequest(random *rand.Rand, id string) Request {
	switch random.IntN(4) {
	case 0:
		return Request{ID: id, Method: http.MethodPost, Path: "/order/" + id, Body: "order " + id, IsNonIdempotent: true}
	case 1:
		return Request{ID: id, Method: http.MethodPost, Path: "/order/" + id, Body: strings.Repeat(id+" ", longBodyBytes/(len(id)+1)), IsNonIdempotent: true}
	case 2:
		return Request{ID: id, Method: http.MethodGet, Path: "/call/" + clientHost + "/read/" + id}
	}
	return Request{ID: id, Method: http.MethodGet, Path: "/read/" + id}
}

const (
	// crashPrefix begins the paths of the requests that crash backend servers.
	crashPrefix = "/read/crash-"
	// crashWithinPrefix begins those of which the backend server sends half of the response first.
	crashWithinPrefix = crashPrefix + "within-"
)

func isCrashPath(path string) bool { return strings.HasPrefix(path, crashPrefix) }

// crashInterval is the time between two sends of a request that crashes backend servers.
const crashInterval = 700 * time.Millisecond

// sendCrashRequests sends a request that crashes backend servers, each time under another id and to a random node.
func (r *run) sendCrashRequests(ctx context.Context, f CrashRequest) {
	random := rand.New(rand.NewPCG(r.settings.Seed, math.MaxUint64-uint64(f.Number)))
	transport := exchange.New(&http.Transport{DisableCompression: true, DisableKeepAlives: true})
	prefix := crashPrefix
	if f.IsWithin {
		prefix = crashWithinPrefix
	}
	for i := range f.Sends {
		sent := Request{ID: fmt.Sprintf("%d-crash%d-%d", r.settings.Seed, f.Number, i), Method: http.MethodGet, Path: fmt.Sprintf("%s%d", prefix, f.Number)}
		r.history.AddRequest(sent)
		outcome := sendRequest(transport, r.machines[random.IntN(len(r.machines))].address(0, outboundPort), sent)
		r.history.AddOutcome(outcome)
		r.countOutcome(outcome)
		request.Sleep(ctx, crashInterval)
	}
}

// sendRequest sends a request and reads its response. A client that times out closes its connection without notice, and the
// guarantees hold then too.
func sendRequest(transport *exchange.Transport, address string, sent Request) Outcome {
	out := Outcome{ID: sent.ID}
	ctx, cancel := context.WithTimeout(context.Background(), clientTimeout)
	defer cancel()
	// net/http cannot set GetBody for a body of this type, so it does not resend the request on its own.
	r, err := standin.NewApplicationRequest(ctx, address, clientHost, sent.Method, sent.Path, sent.ID, clientTimeout, io.MultiReader(strings.NewReader(sent.Body)), int64(len(sent.Body)))
	if err != nil {
		return out
	}
	response, err := transport.RoundTrip(r)
	if err != nil {
		return out
	}
	defer response.Body.Close()
	body, err := standin.ReadBody(response.Body)
	if err != nil {
		return out
	}
	headers := standin.ReadApplicationResponse(response.Header)
	out.Status, out.Body, out.AnswerID, out.IsSealed = response.StatusCode, string(body), headers.RequestID, headers.Seal != ""
	return out
}
