package node

import (
	"context"

	"golang.org/x/sync/errgroup"
)

const (
	// workerCount is enough for control work: a node sends a few messages per second.
	workerCount = 16
	// maxQueuedWork is far above the number of messages that a leaving node sends at once (38 sources and 38 instances of a
	// service).
	maxQueuedWork = 1024
)

// workerPool runs control work: gossip, notices, and reads of the configuration from the platform and from peers.
type workerPool struct {
	queue chan func(context.Context)
}

func newWorkerPool() *workerPool {
	return &workerPool{queue: make(chan func(context.Context), maxQueuedWork)}
}

// submit queues work and reports whether the queue had room. It never blocks. Gossip and notices that find no room are
// dropped, because their protocols send them again; runControl runs its work elsewhere.
func (w *workerPool) submit(work func(context.Context)) bool {
	select {
	case w.queue <- work:
		return true
	default:
		return false
	}
}

// run runs queued work until the context ends.
func (w *workerPool) run(ctx context.Context) error {
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
