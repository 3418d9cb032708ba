// Package replica runs one member of a replicated log: it feeds internal/core/raft with messages, time and proposals,
// syncs the write-ahead log, sends messages to the other members and applies committed commands to a state machine.
package replica

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"encoding/json"
	"path/filepath"
	"sync"
	"time"

	"github.com/gofrs/flock"
	"github.com/juju/errors"

	"github.com/guavastack/guavastack/internal/clock"
	"github.com/guavastack/guavastack/internal/core/raft"
	"github.com/guavastack/guavastack/internal/wal"
	"github.com/guavastack/guavastack/proto/peerpb"
)

const lockFile = "LOCK"

// Outcome is the log index and the result of a committed command.
type Outcome struct {
	Index  uint64
	Result json.RawMessage
}

// Applied is a command that the state machine has applied.
type Applied struct {
	Index  uint64
	Data   []byte
	Result json.RawMessage
}

// Lease is the time during which no other member can become leader.
type Lease = raft.Lease

// Status is the state of a replica at one moment.
type Status struct {
	raft.Status
	Epoch       uint64    `json:"epoch"`        // epoch of the group; log positions compare as (epoch, index)
	Incarnation uint64    `json:"incarnation"`  // identifies the data directory
	LeaderSince time.Time `json:"leader_since"` // when role, term or leader last changed
}

// Members returns the ids of the voters.
func (s Status) Members() []uint64 { return s.Configuration.Voters() }

// Learners returns the ids of the members that do not vote.
func (s Status) Learners() []uint64 {
	var ids []uint64
	for _, m := range s.Configuration.Members {
		if m.Learner {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

// Replica is one member of the group. Its methods may be called from any goroutine.
type Replica struct {
	cfg  Config
	lock *flock.Flock

	// Owned by the goroutine of Run.
	node      *raft.Node
	log       *wal.Log
	hardState raft.HardState
	waiters   map[uint64]waiter
	reader    readBatcher
	links     map[uint64]*link
	diskLow   bool
	diskCheck time.Time
	compacted uint64 // applied index at the latest snapshot, or at the latest failed attempt

	inbox     chan raft.Message
	proposals chan *proposal
	reads     chan readCall
	calls     chan func(now time.Time)
	done      chan struct{} // closed when Run has ended
	stop      chan struct{} // closed by Close
	stopOnce  sync.Once
	started   bool
	startMu   sync.Mutex

	state          sync.RWMutex // guards sm and applied
	sm             StateMachine
	applied        uint64
	appliedChanged chan struct{} // closed when applied advances

	subsMu sync.Mutex
	subs   map[*subscriber]struct{}

	viewMu   sync.RWMutex
	status   Status
	lease    Lease
	hasLease bool
	changed  chan struct{} // closed when role, term or leader change

	streams streamTable
	senders senderBook
}

// Open locks and reads the data directory. The replica does nothing until Run is called.
func Open(cfg Config, sm StateMachine) (*Replica, error) {
	cfg = cfg.withDefaults()
	if err := cfg.validate(); err != nil {
		return nil, errors.Trace(err)
	}
	if err := cfg.FS.MkdirAll(cfg.DataDir); err != nil {
		return nil, errors.Annotate(err, "create the data directory")
	}
	lock, err := lockDataDir(cfg)
	if err != nil {
		return nil, err
	}
	r, err := open(cfg, sm)
	if err != nil {
		unlock(lock)
		return nil, err
	}
	r.lock = lock
	return r, nil
}

// lockDataDir locks the data directory against other processes. File systems of tests are not locked.
func lockDataDir(cfg Config) (*flock.Flock, error) {
	if _, ok := cfg.FS.(wal.OS); !ok {
		return nil, nil
	}
	lock := flock.New(filepath.Join(cfg.DataDir, lockFile))
	ok, err := lock.TryLock()
	if err != nil {
		return nil, errors.Annotate(err, "lock the data directory")
	}
	if !ok {
		return nil, errors.Annotatef(ErrLocked, "%q", cfg.DataDir)
	}
	return lock, nil
}

func unlock(lock *flock.Flock) {
	if lock != nil {
		_ = lock.Unlock()
	}
}

func open(cfg Config, sm StateMachine) (*Replica, error) {
	want := wal.Identity{Group: cfg.GroupID, ID: cfg.ID, Incarnation: randomID()}
	id, created, err := wal.LoadIdentity(cfg.FS, cfg.DataDir, want)
	if err != nil {
		return nil, err
	}
	log, state, err := wal.Open(cfg.FS, cfg.DataDir)
	if err != nil {
		return nil, err
	}
	state.Restarted = !created
	now := clock.Now()
	node, err := raft.New(raftConfig(cfg, id, now), state, now)
	if err != nil {
		_ = log.Close()
		return nil, errors.Trace(err)
	}
	r := newReplica(cfg, sm, node, log)
	r.hardState = state.HardState
	r.status.Incarnation = id.Incarnation
	if err := r.restore(state.Snapshot); err != nil {
		_ = log.Close()
		return nil, err
	}
	r.publish()
	return r, nil
}

func raftConfig(cfg Config, id wal.Identity, now time.Time) raft.Config {
	rc := raft.Config{
		Group: cfg.GroupID, ID: cfg.ID, Incarnation: id.Incarnation,
		HeartbeatInterval: cfg.HeartbeatInterval, ElectionTimeout: cfg.ElectionTimeout,
		LeaseDuration: cfg.LeaseDuration, MaxClockDrift: cfg.MaxClockDrift,
		Epoch: uint64(now.Unix()), Rand: randomID,
	}
	if !cfg.Join {
		for _, m := range cfg.Members {
			rc.InitialMembers = append(rc.InitialMembers, raft.Member{ID: m.ID, Address: m.Address})
		}
	}
	return rc
}

func newReplica(cfg Config, sm StateMachine, node *raft.Node, log *wal.Log) *Replica {
	r := &Replica{
		cfg: cfg, node: node, log: log, sm: sm,
		waiters:        make(map[uint64]waiter),
		links:          make(map[uint64]*link),
		inbox:          make(chan raft.Message, inboxSize),
		proposals:      make(chan *proposal, proposalQueueSize),
		reads:          make(chan readCall, proposalQueueSize),
		calls:          make(chan func(time.Time)),
		done:           make(chan struct{}),
		stop:           make(chan struct{}),
		appliedChanged: make(chan struct{}),
		changed:        make(chan struct{}),
		subs:           make(map[*subscriber]struct{}),
	}
	r.reader.nextID = randomID()
	return r
}

// restore replaces the state of the state machine with a snapshot and ends all subscriptions. It does nothing if snap is nil.
func (r *Replica) restore(snap *raft.Snapshot) error {
	if snap == nil {
		return nil
	}
	r.state.Lock()
	defer r.state.Unlock()
	if err := r.sm.Restore(snap.Data); err != nil {
		return errors.Annotatef(err, "restore the snapshot at entry %d", snap.Index)
	}
	r.compacted = snap.Index
	r.setApplied(snap.Index)
	r.dropSubscribers()
	return nil
}

// randomID returns a random number other than 0.
func randomID() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:]) // never fails
	return max(binary.LittleEndian.Uint64(b[:]), 1)
}

