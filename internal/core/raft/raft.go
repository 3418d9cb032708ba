// Package raft decides for one member of a replicated log. It does no input or output: it takes messages and the
// time, and returns messages to send, entries to sync and entries to apply, in that order of duty.
//
// It follows Ongaro's dissertation with pre-vote, check-quorum, leader stickiness, learners, membership changes of
// one member at a time, read index and a leader lease.
package raft

import (
	"time"

	"github.com/juju/errors"
)

// Role is what a member currently does.
type Role uint8

// Roles of a member.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the role in lower case.
func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

// MarshalText returns the form of String, for JSON.
func (r Role) MarshalText() ([]byte, error) { return []byte(r.String()), nil }

const (
	// ErrNotLeader answers a proposal at a member that does not lead.
	ErrNotLeader = errors.ConstError("not the leader")
	// ErrChangePending answers a membership change while another is not committed.
	ErrChangePending = errors.ConstError("a membership change is in progress")
	// ErrNotReady answers a membership change before the leader committed an entry of its term.
	ErrNotReady = errors.ConstError("the leader has not committed an entry of its term yet")
	// ErrNotCaughtUp answers the promotion of a learner that lacks entries.
	ErrNotCaughtUp = errors.ConstError("the learner has not caught up")
	// ErrHandingOver answers a proposal while the leader hands over.
	ErrHandingOver = errors.ConstError("leadership is being handed over")
)

const (
	maxAppendBytes  = 1 << 20 // entries in one message
	maxInflight     = 4096    // entries sent and not acknowledged, per member
	maxPromotionLag = 64      // entries that a learner may lack when it becomes a voter
	unlimited       = int(^uint(0) >> 1)
)

// Config is fixed for the life of a Node.
type Config struct {
	Group       uint64
	ID          uint64
	Incarnation uint64 // names the disk, never zero

	HeartbeatInterval time.Duration
	ElectionTimeout   time.Duration // shortest; the actual one is up to twice as long
	LeaseDuration     time.Duration // at most ElectionTimeout
	MaxClockDrift     time.Duration // most that two clocks diverge within one lease

	// Founders are the members of a new group. A blank member with the lowest id founds it once all are reachable
	// and blank.
	Founders []Member
	// Epoch is the epoch of the group if this member founds it.
	Epoch uint64
	// Rand returns random numbers for election timeouts and ids of reads.
	Rand func() uint64
}

// Validate names the first field that is out of range.
func (c Config) Validate() error {
	switch {
	case c.ID == 0:
		return errors.NotValidf("member id 0")
	case c.Incarnation == 0:
		return errors.NotValidf("incarnation 0")
	case c.HeartbeatInterval <= 0:
		return errors.NotValidf("heartbeat interval %v", c.HeartbeatInterval)
	case c.LeaseDuration <= c.HeartbeatInterval:
		return errors.NotValidf("lease duration %v, not longer than the heartbeat interval %v,", c.LeaseDuration, c.HeartbeatInterval)
	case c.ElectionTimeout < c.LeaseDuration:
		return errors.NotValidf("election timeout %v, shorter than the lease duration %v,", c.ElectionTimeout, c.LeaseDuration)
	case c.MaxClockDrift < 0 || c.MaxClockDrift >= c.LeaseDuration:
		return errors.NotValidf("clock drift %v for a lease duration of %v", c.MaxClockDrift, c.LeaseDuration)
	case c.Rand == nil:
		return errors.NotValidf("missing source of random numbers")
	}
	return nil
}

// State is what a member finds on its disk.
type State struct {
	HardState HardState
	Snapshot  *Snapshot // without Data
	Entries   []Entry   // after the snapshot
	// Restarted is true unless the disk was created just now: an earlier process may have heard a leader.
	Restarted bool
}

// Read is the answer to a read request.
type Read struct {
	ID    uint64
	Index uint64 // state as of this entry answers the read
}

// Output is what the caller must do, in the order of the fields.
type Output struct {
	Send       []Message  // may leave at once
	HardState  *HardState // to sync
	Snapshot   *Snapshot  // to store; replaces the log and the state machine
	Entries    []Entry    // to append and sync; the first replaces everything from its index on
	SendSynced []Message  // may leave only after the sync
	Apply      []Entry    // to apply after the sync
	Reads      []Read     // to answer once the index is applied
}

