package watch_test

import (
	"context"
	"encoding/json"
	"net"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/guavastack/guavastack/internal/control"
	"github.com/guavastack/guavastack/internal/control/controltest"
	"github.com/guavastack/guavastack/internal/core/settings"
	"github.com/guavastack/guavastack/internal/core/state"
	"github.com/guavastack/guavastack/internal/watch"
	"github.com/juju/errors"
)

// network connects watchers and members by pipes, which it can close or make drop all data.
type network struct {
	cluster *controltest.Cluster

	mu     sync.Mutex
	listen map[string]chan net.Conn
	conns  map[string][]*pipe
	down   map[string]bool

	agentsDown bool // agents cannot open connections
}

// pipe is one end of a connection that can be made to drop all data in both directions.
type pipe struct {
	net.Conn
	mu       sync.Mutex
	dropping chan struct{}
}

func (p *pipe) dropSignal() chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dropping
}

func (p *pipe) Write(b []byte) (int, error) {
	select {
	case <-p.dropSignal():
		return len(b), nil // dropped
	default:
		return p.Conn.Write(b)
	}
}

type listener struct {
	address string
	conns   chan net.Conn
	done    chan struct{}
	once    sync.Once
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}
func (l *listener) Close() error   { l.once.Do(func() { close(l.done) }); return nil }
func (l *listener) Addr() net.Addr { return &net.UnixAddr{Name: l.address} }

func (n *network) dial(ctx context.Context, address string) (net.Conn, error) {
	n.mu.Lock()
	conns, ok := n.listen[address]
	down := n.down[address]
	n.mu.Unlock()
	if !ok || down {
		return nil, errors.NotFoundf("member %q", address)
	}
	a, b := net.Pipe()
	near, far := &pipe{Conn: a, dropping: make(chan struct{})}, &pipe{Conn: b, dropping: make(chan struct{})}
	select {
	case conns <- far:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	n.mu.Lock()
	n.conns[address] = append(n.conns[address], near, far)
	n.mu.Unlock()
	return near, nil
}

// dialAgent is the Dial function of agents.
func (n *network) dialAgent(ctx context.Context, address string) (net.Conn, error) {
	n.mu.Lock()
	down := n.agentsDown
	n.mu.Unlock()
	if down {
		return nil, errors.NotFoundf("route to member %q", address)
	}
	return n.dial(ctx, address)
}

func (n *network) setAgentsDown(down bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.agentsDown = down
}

// dropTraffic makes all open connections to a member drop all data; new ones work.
func (n *network) dropTraffic(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, p := range n.conns[address] {
		close(p.dropSignal())
	}
	n.conns[address] = nil
}

// hang makes new connections to a member hang.
func (n *network) hang(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listen[address] = make(chan net.Conn)
}

// setDown rejects or allows new connections to a member, and closes the open ones.
func (n *network) setDown(address string, down bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.down[address] = down
	for _, p := range n.conns[address] {
		_ = p.Close()
	}
	n.conns[address] = nil
}

// testGroup is a control group with its services, under virtual time.
type testGroup struct {
	*network
	t         *testing.T
	ctx       context.Context
	services  []*control.Service
	addresses []string
	stops     []context.CancelFunc
	group     func(*controltest.Member) control.Group // nil: the member itself
}

// withGroup runs f in a synctest bubble with a group of n members. All goroutines must end when the context is cancelled
// afterwards.
func withGroup(t *testing.T, n int, f func(w *testGroup)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		w := &testGroup{t: t, ctx: ctx, network: &network{
			cluster: controltest.New(n), listen: make(map[string]chan net.Conn),
			conns: make(map[string][]*pipe), down: make(map[string]bool),
		}}
		for _, m := range w.cluster.Members {
			w.addresses = append(w.addresses, m.Self().Address)
		}
		w.services = make([]*control.Service, n)
		w.stops = make([]context.CancelFunc, n)
		for i := range n {
			w.start(i, "1")
		}
		f(w)
		cancel()
		synctest.Wait()
	})
}

// start starts the service of member i, after stopping a running one.
func (w *testGroup) start(i int, incarnation string) {
	if w.stops[i] != nil {
		w.stops[i]()
		w.setDown(w.addresses[i], false)
		synctest.Wait()
	}
	ctx, cancel := context.WithCancel(w.ctx)
	w.stops[i] = cancel
	var peers []string
	for j, address := range w.addresses {
		if j != i {
			peers = append(peers, address)
		}
	}
	m := w.cluster.Members[i]
	var group control.Group = m
	if w.group != nil {
		group = w.group(m)
	}
	s := control.New(control.Config{Group: group, Settings: m.Settings, Poison: m.Poison, ZoneDrains: m.Drains, Peers: func() []string { return peers }, Dial: w.dial, Incarnation: incarnation})
	w.services[i] = s
	l := &listener{address: w.addresses[i], conns: make(chan net.Conn), done: make(chan struct{})}
	w.mu.Lock()
	w.listen[l.address] = l.conns
	w.mu.Unlock()
	go func() { _ = s.Run(ctx) }()
	go func() { _ = s.Serve(ctx, l) }()
}

