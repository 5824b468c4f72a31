package mesh

import "time"

const (
	// drainInterval is the time between two checks whether requests are in flight.
	drainInterval = 20 * time.Millisecond
	// intakeTime is how long requests are taken after SIGTERM, while clients learn from the readiness that the node stops.
	// What is taken later may not complete within the stop time.
	intakeTime = 2500 * time.Millisecond
	// stopMargin is the part of the stop time that is left for the end of the process.
	stopMargin = 500 * time.Millisecond
)

// stopPhase is a part of a planned stop.
type stopPhase uint8

const (
	// stopServing takes clients' requests and attempts of other nodes. The backend server works as long as its node does, so
	// it would be idle if other nodes left it at once.
	stopServing stopPhase = iota
	// stopLeaving tells other nodes that the backend server leaves.
	stopLeaving
	// stopFinishing takes no new connection; what is in flight ends.
	stopFinishing
	// stopEnded is the end of the process.
	stopEnded
)

var stopPhaseNames = [...]string{"serving", "leaving", "finishing", "ended"}

// String returns the name of the phase.
func (p stopPhase) String() string { return stopPhaseNames[p] }

// phaseOf returns the phase of a planned stop; limit is the time after which requests in flight are given up.
func phaseOf(passed, limit time.Duration, inFlight int) stopPhase {
	intake := min(intakeTime, limit/2)
	switch {
	case passed >= limit, passed >= intake && inFlight == 0:
		return stopEnded
	case passed >= intake:
		return stopFinishing
	case passed >= intake-leaveDelay:
		return stopLeaving
	}
	return stopServing
}

// drain stops taking new work and waits for what is in flight.
func (n *Node) drain() {
	begin := time.Now()
	n.isStop.Store(true)
	n.ingress.Drain()
	n.log.Info().Str("event", "drain").Int("active", n.ingress.Active()).Msg("SIGTERM received; requests in flight are finished")
	for {
		phase := phaseOf(time.Since(begin), n.settings.StopTime-stopMargin, n.ingress.Active()+n.backend.active())
		if phase >= stopLeaving {
			n.backend.leave("the node stops")
		}
		if phase >= stopFinishing {
			n.ingress.StopAccepting()
			n.ingress.CloseIdle()
		}
		if phase == stopEnded {
			break
		}
		time.Sleep(drainInterval)
	}
	n.log.Info().Str("event", "drained").Dur("took", time.Since(begin)).Int("active", n.ingress.Active()).
		Int("running", n.backend.active()).Msg("drained")
}