// PeerServer returns the RPC service that the other members call.
func (r *Replica) PeerServer() peerpb.DRPCPeerServer { return peerServer{r} }

// Close stops Run, waits until it has returned and releases the data directory.
func (r *Replica) Close() error {
	r.stopOnce.Do(func() { close(r.stop) })
	r.startMu.Lock()
	started := r.started
	r.started = true
	r.startMu.Unlock()
	if started {
		<-r.done
		return nil
	}
	r.release()
	return nil
}

// release closes the log and unlocks the data directory.
func (r *Replica) release() {
	close(r.done)
	_ = r.log.Close()
	unlock(r.lock)
}

// Leader returns the leader known to this member, or false if none is known.
func (r *Replica) Leader() (Member, bool) {
	r.viewMu.RLock()
	defer r.viewMu.RUnlock()
	if r.status.Leader == 0 {
		return Member{}, false
	}
	return r.member(r.status.Leader), true
}

// member returns a member with its address, which is taken from Config.Members, from the replicated configuration, or from the
// member's own messages, in this order.
func (r *Replica) member(id uint64) Member {
	for _, m := range r.cfg.Members {
		if m.ID == id && m.Address != "" {
			return m
		}
	}
	m, ok := r.status.Configuration.Member(id)
	if !ok || m.Address == "" {
		m.Address = r.senders.sender(id).Address
	}
	return Member{ID: id, Address: m.Address}
}

// Status returns the state of this replica.
func (r *Replica) Status() Status {
	r.viewMu.RLock()
	defer r.viewMu.RUnlock()
	return r.status
}

// Changed returns a channel that is closed at the next change of the role, the term or the leader.
func (r *Replica) Changed() <-chan struct{} {
	r.viewMu.RLock()
	defer r.viewMu.RUnlock()
	return r.changed
}

// Lease returns the leader's quorum lease, or false if this member does not lead or is transferring its leadership. The lease may
// have expired: compare Expires with the clock immediately before each use.
func (r *Replica) Lease() (Lease, bool) {
	r.viewMu.RLock()
	defer r.viewMu.RUnlock()
	return r.lease, r.hasLease
}

// publish updates the status and lease that other goroutines read, and logs a change of the role, the term or the leader.
func (r *Replica) publish() {
	st := r.node.Status()
	lease, hasLease := r.node.Lease()
	r.viewMu.Lock()
	defer r.viewMu.Unlock()
	old := r.status.Status
	r.status.Status = st
	r.status.Epoch = st.Configuration.Epoch
	r.lease, r.hasLease = lease, hasLease
	if old.Role == st.Role && old.Term == st.Term && old.Leader == st.Leader {
		return
	}
	r.status.LeaderSince = clock.Now()
	close(r.changed)
	r.changed = make(chan struct{})
	r.cfg.Logger.Info("control group: role, term or leader changed", "group", r.cfg.GroupID, "member", st.ID, "role", st.Role.String(), "term", st.Term, "leader", st.Leader)
}

// View calls fn while no command or snapshot is being applied.
func (r *Replica) View(fn func()) {
	r.state.RLock()
	defer r.state.RUnlock()
	fn()
}

// WaitApplied waits until this member has applied the entry at index.
func (r *Replica) WaitApplied(ctx context.Context, index uint64) error {
	for {
		r.state.RLock()
		applied, changed := r.applied, r.appliedChanged
		r.state.RUnlock()
		if applied >= index {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return errors.Annotatef(ctx.Err(), "entry %d is not applied yet, the last applied is %d", index, applied)
		case <-r.done:
			return ErrClosed
		}
	}
}

// AppliedSignal returns a channel that is closed when this member has applied further entries or a snapshot. Unlike a
// subscription it is not ended by a slow reader.
func (r *Replica) AppliedSignal() <-chan struct{} {
	r.state.RLock()
	defer r.state.RUnlock()
	return r.appliedChanged
}

// setApplied must be called with state locked.
func (r *Replica) setApplied(index uint64) {
	r.applied = index
	close(r.appliedChanged)
	r.appliedChanged = make(chan struct{})
}