// Node is one member. Its methods must not be called concurrently.
type Node struct {
	cfg Config
	log *memoryLog

	term, vote uint64
	role       Role
	leader     uint64 // 0: unknown

	commit  uint64
	handed  uint64 // last entry in an Output
	stable  uint64 // last synced entry
	applied uint64

	voteHold         time.Time // no vote before, unless a leader hands over
	startingUntil    time.Time // after a restart, until a leader is heard, a vote is given or a lease and an election are over
	electionDeadline time.Time
	helloAt          time.Time
	blankPeers       map[uint64]uint64    // founders that answered as blank, with their incarnations
	votes            map[uint64]bool      // answers to the running election
	peers            map[uint64]*progress // leader: the other members
	rounds           rounds               // leader: heartbeats of this term
	transfer         *transfer            // leader: hand-over under way
	reads            []pendingRead        // leader: waiting for a quorum round
	observed         map[uint64]uint64    // incarnations that sent the latest messages, for Status
	out              Output
	hardStateDirty   bool
	nextHeartbeat    time.Time
	leaderSince      time.Time
}

// New returns a member in the role of a follower.
func New(cfg Config, state State, now time.Time) (*Node, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	n := &Node{
		cfg: cfg, log: newMemoryLog(state.Snapshot),
		term: state.HardState.Term, vote: state.HardState.Vote,
		blankPeers: make(map[uint64]uint64),
		observed:   make(map[uint64]uint64),
	}
	for _, e := range state.Entries {
		if err := n.log.append(e); err != nil {
			return nil, errors.Trace(err)
		}
	}
	n.stable, n.handed = n.log.last(), n.log.last()
	n.commit, n.applied = n.log.baseIndex, n.log.baseIndex
	n.term = max(n.term, n.log.lastTerm())
	if state.Restarted {
		n.voteHold = now.Add(cfg.LeaseDuration)
		n.startingUntil = n.voteHold.Add(cfg.ElectionTimeout)
	}
	n.resetElectionDeadline(now)
	return n, nil
}

// isBlank reports whether the member knows nothing of any group.
func (n *Node) isBlank() bool { return n.log.last() == 0 }

// conf returns the membership in effect.
func (n *Node) conf() Configuration { return n.log.configuration().conf }

// Deadline returns when Tick must be called next.
func (n *Node) Deadline() time.Time {
	switch {
	case n.role == Leader:
		return n.nextHeartbeat
	case n.isFounder():
		return n.helloAt
	case n.isSoleVoter():
		return n.voteHold
	default:
		return n.electionDeadline
	}
}

// Tick does what is due at now.
func (n *Node) Tick(now time.Time) {
	switch {
	case n.role == Leader:
		n.tickLeader(now)
	case n.isFounder():
		n.tickFounder(now)
	case n.isSoleVoter() && !now.Before(n.voteHold):
		n.campaign(now, false)
	case !now.Before(n.electionDeadline):
		n.electionTimeout(now)
	}
}

// Step takes a message from another member.
func (n *Node) Step(now time.Time, m Message) error {
	if !n.isAddressed(m) {
		return nil
	}
	n.observed[m.From] = m.FromIncarnation
	switch {
	case m.Kind == Hello || m.Kind == HelloReply:
		n.stepHello(m)
		return nil
	case m.Kind == Vote && !m.Transfer && now.Before(n.voteHold):
		return nil // a leader may hold a lease that this member granted
	case m.Term > n.term:
		n.stepHigherTerm(now, m)
	case m.Term < n.term:
		n.stepLowerTerm(m)
		return nil
	}
	return n.stepSameTerm(now, m)
}

// isAddressed reports whether m is for this group, life of the group, member and disk.
func (n *Node) isAddressed(m Message) bool {
	epoch := n.conf().Epoch
	if m.Group != n.cfg.Group || m.To != n.cfg.ID || m.From == n.cfg.ID {
		return false
	}
	if m.Epoch != 0 && epoch != 0 && m.Epoch != epoch {
		return false
	}
	return m.ToIncarnation == 0 || m.ToIncarnation == n.cfg.Incarnation
}

