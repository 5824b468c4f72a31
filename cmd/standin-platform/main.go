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
	flaggy.SetDescription("runs the stand-in platform with its state in memory")
	flaggy.String(&listen, "l", "listen", "loopback address and port; port 0 selects a port that is not in use")
	flaggy.Parse()
	if err := serve(listen); err != nil {
		fmt.Fprintln(os.Stderr, "standin-platform:", err)
		os.Exit(1)
	}
}

func serve(listen string) error {
	address, err := netip.ParseAddrPort(listen)
	if err != nil || !address.Addr().IsLoopback() {
		return fmt.Errorf("address %q is not a loopback address with a port; use an address such as 127.0.0.1:7000", listen)
	}
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return fmt.Errorf("%w; with --listen, choose an address that is not in use", err)
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
	group.Add(func() error { return server.Serve(listener) }, func(error) { shutdown(server) })
	group.Add(run.SignalHandler(context.Background(), os.Interrupt, syscall.SIGTERM))
	if err := group.Run(); !errors.Is(err, run.ErrSignal) {
		return err
	}
	return nil
}

// shutdown waits at most shutdownTimeout for the requests in flight, since an injected latency can be long.
func shutdown(server *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if server.Shutdown(ctx) != nil {
		_ = server.Close()
	}
}
