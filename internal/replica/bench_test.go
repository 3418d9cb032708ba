package replica

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/guavastack/guavastack/proto/peerpb"
)

// tcpGroup is a group that communicates over loopback TCP and syncs to real files.
type tcpGroup struct {
	b       *testing.B
	members []Member
	dirs    []string
	lis     []net.Listener
	procs   []*process
	adjust  []func(*Config)
	servers sync.WaitGroup
}

func newTCPGroup(b *testing.B, size int, adjust ...func(*Config)) *tcpGroup {
	g := &tcpGroup{b: b, adjust: adjust, procs: make([]*process, size)}
	for i := range size {
		lis, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		g.lis = append(g.lis, lis)
		g.dirs = append(g.dirs, b.TempDir())
		g.members = append(g.members, Member{ID: uint64(i + 1), Address: lis.Addr().String()})
	}
	for i := range size {
		g.start(i)
	}
	b.Cleanup(g.stop)
	return g
}

func (g *tcpGroup) start(i int) {
	sm := &list{}
	cfg := Config{GroupID: 1, ID: g.members[i].ID, Members: g.members, DataDir: g.dirs[i]}
	for _, adjust := range g.adjust {
		adjust(&cfg)
	}
	r, err := Open(cfg, sm)
	if err != nil {
		g.b.Fatal(err)
	}
	if g.lis[i] == nil {
		if g.lis[i], err = net.Listen("tcp", g.members[i].Address); err != nil {
			g.b.Fatal(err)
		}
	}
	mux := drpcmux.New()
	if err := peerpb.DRPCRegisterPeer(mux, r.PeerServer()); err != nil {
		g.b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	lis := g.lis[i]
	g.servers.Go(func() { _ = drpcserver.New(mux).Serve(ctx, lis) })
	g.procs[i] = &process{Replica: r, sm: sm, err: make(chan error, 1), stop: cancel}
	p := g.procs[i]
	go func() { p.err <- r.Run(ctx) }()
}

// kill stops a member and its connections without a leadership transfer.
func (g *tcpGroup) kill(i int) {
	_ = g.procs[i].kill()
	g.procs[i], g.lis[i] = nil, nil
}

func (g *tcpGroup) stop() {
	for i, p := range g.procs {
		if p != nil {
			g.kill(i)
		}
	}
	g.servers.Wait()
}

// leader waits until a member has committed an entry as the leader, and returns its position.
func (g *tcpGroup) leader() int {
	for {
		for i, p := range g.procs {
			if p != nil && p.Status().HasCommittedInTerm {
				return i
			}
		}
		time.Sleep(time.Millisecond)
	}
}

func BenchmarkPropose(b *testing.B) {
	for _, clients := range []int{1, 16, 64} {
		b.Run(fmt.Sprintf("members=3/clients=%d", clients), func(b *testing.B) {
			g := newTCPGroup(b, 3)
			leader := g.procs[g.leader()]
			data := make([]byte, 512)
			var next atomic.Int64
			b.ResetTimer()
			var wg sync.WaitGroup
			for range clients {
				wg.Go(func() {
					for next.Add(1) <= int64(b.N) {
						if _, err := leader.Propose(context.Background(), data); err != nil {
							b.Error(err)
							return
						}
					}
				})
			}
			wg.Wait()
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "changes/s")
		})
	}
}

func BenchmarkReadIndexOnFollower(b *testing.B) {
	g := newTCPGroup(b, 3)
	follower := g.procs[(g.leader()+1)%3]
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if _, err := follower.ReadIndex(context.Background()); err != nil {
				b.Error(err)
				return
			}
		}
	})
}

// BenchmarkRestart reports how long a restarted member takes to apply 1,000 commands.
func BenchmarkRestart(b *testing.B) {
	g := newTCPGroup(b, 3)
	leader := g.leader()
	var last uint64
	for range 1000 {
		out, err := g.procs[leader].Propose(context.Background(), make([]byte, 512))
		if err != nil {
			b.Fatal(err)
		}
		last = out.Index
	}
	victim := (leader + 1) % 3
	b.ResetTimer()
	for range b.N {
		b.StopTimer()
		g.kill(victim)
		b.StartTimer()
		g.start(victim)
		if err := g.procs[victim].WaitApplied(context.Background(), last); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkLeaderChange reports the time from killing the leader to the next committed command.
func BenchmarkLeaderChange(b *testing.B) {
	g := newTCPGroup(b, 3)
	var worst time.Duration
	for range b.N {
		b.StopTimer()
		old := g.leader()
		time.Sleep(time.Second)
		b.StartTimer()
		began := time.Now()
		g.kill(old)
		next := g.procs[g.leader()]
		if _, err := next.Propose(context.Background(), []byte("x")); err != nil {
			b.Fatal(err)
		}
		worst = max(worst, time.Since(began))
		b.StopTimer()
		g.start(old)
		b.StartTimer()
	}
	b.ReportMetric(worst.Seconds()*1000, "worst-ms")
}

// countedConn counts the bytes in both directions.
type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

func cpuTime(b *testing.B) time.Duration {
	var u unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkIdle reports the network traffic and processor time of an idle group of three. Each iteration takes one second.
func BenchmarkIdle(b *testing.B) {
	var bytes atomic.Int64
	g := newTCPGroup(b, 3, func(cfg *Config) {
		cfg.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			conn, err := dialTCP(ctx, address)
			return countedConn{conn, &bytes}, err
		}
	})
	g.leader()
	time.Sleep(time.Second)
	sent, cpu := bytes.Load(), cpuTime(b)
	b.ResetTimer()
	for range b.N {
		time.Sleep(time.Second)
	}
	seconds := b.Elapsed().Seconds() * float64(len(g.members))
	b.ReportMetric(float64(bytes.Load()-sent)/seconds, "payload-bytes/s/member")
	b.ReportMetric(100*(cpuTime(b)-cpu).Seconds()/seconds, "%core/member")
}

// BenchmarkGroupRestart reports the time from restarting all members to the first committed command.
func BenchmarkGroupRestart(b *testing.B) {
	g := newTCPGroup(b, 3)
	for range b.N {
		b.StopTimer()
		g.leader()
		for i := range g.procs {
			g.kill(i)
		}
		b.StartTimer()
		for i := range g.procs {
			g.start(i)
		}
		if _, err := g.procs[g.leader()].Propose(context.Background(), []byte("x")); err != nil {
			b.Fatal(err)
		}
	}
}
