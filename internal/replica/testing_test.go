package replica

import (
	"context"
	"encoding/json"
	"flag"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/juju/errors"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/guavastack/guavastack/internal/wal"
	"github.com/guavastack/guavastack/proto/peerpb"
)

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(m.Run())
}

// list is a state machine that records every command.
type list struct{ commands []string }

func (l *list) Apply(_ uint64, data []byte) (json.RawMessage, error) {
	l.commands = append(l.commands, string(data))
	return json.RawMessage(strconv.Itoa(len(l.commands))), nil
}

func (l *list) Snapshot() ([]byte, error) { return json.Marshal(l.commands) }

func (l *list) Restore(data []byte) error {
	l.commands = nil
	return json.Unmarshal(data, &l.commands)
}

// network connects processes by pipes, each direction of which can be made to drop data.
type network struct {
	mu      sync.Mutex
	servers map[string]peerpb.DRPCPeerServer
	silent  map[string]bool // not used
	down    map[string]bool // addresses without new connections
	pipes   map[string][]*droppingConn
	wg      sync.WaitGroup
}

func newNetwork() *network {
	return &network{
		servers: make(map[string]peerpb.DRPCPeerServer),
		silent:  make(map[string]bool),
		down:    make(map[string]bool),
		pipes:   make(map[string][]*droppingConn),
	}
}

// droppingConn is a connection that can be made to drop everything that is written to it.
type droppingConn struct {
	net.Conn
	mu       sync.Mutex
	dropping bool
}

func (c *droppingConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	dropping := c.dropping
	c.mu.Unlock()
	if dropping {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *droppingConn) startDropping() {
	c.mu.Lock()
	c.dropping = true
	c.mu.Unlock()
}

func (n *network) serve(address string, s peerpb.DRPCPeerServer) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.servers[address] = s
}

// dialer returns the Dial function for the process at address from.
func (n *network) dialer(from string) func(context.Context, string) (net.Conn, error) {
	return func(ctx context.Context, to string) (net.Conn, error) {
		n.mu.Lock()
		defer n.mu.Unlock()
		server := n.servers[to]
		if server == nil || n.down[to] || n.down[from] {
			return nil, errors.NotFoundf("route from %s to %s", from, to)
		}
		here, there := net.Pipe()
		mux := drpcmux.New()
		if err := peerpb.DRPCRegisterPeer(mux, server); err != nil {
			return nil, err
		}
		out, back := &droppingConn{Conn: here}, &droppingConn{Conn: there}
		n.pipes[from+">"+to] = append(n.pipes[from+">"+to], out)
		n.pipes[to+">"+from] = append(n.pipes[to+">"+from], back)
		n.wg.Go(func() { _ = drpcserver.New(mux).ServeOne(context.Background(), back) })
		return out, nil
	}
}

// dropDirection makes all current connections drop the data from one address to another, without an error.
func (n *network) dropDirection(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, p := range n.pipes[from+">"+to] {
		p.startDropping()
	}
}

// partition partitions an address from all others, without an error on current connections.
func (n *network) partition(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.down[address] = true
	for other := range n.servers {
		for _, p := range append(n.pipes[address+">"+other], n.pipes[other+">"+address]...) {
			p.startDropping()
		}
	}
}

func (n *network) heal(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.down, address)
}

// process is a running replica.
type process struct {
	*Replica
	sm   *list
	err  chan error
	ctx  context.Context
	stop context.CancelFunc
}

// kill stops the process without a leadership transfer.
func (p *process) kill() error {
	p.stop()
	return <-p.err
}

func (p *process) commands() []string {
	var got []string
	p.View(func() { got = append(got, p.sm.commands...) })
	return got
}

// cluster is a group of processes on one network.
type cluster struct {
	t       *testing.T
	net     *network
	members []Member
	dir     string
	disks   map[uint64]wal.FS
	procs   map[uint64]*process
	adjust  func(*Config)
}

func newCluster(t *testing.T, size int) *cluster {
	c := &cluster{
		t: t, net: newNetwork(), dir: t.TempDir(),
		disks: make(map[uint64]wal.FS), procs: make(map[uint64]*process),
	}
	for id := range size {
		c.members = append(c.members, member(uint64(id+1)))
	}
	return c
}

func member(id uint64) Member { return Member{ID: id, Address: "m" + strconv.FormatUint(id, 10)} }

func (c *cluster) config(id uint64) Config {
	cfg := Config{
		GroupID: 7, ID: id, Members: c.members, DataDir: filepath.Join(c.dir, member(id).Address),
		Dial: c.net.dialer(member(id).Address), FS: c.disks[id], MinFreeBytes: 1,
	}
	if c.adjust != nil {
		c.adjust(&cfg)
	}
	return cfg
}

// start opens and runs a member.
func (c *cluster) start(id uint64) *process {
	c.t.Helper()
	p := c.open(id)
	c.procs[id] = p
	c.run(p)
	return p
}

// open opens a member without running it.
func (c *cluster) open(id uint64) *process {
	c.t.Helper()
	sm := &list{}
	r, err := Open(c.config(id), sm)
	if err != nil {
		c.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &process{Replica: r, sm: sm, err: make(chan error, 1), ctx: ctx, stop: cancel}
}

func (c *cluster) run(p *process) {
	c.net.serve(member(p.cfg.ID).Address, p.PeerServer())
	go func() { p.err <- p.Run(p.ctx) }()
}

func (c *cluster) startAll() {
	for _, m := range c.members {
		c.start(m.ID)
	}
}

// stop stops all processes, closes the connections and waits for their servers.
func (c *cluster) stop() {
	for _, p := range c.procs {
		p.stop()
		_ = p.Close()
	}
	c.net.mu.Lock()
	var pipes []*droppingConn
	for _, ps := range c.net.pipes {
		pipes = append(pipes, ps...)
	}
	c.net.mu.Unlock()
	for _, p := range pipes {
		_ = p.Close()
	}
	c.net.wg.Wait()
}

// leader waits until one of the given members leads, holds a lease and has committed an entry of its term.
func (c *cluster) leader(among ...uint64) *process {
	c.t.Helper()
	for range 1000 {
		for _, id := range among {
			p := c.procs[id]
			if lease, ok := p.Lease(); ok && time.Now().Before(lease.Expires) && p.Status().HasCommittedInTerm {
				return p
			}
		}
		time.Sleep(10 * time.Millisecond) // virtual time
	}
	c.t.Fatal("no leader with a lease and a committed entry of its term within 10 s")
	return nil
}

// propose commits data through the leader among the given members.
func (c *cluster) propose(data string, among ...uint64) Outcome {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	out, err := c.leader(among...).Propose(ctx, []byte(data))
	if err != nil {
		c.t.Fatal(err)
	}
	return out
}