func (n *Node) stepHigherTerm(now time.Time, m Message) {
	switch {
	case m.Kind == PreVote, m.Kind == PreVoteReply && !m.Reject:
		return // asks about a term that nobody may have entered
	case m.isFromLeader():
		n.becomeFollower(now, m.Term, m.From)
	default:
		n.becomeFollower(now, m.Term, 0)
	}
}

// stepLowerTerm tells a stale sender the current term.
func (n *Node) stepLowerTerm(m Message) {
	switch {
	case m.isFromLeader():
		n.replySynced(m, Message{Kind: AppendReply, Index: m.Index, Reject: true, Hint: n.log.last()})
	case m.Kind == PreVote:
		n.replySynced(m, Message{Kind: PreVoteReply, Reject: true})
	}
}

func (n *Node) stepSameTerm(now time.Time, m Message) error {
	if m.isFromLeader() {
		n.heardLeader(now, m.From)
	}
	switch m.Kind {
	case PreVote:
		n.handlePreVote(now, m)
	case PreVoteReply, VoteReply:
		n.handleVoteReply(now, m)
	case Vote:
		n.handleVote(now, m)
	case Append:
		return n.handleAppend(m)
	case AppendReply:
		n.handleAppendReply(now, m)
	case Heartbeat:
		n.handleHeartbeat(m)
	case HeartbeatReply:
		n.handleHeartbeatReply(now, m)
	case InstallSnapshot:
		n.handleSnapshot(m)
	case ReadRequest:
		n.handleReadRequest(m)
	case ReadReply:
		n.out.Reads = append(n.out.Reads, Read{ID: m.Context, Index: m.Index})
	case TimeoutNow:
		n.handleTimeoutNow(now)
	}
	return nil
}

// isFromLeader reports whether only a leader sends messages of this kind.
func (m Message) isFromLeader() bool {
	return m.Kind == Append || m.Kind == Heartbeat || m.Kind == InstallSnapshot
}

// Output returns what is to be done since the last call. The caller must call Synced once it has synced.
func (n *Node) Output(now time.Time) Output {
	if n.role == Leader {
		n.startReadRound(now)
		n.broadcastAppend(now)
	}
	if n.hardStateDirty {
		n.out.HardState = &HardState{Term: n.term, Vote: n.vote}
		n.hardStateDirty = false
		// Nothing leaves in a term that a restart could forget.
		n.out.SendSynced = append(n.out.Send, n.out.SendSynced...)
		n.out.Send = nil
	}
	n.out.Entries = n.log.slice(n.handed+1, n.log.last(), unlimited)
	n.handed = n.log.last()
	if limit := min(n.commit, n.handed); limit > n.applied {
		n.out.Apply = n.log.slice(n.applied+1, limit, unlimited)
		n.applied = limit
	}
	out := n.out
	n.out = Output{}
	return out
}

// Synced tells that everything in the last Output is on disk.
func (n *Node) Synced() {
	n.stable = n.handed
	if n.role == Leader {
		n.advanceCommit()
	}
}

// send queues m; only messages that promise nothing about this disk may leave before a sync.
func (n *Node) send(m Message) { n.out.Send = append(n.out.Send, n.address(m)) }

func (n *Node) sendSynced(m Message) { n.out.SendSynced = append(n.out.SendSynced, n.address(m)) }

// replySynced answers m.
func (n *Node) replySynced(m, reply Message) {
	reply.To, reply.ToIncarnation = m.From, m.FromIncarnation
	n.sendSynced(reply)
}

func (n *Node) address(m Message) Message {
	m.Group, m.From, m.FromIncarnation, m.Epoch = n.cfg.Group, n.cfg.ID, n.cfg.Incarnation, n.conf().Epoch
	if m.Term == 0 {
		m.Term = n.term
	}
	if m.ToIncarnation == 0 && m.Kind != Hello {
		peer, _ := n.conf().Member(m.To)
		m.ToIncarnation = peer.Incarnation
	}
	return m
}
