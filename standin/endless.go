package standin

import (
	"io"
	"net"
	"runtime"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	// endlessTimeout only stops a hanging test.
	endlessTimeout = 20 * time.Second
	// endlessChunkBytes is the number of bytes that are sent at once.
	endlessChunkBytes = 16 << 10
	// endlessBurstBytes is the number of bytes that are sent as fast as the other side takes them. It exceeds what any test allows a process
	// to keep. After that there is endlessPause between chunks, so that a test leaves the processor to others.
	endlessBurstBytes = 256 << 20
	endlessPause      = time.Millisecond
	// heapInterval is the time between two looks at the heap.
	heapInterval = 20 * time.Millisecond
)

// SendEndlessly sends head, then repeated without end, until the other side closes the connection, and returns the number of bytes that it has
// taken.
func SendEndlessly(conn net.Conn, head, repeated string) int {
	_ = conn.SetDeadline(time.Now().Add(endlessTimeout))
	chunk := strings.Repeat(repeated, 1+endlessChunkBytes/len(repeated))
	sent, err := io.WriteString(conn, head)
	for err == nil {
		if sent > endlessBurstBytes {
			time.Sleep(endlessPause)
		}
		var n int
		n, err = io.WriteString(conn, chunk)
		sent += n
	}
	return sent
}

// ServeEndlessly calls SendEndlessly for each connection of a listener, whatever the other side sends, until the listener is closed.
func ServeEndlessly(l net.Listener, group *errgroup.Group, head, repeated string) {
	group.Go(func() error {
		for {
			conn, err := l.Accept()
			if err != nil {
				return nil // the listener is closed
			}
			group.Go(func() error {
				_, _ = io.Copy(io.Discard, conn) // until the connection ends
				return nil
			})
			group.Go(func() error {
				defer conn.Close()
				SendEndlessly(conn, head, repeated)
				return nil
			})
		}
	})
}

// HeapGrowth returns by how many bytes the live heap of the process grew at most while f ran, seen at short intervals.
func HeapGrowth(f func()) uint64 {
	var before, now runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	largest := uint64(0)
	stopped := make(chan struct{})
	var group errgroup.Group
	group.Go(func() error {
		for {
			runtime.GC()
			runtime.ReadMemStats(&now)
			largest = max(largest, now.HeapAlloc-min(now.HeapAlloc, before.HeapAlloc))
			select {
			case <-stopped:
				return nil
			case <-time.After(heapInterval):
			}
		}
	})
	f()
	close(stopped)
	_ = group.Wait() // returns no error
	return largest
}
