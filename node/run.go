package node

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/oklog/run"
	"google.golang.org/grpc"

	"github.com/sapphiretack/sapphiretack/admission"
	"github.com/sapphiretack/sapphiretack/credential"
	"github.com/sapphiretack/sapphiretack/member"
	"github.com/sapphiretack/sapphiretack/request"
)

const (
	// leaveTime is how long a leaving instance still takes work of sources that did not hear of its departure.
	leaveTime = 3 * time.Second
	// drainInterval is the time between two checks whether the node is idle.
	drainInterval = 20 * time.Millisecond
	// closeTimeout bounds the closing of idle connections after the drain.
	closeTimeout = 2 * time.Second
)

// Run serves until the context ends, then drains and returns; an error means that a listener could not be opened or that
// a later process took over the instance.
func (n *Node) Run(ctx context.Context) error {
	listeners, err := n.listen()
	if err != nil {
		return err
	}
	// The control work goes on during the drain, so it does not end with ctx.
	control, stopControl := context.WithCancel(context.WithoutCancel(ctx))
	defer stopControl()
	var group run.Group
	n.addServer(&group, listeners.caller, n.callerHandler(), n.security.caller)
	n.addServer(&group, listeners.loopback, n.loopbackHandler(), nil)
	n.addServer(&group, listeners.operator, n.operatorHandler(), n.security.operator)
	n.addPeerServer(&group, listeners.peer)
	for _, work := range []func(context.Context) error{
		n.workers.run, n.members.run, n.destination.health.watch, n.tick, n.poller.run, n.announce, n.watchSecurity,
	} {
		ctx, cancel := context.WithCancel(control)
		group.Add(func() error { return work(ctx) }, func(error) { cancel() })
	}
	n.addDrain(ctx, &group)
	n.log.Info().Uint64("incarnation", uint64(n.incarnation)).Str("caller", listeners.caller.Addr().String()).Msg("node started")
	err = group.Run()
	n.peers.close()
	n.log.Info().Msg("node stopped")
	return err
}

// addDrain makes the end of ctx start the drain; the other actors are interrupted after it.
func (n *Node) addDrain(ctx context.Context, group *run.Group) {
	ctx, cancel := context.WithCancel(ctx)
	failed := make(chan struct{})
	group.Add(func() error {
		<-ctx.Done()
		select {
		case <-failed:
			return nil
		default:
		}
		n.drain()
		return nil
	}, func(error) {
		close(failed)
		cancel()
	})
}

// drain announces the departure, lets sources hear of it, and waits until nothing is in flight.
func (n *Node) drain() {
	begin := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), n.settings.Stop)
	defer cancel()
	n.isLeft.Store(true)
	n.log.Info().Msg("leaving; new work is refused and work in flight is finished")
	n.members.notifyNow(ctx, member.Leave{Sources: n.sources.recent(n.clock.now())})
	request.Sleep(ctx, leaveTime)
	n.destination.handle(admission.Drain{})
	select {
	case <-n.destination.drained:
	case <-ctx.Done():
	}
	for ctx.Err() == nil && (n.open.Load() > 0 || n.executions.count() > 0 || n.sessions.running() > 0) {
		request.Sleep(ctx, drainInterval)
	}
	n.log.Info().Dur("took", time.Since(begin)).Int64("open", n.open.Load()).Msg("drained")
}

// listenerSet holds the open listeners of a node.
type listenerSet struct {
	caller, peer, loopback, operator net.Listener
}

func (n *Node) listen() (listenerSet, error) {
	var s listenerSet
	l := n.settings.Listeners
	for _, want := range []struct {
		field   string
		address netip.AddrPort
		open    *net.Listener
	}{
		{"caller", l.Caller, &s.caller},
		{"peer", l.Peer, &s.peer},
		{"loopback", l.Loopback, &s.loopback},
		{"operator", l.Operator, &s.operator},
	} {
		listener, err := n.listenOn("tcp", want.address.String())
		if err != nil {
			s.close()
			return listenerSet{}, Error.New("listener %s at %v: %v; choose a free address", want.field, want.address, err)
		}
		*want.open = listener
	}
	return s, nil
}

func (s listenerSet) close() {
	for _, l := range []net.Listener{s.caller, s.peer, s.loopback, s.operator} {
		if l != nil {
			_ = l.Close()
		}
	}
}

// addServer serves HTTP/1.1 and h2, over TLS if there is a credential.
func (n *Node) addServer(group *run.Group, l net.Listener, h http.Handler, c *credential.Credential) {
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(c != nil)
	protocols.SetUnencryptedHTTP2(c == nil)
	server := &http.Server{
		Handler:           h,
		Protocols:         &protocols,
		ReadHeaderTimeout: n.settings.Timeouts.Header,
		IdleTimeout:       n.settings.Timeouts.Idle,
		MaxHeaderBytes:    n.settings.Limits.HeaderBytes,
		HTTP2:             &http.HTTP2Config{MaxConcurrentStreams: n.settings.Limits.Streams},
	}
	serve := func() error { return server.Serve(l) }
	if c != nil {
		server.TLSConfig = c.ServerConfig("h2", "http/1.1")
		server.ErrorLog = n.serverLog()
		serve = func() error { return server.ServeTLS(l, "", "") }
	}
	group.Add(func() error {
		if err := serve(); !errors.Is(err, http.ErrServerClosed) {
			return Error.Wrap(err)
		}
		return nil
	}, func(error) {
		ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
		defer cancel()
		if server.Shutdown(ctx) != nil {
			_ = server.Close()
		}
	})
}

func (n *Node) addPeerServer(group *run.Group, l net.Listener) {
	server := n.newPeerServer()
	group.Add(func() error {
		if err := server.Serve(l); !errors.Is(err, grpc.ErrServerStopped) {
			return Error.Wrap(err)
		}
		return nil
	}, func(error) {
		timer := time.AfterFunc(closeTimeout, server.Stop)
		defer timer.Stop()
		server.GracefulStop()
	})
}

// tick lets time pass for the tables until the context ends.
func (n *Node) tick(ctx context.Context) error {
	ticker := time.NewTicker(admission.DefaultInterval / 5)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
		now := n.clock.now()
		n.destination.handle(admission.Tick{})
		n.sessions.mu.Lock()
		n.sessions.table.Tick(now)
		n.sessions.mu.Unlock()
		n.crashes.mu.Lock()
		n.crashes.table.Expire(now)
		n.crashes.mu.Unlock()
		n.gauge()
	}
}

func (n *Node) gauge() {
	n.destination.mu.Lock()
	l := n.destination.controller.Load()
	n.destination.mu.Unlock()
	n.metrics.level.Update(int64(l.Level))
	n.metrics.running.Update(int64(l.InFlight))
	n.metrics.queued.Update(int64(l.Queued))
	n.metrics.limit.Update(int64(l.Limit))
	n.metrics.version.Update(int64(n.replica.Version()))
	n.members.mu.Lock()
	health := n.members.machine.Health()
	n.members.mu.Unlock()
	n.metrics.health.Update(int64(health))
}

// running returns the number of effects in flight under tickets of this node.
func (s *sessions) running() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.answers)
}

// Incarnation returns the identity of this run of the process.
func (n *Node) Incarnation() request.Incarnation { return n.incarnation }
