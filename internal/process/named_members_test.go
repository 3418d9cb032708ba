package process

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"testing"

	"github.com/juju/errors"

	"github.com/guavastack/guavastack/internal/core/roster"
	"github.com/guavastack/guavastack/internal/telemetry"
	"github.com/guavastack/guavastack/internal/watch"
)

// partition dials until the test cuts off all addresses but one.
type partition struct {
	mu    sync.Mutex
	only  string // "": no address is cut off
	conns map[net.Conn]string
}

func (p *partition) dial(ctx context.Context, address string) (net.Conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.only != "" && address != p.only {
		return nil, errors.Timeoutf("connection to %s", address)
	}
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", address)
	if err == nil {
		p.conns[conn] = address
	}
	return conn, err
}

func (p *partition) cutOffAllBut(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.only = address
	for conn, other := range p.conns {
		if other != address {
			_ = conn.Close()
		}
	}
}

// Guards against an empty member that hears of the group only from a gateway or relay, and announces itself to nobody (issue 40).
func TestEmptyMemberLearnsGroupFromWatcher(t *testing.T) {
	const empty = 9
	d := newDiscoveryGroup(t)
	members := d.startSuccessors(6)
	network := &partition{conns: make(map[net.Conn]string)}
	client := watch.New(watch.Config{ProcessID: "gateway", Control: []string{d.address(4), d.address(empty)}, Dial: network.dial})
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { _ = client.Run(ctx) })
	defer running.Wait()
	defer cancel()
	d.waitUntil("the watcher follows the group", client.Ready)

	members[empty] = d.start(empty, false)
	network.cutOffAllBut(d.address(empty))
	d.waitForVote(members[empty])
}

// Guards against a peer that names control members without bound, of another group or at addresses that are not allowed, and
// thereby makes a member announce itself there (issue 40).
func TestNamedMembersAreChecked(t *testing.T) {
	d := newDiscoveryGroup(t)
	m := d.start(9, false).membership
	var many []string
	for i := range 1000 {
		many = append(many, d.address(10+i%200))
	}
	most := many[:roster.MaxNamedAddresses]
	cases := []struct {
		name    string
		group   uint64
		named   []string
		refused string // reason; "": not refused
		ends    bool
		want    []string
	}{
		{name: "thousands", group: 1, named: many, refused: refusedTooMany, ends: true},
		{name: "another group", group: 2, named: many[:1], refused: refusedGroup},
		{name: "not among allowed_peers", group: 1, named: []string{fmt.Sprint("10.0.0.1:", d.port)}, refused: refusedAddress},
		{name: "another port", group: 1, named: []string{d.ip(10) + ":1"}, refused: refusedAddress},
		{name: "no address", group: 1, named: []string{"member"}, refused: refusedAddress},
		{name: "none", group: 1},
		{name: "its own address", group: 1, named: []string{d.address(9)}},
		{name: "older build", named: many[:1], want: many[:1]},
		{name: "the most that are taken", group: 1, named: most, want: most},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			counter := m.base.Metrics.Counter(metricRefusedMembers, telemetry.Label{Name: "reason", Value: c.refused})
			counted := counter.Count()
			if err := m.membersNamed(c.group, c.named); (err != nil) != c.ends {
				t.Errorf("got error %v, want one that ends the watch: %v", err, c.ends)
			}
			if n := counter.Count() - counted; c.refused != "" && n != 1 {
				t.Errorf("got %d refusals counted with the reason %q, want 1", n, c.refused)
			}
			learned := m.otherAddresses(m.replica.Status())
			learned = slices.DeleteFunc(learned, func(a string) bool { return slices.Contains(m.seeds, a) })
			slices.Sort(learned)
			want := slices.Sorted(slices.Values(c.want))
			if !slices.Equal(learned, want) {
				t.Errorf("got learned addresses %q, want %q", learned, want)
			}
		})
	}
}
