// Standin-platform runs the stand-in platform: a transactional table and an
// object store in memory, on a loopback address.
//
//	standin-platform --listen 127.0.0.1:7000
//	curl -X PUT -d '{"latency_ms": 300, "lose_responses": 1}' http://127.0.0.1:7000/admin/faults
//
// It ends on SIGTERM or SIGINT, and its state with it.
package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"syscall"
	"time"

	"github.com/integrii/flaggy"
	"github.com/oklog/run"

	"github.com/sapphiretack/sapphiretack/standin"
)

const (
	headerTimeout   = 5 * time.Second
	bodyTimeout     = 30 * time.Second
	idleTimeout     = 2 * time.Minute
	shutdownTimeout = 2 * time.Second
	maxHeaderBytes  = 16 << 10
)

func main() {
	listen := "127.0.0.1:7000"
	flaggy.SetName("standin-platform")
	flaggy.SetDescription("runs the stand-in platform, with its state in memory")
	flaggy.String(&listen, "l", "listen", "loopback address and port; port 0 takes a free one")
	flaggy.Parse()
	if err := serve(listen); err != nil {
		fmt.Fprintln(os.Stderr, "standin-platform:", err)
		os.Exit(1)
	}
}

func serve(listen string) error {
	address, err := netip.ParseAddrPort(listen)
	if err != nil || !address.Addr().IsLoopback() {
		return fmt.Errorf("address %q is not a loopback address with a port; use for example 127.0.0.1:7000", listen)
	}
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return fmt.Errorf("%w; choose a free port with --listen", err)
	}
	server := &http.Server{
		Handler:           standin.NewPlatform().Handler(),
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       bodyTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	fmt.Println("listening on", listener.Addr())
	var group run.Group
	group.Add(func() error { return server.Serve(listener) }, func(error) { shutDown(server) })
	group.Add(run.SignalHandler(context.Background(), os.Interrupt, syscall.SIGTERM))
	if err := group.Run(); !errors.Is(err, run.ErrSignal) {
		return err
	}
	return nil
}

// shutDown waits a short while for the requests in flight, since a latency can be long.
func shutDown(server *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if server.Shutdown(ctx) != nil {
		_ = server.Close()
	}
}
