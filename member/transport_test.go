package member_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"runtime"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/sapphiretack/sapphiretack/member"
	"github.com/sapphiretack/sapphiretack/peer"
	"github.com/sapphiretack/sapphiretack/request"
)

// gossipServer responds to gossip requests from a membership, as the driver of a node does.
type gossipServer struct {
	peer.UnimplementedPeerServer
	m     *member.Membership
	start time.Time
}

func (s *gossipServer) Gossip(_ context.Context, p *peer.GossipRequest) (*peer.GossipResponse, error) {
	msg, err := member.RequestFromProto(p)
	if err != nil {
		return nil, err
	}
	out := s.m.Handle(request.Instant(time.Since(s.start)), member.Received{Message: msg, Exchange: 1}, nil)
	reply := replyOf(out)
	return reply.ResponseProto(), nil
}

// countingListener counts the bytes that its connections transfer in both directions.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return countingConn{conn, l.bytes}, err
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// cpuTime returns the user and system CPU time of the process.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkExchange measures the cost of exchanging two small messages by gRPC over loopback: the bytes of both directions
// without TCP and IP headers, and the CPU time of both ends together.
func BenchmarkExchange(b *testing.B) {
	var bytes atomic.Int64
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(b, err, qt.IsNil)
	c := newCluster(member.DefaultSettings(), 1)
	service := &gossipServer{m: member.New(c.row(0, 0), c.settings, rand.New(rand.NewPCG(1, 1))), start: time.Now()}
	server := grpc.NewServer()
	peer.RegisterPeerServer(server, service)
	var group errgroup.Group
	group.Go(func() error { return server.Serve(countingListener{listener, &bytes}) })
	defer server.Stop()
	dial := func() *grpc.ClientConn {
		conn, err := grpc.NewClient(listener.Addr().String(), grpc.WithTransportCredentials(insecure.NewCredentials()))
		qt.Assert(b, err, qt.IsNil)
		return conn
	}
	msg := member.Message{From: "instance-0001", ConfigurationVersion: 7}
	exchange := func(conn *grpc.ClientConn) {
		_, err := peer.NewPeerClient(conn).Gossip(context.Background(), msg.RequestProto())
		qt.Assert(b, err, qt.IsNil)
	}
	measure := func(b *testing.B, run func()) {
		run()
		bytes.Store(0)
		before := cpuTime()
		b.ResetTimer()
		for range b.N {
			run()
		}
		b.ReportMetric(float64(bytes.Load())/float64(b.N), "B/exchange")
		b.ReportMetric(float64((cpuTime()-before).Microseconds())/float64(b.N), "cpu_us/exchange")
	}
	b.Run("open", func(b *testing.B) {
		conn := dial()
		defer conn.Close()
		measure(b, func() { exchange(conn) })
	})
	b.Run("new", func(b *testing.B) {
		measure(b, func() {
			conn := dial()
			exchange(conn)
			conn.Close()
		})
	})
}

// BenchmarkHandle measures the time and heap memory of the state machine for its most frequent events, by cluster size.
func BenchmarkHandle(b *testing.B) {
	for _, size := range repairSizes {
		c := newCluster(member.DefaultSettings(), 1)
		rows, _ := differingRows(size, 0)
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		m := member.New(rows[0], c.settings, rand.New(rand.NewPCG(1, 1)))
		m.Handle(0, member.Received{Kind: member.Notice, Message: member.Message{Members: rows}}, nil)
		runtime.GC()
		runtime.ReadMemStats(&after)
		events := []struct {
			name string
			next func(i int) member.Event
		}{
			{"tick", func(int) member.Event { return member.Tick{} }},
			{"request", func(int) member.Event {
				return member.Received{Message: member.Message{From: rows[1].Instance}, Exchange: 1}
			}},
			{"digest", func(int) member.Event {
				root := member.RangeDigest{Last: 1<<64 - 1, Hash: 1, Count: uint32(size)}
				return member.Received{Message: member.Message{From: rows[1].Instance, Digests: []member.RangeDigest{root}}, Exchange: 1}
			}},
			{"update", func(i int) member.Event {
				u := rows[1+i%(size-1)]
				u.Revision = uint32(1 + i/(size-1))
				return member.Received{Message: member.Message{From: rows[1].Instance, Members: []member.Member{u}}, Exchange: 1}
			}},
		}
		var now request.Instant
		for _, e := range events {
			b.Run(fmt.Sprintf("%s/%d", e.name, size), func(b *testing.B) {
				var out []member.Action
				b.ReportAllocs()
				for i := range b.N {
					now = now.Add(time.Millisecond)
					out = m.Handle(now, e.next(i), out[:0])
				}
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(size), "heap_B/member")
			})
		}
	}
}
