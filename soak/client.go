package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/sapphiretack/sapphiretack/request"
	"github.com/sapphiretack/sapphiretack/standin"
)

const (
	// clientPause is the time between two requests of a client.
	clientPause = 10 * time.Millisecond
	// clientTime is how long a client waits for a response.
	clientTime = 2 * time.Second
	// clientHost is the host of all routes.
	clientHost = "soak.example"
	// longBody is the size of some bodies, which do not fit one packet.
	longBody = 40 << 10
)

// isAnswerTo reports whether a body is the whole response of a backend server to the request.
func isAnswerTo(body, id string) bool {
	rest, ok := strings.CutPrefix(body, "answer of ")
	instance, _, _ := strings.Cut(rest, " ")
	return ok && body == standin.ApplicationBody(instance, id)
}

// client sends requests one after another over connections that it keeps until they end.
func (r *run) client(ctx context.Context, number int) {
	random := rand.New(rand.NewPCG(r.settings.Seed, uint64(number+1)))
	transport := &http.Transport{MaxIdleConnsPerHost: len(r.machines), DisableCompression: true}
	defer transport.CloseIdleConnections()
	for sent := 0; ctx.Err() == nil; sent++ {
		s := newSent(random, fmt.Sprintf("%d-%d-%d", r.settings.Seed, number, sent))
		m := r.machines[random.IntN(len(r.machines))]
		r.history.Send(s)
		g := exchange(transport, m.at(0, outboundPort), s)
		r.history.Get(g)
		r.count(g)
		request.Sleep(ctx, clientPause)
	}
}

// newSent returns the next request of a client.
func newSent(random *rand.Rand, id string) Sent {
	switch random.IntN(4) {
	case 0:
		return Sent{ID: id, Method: http.MethodPost, Path: "/order/" + id, Body: "order " + id, IsUnsafe: true}
	case 1:
		return Sent{ID: id, Method: http.MethodPost, Path: "/order/" + id, Body: strings.Repeat(id+" ", longBody/(len(id)+1)), IsUnsafe: true}
	case 2:
		return Sent{ID: id, Method: http.MethodGet, Path: "/call/" + clientHost + "/read/" + id}
	}
	return Sent{ID: id, Method: http.MethodGet, Path: "/read/" + id}
}

// exchange sends a request and reads its response. The time of a client is over without a word to the node, whose promises
// hold all the same.
func exchange(transport *http.Transport, address string, s Sent) Got {
	out := Got{ID: s.ID}
	ctx, cancel := context.WithTimeout(context.Background(), clientTime)
	defer cancel()
	// A reader of another type keeps net/http from sending a request twice.
	r, err := standin.NewApplicationRequest(ctx, address, clientHost, s.Method, s.Path, s.ID, clientTime, io.MultiReader(strings.NewReader(s.Body)), int64(len(s.Body)))
	if err != nil {
		return out
	}
	response, err := transport.RoundTrip(r)
	if err != nil {
		return out
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return out
	}
	answer := standin.ReadApplicationAnswer(response.Header)
	out.Status, out.Body, out.AnswerID, out.IsSealed = response.StatusCode, string(body), answer.RequestID, answer.Seal != ""
	return out
}
