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
	// leaveDelay is how long a leaving instance still accepts attempts from sources that have not received its notice.
	leaveDelay = 3 * time.Second
	// drainInterval is the polling interval of the check whether the node is idle.
	drainInterval = 20 * time.Millisecond
	// closeTimeout limits the graceful shutdown of the servers after the drain.
	closeTimeout = 2 * time.Second
)

// Run serves until the context ends, then drains and returns; it returns an error if a listener cannot be opened, a server
// fails or a later incarnation of this instance is running.
func (n *Node) Run(ctx context.Context) error {
	listeners, err := n.listen()
	if err != nil {
		return err
	}
	// Control work continues during the drain, so it has a context of its own.
	control, stopControl := context.WithCancel(context.WithoutCancel(ctx))
	defer stopControl()
	var group run.Group
	n.addServer(&group, listeners.caller, n.callerHandler(), n.tlsCredentials.caller)
	n.addServer(&group, listeners.loopback, n.loopbackHandler(), nil)
	n.addServer(&group, listeners.operator, n.operatorHandler(), n.tlsCredentials.operator)
	n.addPeerServer(&group, listeners.peer)
	for _, work := range []func(context.Context) error{
		n.workers.run, n.membership.run, n.destination.health.watch, n.runTicks, n.poller.run, n.join, n.claims.learnHistory, n.watchCertificates,
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

// addDrain adds the actor that drains the node when ctx ends; the other actors are interrupted after the drain.
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

// drain announces that the instance leaves, waits for sources to learn of it, and then until nothing is in flight; it takes
// at most the stop time of the settings.
func (n *Node) drain() {
	started := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), n.settings.StopTime)
	defer cancel()
	n.isLeaving.Store(true)
	n.log.Info().Msg("leaving; refusing new requests and draining those in flight")
	n.membership.notifyAndWait(ctx, member.Leave{Sources: n.sources.recent(n.clock.now())})
	request.Sleep(ctx, leaveDelay)
	n.destination.handle(admission.Drain{})
	select {
	case <-n.destination.drained:
	case <-ctx.Done():
	}
	for ctx.Err() == nil && (n.openRequests.Load() > 0 || n.executions.count() > 0 || n.sessions.runningEffects() > 0) {
		request.Sleep(ctx, drainInterval)
	}
	n.log.Info().Dur("took", time.Since(started)).Int64("open", n.openRequests.Load()).Msg("drained")
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
		listener, err := n.listenFunc("tcp", want.address.String())
		if err != nil {
			s.close()
			return listenerSet{}, Error.New("listen on %s address %v: %v; choose an address that is not in use", want.field, want.address, err)
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

// addServer adds a server for HTTP/1.1 and HTTP/2, over TLS if c is not nil.
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

// runTicks sends ticks to the admission controller, expires entries of the session and quarantine tables and updates the
// gauges, until the context ends.
func (n *Node) runTicks(ctx context.Context) error {
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
		n.quarantines.mu.Lock()
		n.quarantines.table.Expire(now)
		n.quarantines.mu.Unlock()
		n.updateGauges()
	}
}

func (n *Node) updateGauges() {
	n.destination.mu.Lock()
	l := n.destination.controller.Load()
	n.destination.mu.Unlock()
	n.metrics.level.Update(int64(l.Level))
	n.metrics.inFlight.Update(int64(l.InFlight))
	n.metrics.queued.Update(int64(l.Queued))
	n.metrics.limit.Update(int64(l.Limit))
	n.metrics.version.Update(int64(n.replica.Version()))
	n.membership.mu.Lock()
	health := n.membership.stateMachine.HealthScore()
	n.membership.mu.Unlock()
	n.metrics.health.Update(int64(health))
}

// runningEffects returns the number of running effects under tickets of this node.
func (s *sessions) runningEffects() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.responses)
}

// Incarnation returns the node's incarnation, which identifies one run of the process.
func (n *Node) Incarnation() request.Incarnation { return n.incarnation }
