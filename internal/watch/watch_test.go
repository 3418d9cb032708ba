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

// network joins watchers and members by pipes, and can cut or silence them.
type network struct {
	cluster *controltest.Cluster

	mu     sync.Mutex
	listen map[string]chan net.Conn
	conns  map[string][]*pipe
	down   map[string]bool

	agentsDown bool // agents reach no member
}

// pipe is one end of a connection that can go silent in both directions.
type pipe struct {
	net.Conn
	mu     sync.Mutex
	silent chan struct{}
}

func (p *pipe) gate() chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.silent
}

func (p *pipe) Write(b []byte) (int, error) {
	select {
	case <-p.gate():
		return len(b), nil // lost on the way
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
	near, far := &pipe{Conn: a, silent: make(chan struct{})}, &pipe{Conn: b, silent: make(chan struct{})}
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

// dialAgent is dial for agents.
func (n *network) dialAgent(ctx context.Context, address string) (net.Conn, error) {
	n.mu.Lock()
	down := n.agentsDown
	n.mu.Unlock()
	if down {
		return nil, errors.NotFoundf("way to member %q", address)
	}
	return n.dial(ctx, address)
}

func (n *network) setAgentsDown(down bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.agentsDown = down
}

// silence lets all open connections to a member lose everything; new ones work.
func (n *network) silence(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, p := range n.conns[address] {
		close(p.gate())
	}
	n.conns[address] = nil
}

// hang lets new connections to a member hang.
func (n *network) hang(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listen[address] = make(chan net.Conn)
}

// setDown refuses new connections to a member and closes those that are open.
func (n *network) setDown(address string, down bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.down[address] = down
	for _, p := range n.conns[address] {
		_ = p.Close()
	}
	n.conns[address] = nil
}

// world is a control group with its services, in virtual time.
type world struct {
	*network
	t         *testing.T
	ctx       context.Context
	services  []*control.Service
	addresses []string
	stops     []context.CancelFunc
	group     func(*controltest.Member) control.Group // nil: the member itself
}

// inWorld runs f with a group of n members; at its end everything stops and nothing may be left running.
func inWorld(t *testing.T, n int, f func(w *world)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		w := &world{t: t, ctx: ctx, network: &network{
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

// start runs the service of member i, in place of one that ran before.
func (w *world) start(i int, incarnation string) {
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
	s := control.New(control.Config{Group: group, Settings: m.Settings, Peers: func() []string { return peers }, Dial: w.dial, Incarnation: incarnation})
	w.services[i] = s
	l := &listener{address: w.addresses[i], conns: make(chan net.Conn), done: make(chan struct{})}
	w.mu.Lock()
	w.listen[l.address] = l.conns
	w.mu.Unlock()
	go func() { _ = s.Run(ctx) }()
	go func() { _ = s.Serve(ctx, l) }()
}

func (w *world) watcher(id string, addresses ...string) *watch.Client {
	if len(addresses) == 0 {
		addresses = w.addresses
	}
	c := watch.New(watch.Config{ProcessID: id, Incarnation: "1", Role: "entry", Control: addresses, Dial: w.dial})
	go func() { _ = c.Run(w.ctx) }()
	return c
}

// delayedGroup takes longer to confirm.
type delayedGroup struct {
	*controltest.Member
	delay time.Duration
	asked chan struct{} // gets a value when the quorum has answered, before the delay
}

func (g delayedGroup) ReadIndex(ctx context.Context) (uint64, error) {
	index, err := g.Member.ReadIndex(ctx)
	select {
	case g.asked <- struct{}{}:
	default:
	}
	select {
	case <-time.After(g.delay):
	case <-ctx.Done():
		return 0, ctx.Err()
	}
	return index, err
}

// delayConfirm restarts the service of member i with slow quorum rounds. The channel gets a value when the quorum has
// answered, before the delay.
func (w *world) delayConfirm(i int, delay time.Duration) <-chan struct{} {
	asked := make(chan struct{})
	w.group = func(m *controltest.Member) control.Group { return delayedGroup{Member: m, delay: delay, asked: asked} }
	w.start(i, "slow")
	return asked
}

// home returns the member that a client watches, once one has confirmed.
func (w *world) home(c *watch.Client) int {
	for range 100 {
		if i := slices.Index(w.addresses, c.Member()); i >= 0 {
			return i
		}
		time.Sleep(10 * time.Millisecond)
	}
	w.t.Fatal("nobody is watched")
	return 0
}

// loseFirstAnswer lets the leader commit without an answer for a moment.
func (w *world) loseFirstAnswer() {
	w.cluster.LoseAnswers(0, true)
	time.AfterFunc(10*time.Millisecond, func() { w.cluster.LoseAnswers(0, false) })
}

func (w *world) propose(body settings.Command) settings.Outcome {
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

func TestWatcherLearnsChangesAndIsFresh(t *testing.T) {
	inWorld(t, 3, func(w *world) {
		c := w.watcher("entry-1")
		synctest.Wait()
		if !c.Ready() || !c.Fresh(time.Now()) {
			t.Fatal("watcher is not ready")
		}
		changed := c.Changed()
		if outcome := w.propose(putShop); !outcome.Accepted {
			t.Fatalf("refused: %+v", outcome)
		}
		synctest.Wait()
		select {
		case <-changed:
		default:
			t.Error("no news of the change")
		}
		if _, err := c.Tree().Class("shop", "chat"); err != nil {
			t.Error(err)
		}
	})
}

func TestHalfOpenConnectionDoesNotHoldTheWatcher(t *testing.T) {
	inWorld(t, 3, func(w *world) {
		c := w.watcher("entry-1")
		synctest.Wait()
		for _, address := range w.addresses {
			w.silence(address)
		}
		w.propose(putShop)
		time.Sleep(2200 * time.Millisecond) // silence limit, its resolution and the pause before the next member
		if _, err := c.Tree().Class("shop", "chat"); err != nil {
			t.Errorf("held by a connection that went silent: %v", err)
		}
		if !c.Fresh(time.Now()) {
			t.Error("not fresh after moving to a new connection")
		}
	})
}
