package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"time"

	"github.com/integrii/flaggy"
	"github.com/oklog/run"

	"github.com/sapphiretack/sapphiretack/exchange"
	"github.com/sapphiretack/sapphiretack/request"
	"github.com/sapphiretack/sapphiretack/settings"
	"github.com/sapphiretack/sapphiretack/standin"
)

const (
	drainTimeout  = 10 * time.Second
	headerTimeout = 5 * time.Second
)

type options struct {
	deployment string
	behaviors  string
	instance   string
	log        string
}

func main() {
	var o options
	flaggy.SetName("standin-backend")
	flaggy.SetDescription("runs a stand-in backend server for one instance of a deployment")
	flaggy.String(&o.deployment, "d", "deployment", "deployment file (required)")
	flaggy.String(&o.behaviors, "b", "behaviors", "file with the behavior of the operations of each service (required)")
	flaggy.String(&o.instance, "i", "instance", "name of the instance (required)")
	flaggy.String(&o.log, "l", "log", "file to which a line is appended for each execution")
	flaggy.Parse()
	if err := serve(o); err != nil {
		fmt.Fprintln(os.Stderr, "standin-backend:", err)
		os.Exit(1)
	}
}

func serve(o options) error {
	deployment, err := settings.ReadDeploymentFile(o.deployment)
	if err != nil {
		return err
	}
	node, err := deployment.Settings(request.InstanceID(o.instance))
	if err != nil {
		return err
	}
	behaviors, err := standin.ReadBehaviors(o.behaviors)
	if err != nil {
		return err
	}
	service := string(node.Instance.Service)
	behavior, ok := behaviors[service]
	if !ok {
		return fmt.Errorf("%s has no service %q; add it", o.behaviors, service)
	}
	s := standin.BackendSettings{
		Instance:    o.instance,
		Service:     service,
		Slots:       node.Backend.Slots,
		ColdStart:   node.Backend.ColdStart,
		LoopbackURL: "http://" + node.Listeners.Loopback.String(),
		Behavior:    behavior,
		Client:      &http.Client{Transport: exchange.New(&http.Transport{MaxIdleConnsPerHost: node.Backend.Slots})},
		Exit:        os.Exit,
	}
	if o.log != "" {
		log, err := os.OpenFile(o.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err != nil {
			return err
		}
		defer log.Close()
		s.Log = log
	}
	return listenAndServe(strings.TrimPrefix(node.Backend.URL, "http://"), standin.NewBackend(s))
}

func listenAndServe(address string, backend *standin.Backend) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: backend, ReadHeaderTimeout: headerTimeout}
	var group run.Group
	group.Add(run.SignalHandler(context.Background(), syscall.SIGTERM, syscall.SIGINT))
	group.Add(func() error { return server.Serve(listener) }, func(error) {
		backend.Drain()
		ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
		defer cancel()
		_ = server.Shutdown(ctx)
	})
	if err := group.Run(); !errors.Is(err, run.ErrSignal) {
		return err
	}
	return nil
}
