package mesh

import "time"

const (
	// drainPollInterval is the time between checks for requests in flight.
	drainPollInterval = 20 * time.Millisecond
	// acceptTime is how long requests are accepted after SIGTERM, while clients learn from readiness checks that the node is
	// stopping. Requests accepted later might not complete within the stop time.
	acceptTime = 2500 * time.Millisecond
	// stopMargin is the part of the stop time reserved for the last responses and the exit of the process.
	stopMargin = 500 * time.Millisecond
	// lastResponseTime bounds the time for the responses to requests that are abandoned.
	lastResponseTime = 200 * time.Millisecond
)

// stopPhase is a phase of a graceful shutdown.
type stopPhase uint8

const (
	// stopServing still accepts client requests and attempts of other nodes. The backend server runs as long as its node, so
	// its capacity would be wasted if other nodes stopped using it at once.
	stopServing stopPhase = iota
	// stopLeaving announces to other nodes that the backend server is leaving.
	stopLeaving
	// stopFinishing accepts no new connections and completes requests in flight.
	stopFinishing
	// stopEnded lets the process exit.
	stopEnded
)

var stopPhaseNames = [...]string{"serving", "leaving", "finishing", "ended"}

// String returns the name of the phase.
func (p stopPhase) String() string { return stopPhaseNames[p] }

// phaseAt returns the phase at a time after SIGTERM. After limit, requests in flight are abandoned.
func phaseAt(elapsed, limit time.Duration, inFlight int) stopPhase {
	acceptFor := min(acceptTime, limit/2)
	switch {
	case elapsed >= limit, elapsed >= acceptFor && inFlight == 0:
		return stopEnded
	case elapsed >= acceptFor:
		return stopFinishing
	case elapsed >= acceptFor-gateCloseDelay:
		return stopLeaving
	}
	return stopServing
}

// drain performs a graceful shutdown and returns when no requests are in flight or the stop time is nearly over.
func (n *Node) drain() {
	begin := time.Now()
	n.isStopping.Store(true)
	n.ingress.Drain()
	n.log.Info().Str("event", "drain").Int("active", n.ingress.Active()).Msg("stopping; draining requests in flight")
	for {
		phase := phaseAt(time.Since(begin), n.settings.StopTime-stopMargin, n.ingress.Active()+n.backend.inFlight())
		if phase >= stopLeaving {
			n.backend.announceLeaving("the node stops")
		}
		if phase >= stopFinishing {
			n.ingress.StopAccepting()
			n.ingress.CloseIdle()
		}
		if phase == stopEnded {
			break
		}
		time.Sleep(drainPollInterval)
	}
	n.answerRemaining()
	n.log.Info().Str("event", "drained").Dur("took", time.Since(begin)).Int("active", n.ingress.Active()).
		Int("running", n.backend.inFlight()).Msg("drained")
}

// answerRemaining abandons the requests that are still in flight, and waits until their clients have been told.
func (n *Node) answerRemaining() {
	n.abort()
	for begin := time.Now(); n.ingress.Active() > 0 && time.Since(begin) < lastResponseTime; {
		time.Sleep(drainPollInterval)
	}
}
