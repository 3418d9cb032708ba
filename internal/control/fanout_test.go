package control_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/guavastack/guavastack/internal/control"
	"github.com/guavastack/guavastack/internal/control/controltest"
	"github.com/guavastack/guavastack/internal/core/settings"
	"github.com/guavastack/guavastack/internal/core/state"
	"github.com/guavastack/guavastack/internal/watch"
)

// countingListener counts the bytes that a member sends and receives.
type countingListener struct {
	net.Listener
	sent, received *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{Conn: c, l: l}, nil
}

type countingConn struct {
	net.Conn
	l countingListener
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.l.sent.Add(int64(n))
	return n, err
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.l.received.Add(int64(n))
	return n, err
}

// fanOut is one member with its watchers, connected over loopback TCP within this process.
type fanOut struct {
	member         *controltest.Member
	clients        []*watch.Client
	sent, received atomic.Int64
}

func newFanOut(b *testing.B, watchers int, query time.Duration) *fanOut {
	b.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	b.Cleanup(cancel)
	f := &fanOut{member: controltest.New(1).Members[0]}
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	s := control.New(control.Config{Group: f.member, Settings: f.member.Settings})
	go func() { _ = s.Run(ctx) }()
	go func() { _ = s.Serve(ctx, countingListener{Listener: lis, sent: &f.sent, received: &f.received}) }()
	for i := range watchers {
		c := watch.New(watch.Config{
			ProcessID: fmt.Sprint("entry-", i), Incarnation: "1", Role: "entry", Control: []string{lis.Addr().String()}, QueryInterval: query,
		})
		go func() { _ = c.Run(ctx) }()
		f.clients = append(f.clients, c)
	}
	for _, c := range f.clients {
		for !c.Ready() {
			time.Sleep(time.Millisecond)
		}
	}
	return f
}

func (f *fanOut) change(b *testing.B, i int) settings.Version {
	body, err := json.Marshal(settings.Command{Op: settings.PutNode, Path: fmt.Sprint("org-", i%100), Node: `{"defaults": {"weight": 3}}`})
	if err != nil {
		b.Fatal(err)
	}
	data, err := json.Marshal(state.Command{Module: settings.ModuleName, Body: body, Actor: "bench"})
	if err != nil {
		b.Fatal(err)
	}
	if _, err := f.member.Propose(context.Background(), data); err != nil {
		b.Fatal(err)
	}
	return f.member.Settings.Tree().Version()
}

// cpu returns the processor time used by this process.
func cpu(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkFanOutChange measures one change until it is in force at every watcher. The processor time includes member and
// watchers.
func BenchmarkFanOutChange(b *testing.B) {
	for _, n := range []int{10, 100, 340} {
		b.Run(fmt.Sprint("watchers=", n), func(b *testing.B) {
			f := newFanOut(b, n, time.Hour)
			sent, received, used := f.sent.Load(), f.received.Load(), cpu(b)
			b.ResetTimer()
			for i := range b.N {
				v := f.change(b, i)
				for _, c := range f.clients {
					for {
						changed := c.Changed()
						if !c.Tree().Version().Less(v) {
							break
						}
						<-changed
					}
				}
			}
			per := float64(b.N * n)
			b.ReportMetric(float64(f.sent.Load()-sent)/per, "sentB/watcher")
			b.ReportMetric(float64(f.received.Load()-received)/per, "takenB/watcher")
			b.ReportMetric(float64((cpu(b)-used).Microseconds())/per, "cpu-µs/watcher")
		})
	}
}

// BenchmarkFreshness measures one second of freshness queries, with one query per second from each watcher.
func BenchmarkFreshness(b *testing.B) {
	for _, n := range []int{10, 100, 340} {
		b.Run(fmt.Sprint("watchers=", n), func(b *testing.B) {
			f := newFanOut(b, n, watch.DefaultQueryInterval)
			sent, received, used := f.sent.Load(), f.received.Load(), cpu(b)
			b.ResetTimer()
			for range b.N {
				time.Sleep(time.Second)
			}
			per := float64(b.N * n)
			b.ReportMetric(float64(f.sent.Load()-sent)/per, "sentB/question")
			b.ReportMetric(float64(f.received.Load()-received)/per, "takenB/question")
			b.ReportMetric(float64((cpu(b)-used).Microseconds())/per, "cpu-µs/question")
		})
	}
}
