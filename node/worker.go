package node

import (
	"context"

	"golang.org/x/sync/errgroup"
)

const (
	// workerCount suffices for control work: a node sends a few messages a second.
	workerCount = 16
	// workBacklog is far above the messages that a leaving node sends at once (38 sources and 38 instances of a service).
	workBacklog = 1024
)

// workers is the pool that carries out control work: gossip, notices, claims and configuration.
type workers struct {
	queue chan func(context.Context)
}

func newWorkers() *workers {
	return &workers{queue: make(chan func(context.Context), workBacklog)}
}

// submit queues work without waiting. Work beyond the backlog is dropped, since every protocol that uses the pool
// repeats what got lost.
func (w *workers) submit(work func(context.Context)) bool {
	select {
	case w.queue <- work:
		return true
	default:
		return false
	}
}

// run carries out work until the context ends.
func (w *workers) run(ctx context.Context) error {
	var group errgroup.Group
	for range workerCount {
		group.Go(func() error {
			for {
				select {
				case work := <-w.queue:
					work(ctx)
				case <-ctx.Done():
					return nil
				}
			}
		})
	}
	return group.Wait()
}
