// Package controltest provides a control group within one process, for tests of code that uses the replicated log.
package controltest

import (
	"context"
	"fmt"
	"sync"

	"github.com/guavastack/guavastack/internal/control"
	"github.com/guavastack/guavastack/internal/core/claim"
	"github.com/guavastack/guavastack/internal/core/poison"
	"github.com/guavastack/guavastack/internal/core/settings"
	"github.com/guavastack/guavastack/internal/core/state"
	"github.com/guavastack/guavastack/internal/core/zonedrain"
	"github.com/juju/errors"
)

// Cluster is a group of members that share one in-memory log.
type Cluster struct {
	Members []*Member

	mu     sync.Mutex
	log    [][]byte
	leader *Member // nil: no leader
}

// Member is one member of a Cluster. It implements control.Group.
type Member struct {
	Settings *settings.Module
	Claims   *claim.Module
	Poison   *poison.Module
	Drains   *zonedrain.Module

	cluster     *Cluster
	self        control.Member
	machine     *state.Machine
	applied     int
	paused      bool // applies no commands
	isolated    bool // cannot reach a quorum
	dropReplies bool // commits commands, but returns no outcome
	events      map[chan struct{}]bool
}

// New returns a group of n members. The first one is the leader.
func New(n int) *Cluster {
	c := &Cluster{}
	for i := range n {
		m := &Member{
			Settings: settings.NewModule(), Claims: claim.NewModule(claim.DefaultBounds()), Poison: poison.NewModule(), Drains: zonedrain.NewModule(), cluster: c,
			self:   control.Member{ID: fmt.Sprintf("control-%d", i+1), Address: fmt.Sprintf("control-%d", i+1)},
			events: make(map[chan struct{}]bool),
		}
		m.machine, _ = state.New(m.Settings, m.Claims, m.Poison, m.Drains)
		c.Members = append(c.Members, m)
	}
	c.leader = c.Members[0]
	return c
}

// SetLeader makes member i the leader; with -1 there is no leader.
func (c *Cluster) SetLeader(i int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leader = nil
	if i >= 0 {
		c.leader = c.Members[i]
	}
}

// SetPaused stops member i from applying commands, or lets it continue.
func (c *Cluster) SetPaused(i int, paused bool) { c.set(func() { c.Members[i].paused = paused }) }

// Isolate partitions member i from the others, or reconnects it. An isolated member applies no commands and confirms no reads.
func (c *Cluster) Isolate(i int, isolated bool) {
	c.set(func() { c.Members[i].isolated, c.Members[i].paused = isolated, isolated })
}

// DropReplies makes proposals at member i time out although the commands are committed.
func (c *Cluster) DropReplies(i int, drop bool) { c.set(func() { c.Members[i].dropReplies = drop }) }

func (c *Cluster) set(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f()
	c.catchUp()
}

// catchUp applies the log at every member that is not paused. It must be called with mu locked.
func (c *Cluster) catchUp() {
	for _, m := range c.Members {
		changed := false
		for !m.paused && m.applied < len(c.log) {
			m.applied++
			changed = true
			_, _ = m.machine.Apply(uint64(m.applied), c.log[m.applied-1])
		}
		if changed {
			m.wake()
		}
	}
}

func (m *Member) wake() {
	for ch := range m.events {
		select {
		case ch <- struct{}{}:
		default:
		}
	}
}

// Propose implements control.Group.
func (m *Member) Propose(ctx context.Context, data []byte) (control.Outcome, error) {
	c := m.cluster
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader == nil {
		return control.Outcome{}, &control.NotLeaderError{}
	}
	if c.leader != m {
		return control.Outcome{}, &control.NotLeaderError{Leader: c.leader.self}
	}
	c.log = append(c.log, data)
	m.applied++
	result, err := m.machine.Apply(uint64(m.applied), data)
	m.wake()
	c.catchUp()
	if m.dropReplies {
		return control.Outcome{}, errors.Timeoutf("answer")
	}
	return control.Outcome{Index: uint64(m.applied), Result: result}, err
}

// ReadIndex implements control.Group.
func (m *Member) ReadIndex(ctx context.Context) (uint64, error) {
	c := m.cluster
	c.mu.Lock()
	noQuorum := m.isolated || c.leader == nil
	index := uint64(len(c.log))
	c.mu.Unlock()
	if noQuorum {
		<-ctx.Done()
		return 0, ctx.Err()
	}
	return index, nil
}

// WaitApplied implements control.Group.
func (m *Member) WaitApplied(ctx context.Context, index uint64) error {
	events, cancel := m.Applied()
	defer cancel()
	for {
		m.cluster.mu.Lock()
		done := uint64(m.applied) >= index
		m.cluster.mu.Unlock()
		if done {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-events:
		}
	}
}

// View implements control.Group.
func (m *Member) View(f func()) {
	m.cluster.mu.Lock()
	defer m.cluster.mu.Unlock()
	f()
}

// Leader implements control.Group.
func (m *Member) Leader() (control.Member, bool) {
	m.cluster.mu.Lock()
	defer m.cluster.mu.Unlock()
	if m.cluster.leader == nil {
		return control.Member{}, false
	}
	return m.cluster.leader.self, true
}

// Self implements control.Group.
func (m *Member) Self() control.Member { return m.self }

// Applied implements control.Group.
func (m *Member) Applied() (<-chan struct{}, func()) {
	m.cluster.mu.Lock()
	defer m.cluster.mu.Unlock()
	ch := make(chan struct{}, 1)
	m.events[ch] = true
	return ch, func() {
		m.cluster.mu.Lock()
		defer m.cluster.mu.Unlock()
		delete(m.events, ch)
	}
}