func (w *testGroup) watcher(id string, addresses ...string) *watch.Client {
	if len(addresses) == 0 {
		addresses = w.addresses
	}
	c := watch.New(watch.Config{ProcessID: id, Incarnation: "1", Role: "entry", Control: addresses, Dial: w.dial})
	go func() { _ = c.Run(w.ctx) }()
	return c
}

// delayedGroup delays the results of ReadIndex.
type delayedGroup struct {
	*controltest.Member
	delay   time.Duration
	replied chan struct{} // receives a value when the quorum has replied, before the delay
}

func (g delayedGroup) ReadIndex(ctx context.Context) (uint64, error) {
	index, err := g.Member.ReadIndex(ctx)
	select {
	case g.replied <- struct{}{}:
	default:
	}
	select {
	case <-time.After(g.delay):
	case <-ctx.Done():
		return 0, ctx.Err()
	}
	return index, err
}

// delayConfirm restarts the service of member i with slow quorum rounds. The channel receives a value when the quorum has
// replied, before the delay.
func (w *testGroup) delayConfirm(i int, delay time.Duration) <-chan struct{} {
	replied := make(chan struct{})
	w.group = func(m *controltest.Member) control.Group {
		return delayedGroup{Member: m, delay: delay, replied: replied}
	}
	w.start(i, "slow")
	return replied
}

// watchedMember waits until a member has confirmed to a client, and returns its position.
func (w *testGroup) watchedMember(c *watch.Client) int {
	for range 100 {
		if i := slices.Index(w.addresses, c.Member()); i >= 0 {
			return i
		}
		time.Sleep(10 * time.Millisecond)
	}
	w.t.Fatal("the client has no confirmed session after 1 s")
	return 0
}

// dropFirstReply drops the leader's replies to proposals for 10 ms.
func (w *testGroup) dropFirstReply() {
	w.cluster.DropReplies(0, true)
	time.AfterFunc(10*time.Millisecond, func() { w.cluster.DropReplies(0, false) })
}

func (w *testGroup) propose(body settings.Command) settings.Outcome {
	w.t.Helper()
	leader := w.cluster.Members[0]
	result, err := leader.Propose(w.ctx, command(w.t, body))
	if err != nil {
		w.t.Fatal(err)
	}
	var outcome settings.Outcome
	if err := json.Unmarshal(result.Result, &outcome); err != nil {
		w.t.Fatal(err)
	}
	return outcome
}

func command(t *testing.T, body settings.Command) []byte {
	t.Helper()
	data, err := json.Marshal(body)
	if err != nil {
		t.Fatal(err)
	}
	cmd, err := json.Marshal(state.Command{Module: settings.ModuleName, Body: data})
	if err != nil {
		t.Fatal(err)
	}
	return cmd
}

var putShop = settings.Command{Op: settings.PutNode, Path: "shop", Node: `{"classes": {"chat": {"tier": 1}}}`}

func TestWatcherReceivesChangesAndIsFresh(t *testing.T) {
	withGroup(t, 3, func(w *testGroup) {
		c := w.watcher("entry-1")
		synctest.Wait()
		if !c.Ready() || !c.Fresh(time.Now()) {
			t.Fatal("the watcher is not ready and fresh")
		}
		changed := c.Changed()
		if outcome := w.propose(putShop); !outcome.Accepted {
			t.Fatalf("got outcome %+v, want the change accepted", outcome)
		}
		synctest.Wait()
		select {
		case <-changed:
		default:
			t.Error("the watcher did not signal the change")
		}
		if _, err := c.Tree().Class("shop", "chat"); err != nil {
			t.Error(err)
		}
	})
}

func TestWatcherLeavesStalledConnection(t *testing.T) {
	withGroup(t, 3, func(w *testGroup) {
		c := w.watcher("entry-1")
		synctest.Wait()
		for _, address := range w.addresses {
			w.dropTraffic(address)
		}
		w.propose(putShop)
		time.Sleep(2200 * time.Millisecond) // member timeout, interval of its checks and backoff before the next member
		if _, err := c.Tree().Class("shop", "chat"); err != nil {
			t.Errorf("the change did not arrive after the connections stalled: %v", err)
		}
		if !c.Fresh(time.Now()) {
			t.Error("not fresh after switching to a new connection")
		}
	})
}
