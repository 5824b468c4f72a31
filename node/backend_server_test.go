package node_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// backendServer is a fake backend server whose behavior follows from the name of the operation.
type backendServer struct {
	record   *record
	loopback string
	service  string
	address  string
	server   *httptest.Server
	crashed  atomic.Bool
	hold     chan struct{} // closed to let "hold" and "stream" end
	lose     func()
	listener atomic.Pointer[net.Listener]
}

// start listens at the address of the former run, if there was one.
func (b *backendServer) start(t testing.TB) {
	l, err := net.Listen("tcp", b.address)
	if err != nil {
		t.Fatal(err)
	}
	b.address = l.Addr().String()
	b.listener.Store(&l)
	b.server = httptest.NewUnstartedServer(b)
	_ = b.server.Listener.Close()
	b.server.Listener = l
	b.server.Start()
}

// crash refuses new connections before it resets the present ones, as the end of a process does.
func (b *backendServer) crash() {
	b.crashed.Store(true)
	_ = (*b.listener.Load()).Close()
	panic(http.ErrAbortHandler)
}

func (b *backendServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		return
	}
	op := strings.TrimPrefix(r.URL.Path, "/")
	body, _ := io.ReadAll(r.Body)
	b.record.add(strings.TrimSpace(b.service + "/" + op + " " + string(body)))
	switch op {
	case "look-up", "transfer":
		fmt.Fprint(w, "done")
	case "archive":
		for i := range 3 {
			fmt.Fprintf(w, "part %d ", i)
			_ = http.NewResponseController(w).Flush()
		}
	case "cut":
		fmt.Fprint(w, "begin")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	case "endless":
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Padding: "+strings.Repeat("0", 1<<20))
		_, _ = io.Copy(io.Discard, conn) // until the caller closes
		_ = conn.Close()
	case "fail":
		http.Error(w, "no such bird", http.StatusInternalServerError)
	case "hold":
		<-b.hold
		fmt.Fprint(w, "finished")
	case "again":
		b.again(w, r, body)
	case "crash":
		b.crash()
	case "lose-then-crash":
		if b.record.lost.CompareAndSwap(false, true) {
			b.lose()
			return
		}
		b.crash()
	case "stream":
		fmt.Fprint(w, "begin")
		_ = http.NewResponseController(w).Flush()
		<-b.hold
		fmt.Fprint(w, " end")
	case "slow":
		time.Sleep(300 * time.Millisecond)
		fmt.Fprint(w, "finished")
	case "nested", "register":
		b.nested(w, r, body)
	}
}

// again sends the same nested call until it is refused, as a client library that retries on its own does.
func (b *backendServer) again(w http.ResponseWriter, r *http.Request, body []byte) {
	for sends := 1; sends < 20; sends++ {
		call, _ := http.NewRequest(http.MethodPost, b.loopback+"/call/transfers/fail", bytes.NewReader(body))
		call.Header.Set("Sapphiretack-Call", r.Header.Get("Sapphiretack-Call"))
		response, err := http.DefaultClient.Do(call)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadGateway)
			return
		}
		answer, _ := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if reason := field(string(answer), "reason"); reason != "" {
			fmt.Fprintf(w, "send %d: %s", sends, reason)
			return
		}
	}
	fmt.Fprint(w, "never refused")
}

// nested calls an operation of another service through the loopback listener of the node, twice with the same step.
func (b *backendServer) nested(w http.ResponseWriter, r *http.Request, body []byte) {
	for range 2 {
		call, _ := http.NewRequest(http.MethodPost, b.loopback+"/call/transfers/transfer", bytes.NewReader(body))
		call.Header.Set("Sapphiretack-Call", r.Header.Get("Sapphiretack-Call"))
		call.Header.Set("Sapphiretack-Step", "1")
		response, err := http.DefaultClient.Do(call)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadGateway)
			return
		}
		answer, _ := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if response.StatusCode != http.StatusOK {
			answer = []byte(field(string(answer), "reason"))
		}
		fmt.Fprintf(w, "nested %d %s; ", response.StatusCode, answer)
	}
}
