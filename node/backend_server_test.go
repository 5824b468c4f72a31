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

// backendServer is a fake backend server whose behavior depends on the name of the operation.
type backendServer struct {
	executions *executionLog
	loopback   string
	service    string
	address    string
	server     *httptest.Server
	crashed    atomic.Bool
	release    chan struct{} // closed to let "hold" and "stream" complete
	resetPeers func()
	listener   atomic.Pointer[net.Listener]
}

// start listens on the address of the previous incarnation, if there was one.
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

// crash refuses new connections before it resets the open ones, as an exiting process does.
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
	b.executions.add(strings.TrimSpace(b.service + "/" + op + " " + string(body)))
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
		_, _ = io.Copy(io.Discard, conn) // until the node closes the connection
		_ = conn.Close()
	case "fail":
		http.Error(w, "no such bird", http.StatusInternalServerError)
	case "hold":
		<-b.release
		fmt.Fprint(w, "finished")
	case "again":
		b.retryUntilRefused(w, r, body)
	case "crash":
		b.crash()
	case "lose-then-crash":
		if b.executions.connectionsReset.CompareAndSwap(false, true) {
			b.resetPeers()
			return
		}
		b.crash()
	case "stream":
		fmt.Fprint(w, "begin")
		_ = http.NewResponseController(w).Flush()
		<-b.release
		fmt.Fprint(w, " end")
	case "slow":
		time.Sleep(300 * time.Millisecond)
		fmt.Fprint(w, "finished")
	case "nested", "register":
		b.sendNested(w, r, body)
	}
}

// retryUntilRefused sends the same nested call until it is refused, as a client library with its own retries does.
func (b *backendServer) retryUntilRefused(w http.ResponseWriter, r *http.Request, body []byte) {
	for sends := 1; sends < 20; sends++ {
		call, _ := http.NewRequest(http.MethodPost, b.loopback+"/call/transfers/fail", bytes.NewReader(body))
		call.Header.Set("Sapphiretack-Call", r.Header.Get("Sapphiretack-Call"))
		response, err := http.DefaultClient.Do(call)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadGateway)
			return
		}
		responseBody, _ := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if reason := jsonField(string(responseBody), "reason"); reason != "" {
			fmt.Fprintf(w, "send %d: %s", sends, reason)
			return
		}
	}
	fmt.Fprint(w, "never refused")
}

// sendNested calls an operation of another service twice with the same step, through the loopback listener of the node.
func (b *backendServer) sendNested(w http.ResponseWriter, r *http.Request, body []byte) {
	for range 2 {
		call, _ := http.NewRequest(http.MethodPost, b.loopback+"/call/transfers/transfer", bytes.NewReader(body))
		call.Header.Set("Sapphiretack-Call", r.Header.Get("Sapphiretack-Call"))
		call.Header.Set("Sapphiretack-Step", "1")
		response, err := http.DefaultClient.Do(call)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadGateway)
			return
		}
		responseBody, _ := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if response.StatusCode != http.StatusOK {
			responseBody = []byte(jsonField(string(responseBody), "reason"))
		}
		fmt.Fprintf(w, "nested %d %s; ", response.StatusCode, responseBody)
	}
}
