// Package raft implements the Raft consensus algorithm for one member of a replicated log, without any input or output: the
// caller passes in messages and the time, and gets messages to send, entries to sync and entries to apply, to be handled in the
// order of the fields of Output.
//
// It follows Ongaro's dissertation, with pre-vote, check-quorum, leader stickiness, learners, single-member membership changes,
// read index and a leader lease.
package raft

import (
	"time"

	"github.com/juju/errors"
)

// Role is the role of a member in its current term.
type Role uint8

// Roles of a member.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the name of the role in lower case.
func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

// MarshalText returns the same text as String, for JSON.
func (r Role) MarshalText() ([]byte, error) { return []byte(r.String()), nil }

const (
	// ErrNotLeader is returned for a proposal to a member that does not lead.
	ErrNotLeader = errors.ConstError("not the leader")
	// ErrChangePending is returned for a membership change while another one is not committed yet.
	ErrChangePending = errors.ConstError("a membership change is in progress")
	// ErrNotReady is returned for a membership change before the leader has committed an entry of its term.
	ErrNotReady = errors.ConstError("the leader has not committed an entry of its term yet")
	// ErrNotCaughtUp is returned for the promotion of a learner that lacks entries, and for a transfer to a member that cannot lead.
	ErrNotCaughtUp = errors.ConstError("the member has not caught up or cannot lead")
	// ErrTransferInProgress is returned for a proposal or another transfer during a leadership transfer.
	ErrTransferInProgress = errors.ConstError("a leadership transfer is in progress")
)

const (
	maxAppendBytes  = 1 << 20 // entry data in one message
	maxInflight     = 4096    // unacknowledged entries per member
	maxPromotionLag = 64      // entries that a learner may lack when it becomes a voter
	unlimited       = int(^uint(0) >> 1)
)

// Config is the configuration of a Node. It does not change during the Node's lifetime.
type Config struct {
	Group       uint64
	ID          uint64
	Incarnation uint64 // identifies the data directory; never 0

	HeartbeatInterval time.Duration
	ElectionTimeout   time.Duration // minimum; the randomised timeout is up to twice as long
	LeaseDuration     time.Duration // at most ElectionTimeout
	MaxClockDrift     time.Duration // maximum divergence of two clocks during one lease

	// InitialMembers are the initial members of a new group; empty for a member that joins an existing one. The one with the
	// lowest ID bootstraps the group once all are reachable and have empty logs.
	InitialMembers []Member
	// Epoch is the epoch of the group if this member bootstraps it.
	Epoch uint64
	// Rand returns random numbers for election timeouts.
	Rand func() uint64
}

// Validate returns an error that names the first invalid field.
func (c Config) Validate() error {
	switch {
	case c.ID == 0:
		return errors.NotValidf("member id 0")
	case c.Incarnation == 0:
		return errors.NotValidf("incarnation 0")
	case c.HeartbeatInterval <= 0:
		return errors.NotValidf("heartbeat interval %v", c.HeartbeatInterval)
	case c.LeaseDuration <= c.HeartbeatInterval:
		return errors.NotValidf("lease duration %v with a heartbeat interval of %v", c.LeaseDuration, c.HeartbeatInterval)
	case c.ElectionTimeout < c.LeaseDuration:
		return errors.NotValidf("election timeout %v with a lease duration of %v", c.ElectionTimeout, c.LeaseDuration)
	case c.MaxClockDrift < 0 || c.MaxClockDrift >= c.LeaseDuration:
		return errors.NotValidf("maximum clock drift %v with a lease duration of %v", c.MaxClockDrift, c.LeaseDuration)
	case c.Rand == nil:
		return errors.NotValidf("nil Rand")
	}
	return nil
}

// State is the stored state from which a member starts.
type State struct {
	HardState HardState
	Snapshot  *Snapshot // Data is not used
	Entries   []Entry   // after the snapshot
	// Restarted is true unless the data directory was just created: an earlier process may have granted a leader its lease.
	Restarted bool
}

// Read is the answer to a read request.
type Read struct {
	ID    uint64
	Index uint64 // the read must see the state as of this entry or a later one
}

// Output is the work for the caller, to be done in the order of the fields.
type Output struct {
	Send       []Message  // may be sent at once
	HardState  *HardState // to sync
	Snapshot   *Snapshot  // to store; replaces the log and the state machine
	Entries    []Entry    // to append and sync; the first replaces all stored entries from its index on
	SendSynced []Message  // may be sent only after the sync
	Apply      []Entry    // to apply after the sync
	Reads      []Read     // to answer once their index is applied
}

// Node is one member of the group. Its methods must not be called concurrently.
type Node struct {
	cfg Config
	log *memoryLog

	term, vote uint64
	role       Role
	leader     uint64 // 0: unknown

	commit  uint64
	emitted uint64 // last entry returned in an Output
	stable  uint64 // last synced entry
	applied uint64

	votesRefusedUntil time.Time // no vote is granted before, except for a leadership transfer
	startingUntil     time.Time // one lease and one election timeout after a restart; zero once in contact with a leader or having voted
	electionDeadline  time.Time
	nextHello         time.Time
	blankPeers        map[uint64]uint64    // incarnations of the initial members with an empty log, by member ID
	votes             map[uint64]bool      // replies in the current election
	peers             map[uint64]*progress // leader: the other members
	rounds            rounds               // leader: heartbeat rounds of this term
	transfer          *transfer            // leader: leadership transfer in progress
	reads             []pendingRead        // leader: reads waiting for a confirmed round
	observed          map[uint64]uint64    // incarnation in the latest message, by member ID
	out               Output
	hardStateDirty    bool
	nextHeartbeat     time.Time
	nextCheck         time.Time // when the leader checks its quorum and its transfer next; read rounds do not put it off
	quorumIndex       uint64    // leader: entry of the configuration in effect
	quorumSince       time.Time // leader: its election, or when the latest configuration took effect
}

// New returns a member that starts as a follower.
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
	n.stable, n.emitted = n.log.last(), n.log.last()
	n.commit, n.applied = n.log.baseIndex, n.log.baseIndex
	n.term = max(n.term, n.log.lastTerm())
	if state.Restarted {
		n.votesRefusedUntil = now.Add(cfg.LeaseDuration)
		n.startingUntil = n.votesRefusedUntil.Add(cfg.ElectionTimeout)
	}
	n.resetElectionDeadline(now)
	return n, nil
}

// isBlank reports whether the member has neither entries nor a snapshot.
func (n *Node) isBlank() bool { return n.log.last() == 0 }

// conf returns the configuration in effect.
func (n *Node) conf() Configuration { return n.log.configuration().conf }

// Deadline returns when Tick must be called next.
func (n *Node) Deadline() time.Time {
	switch {
	case n.role == Leader:
		return earlier(n.nextHeartbeat, n.nextCheck)
	case n.canBootstrap():
		return n.nextHello
	case n.isSoleVoter():
		return n.votesRefusedUntil
	default:
		return n.electionDeadline
	}
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// Tick handles the timeouts that have expired at now. It must be called at Deadline.
func (n *Node) Tick(now time.Time) {
	switch {
	case n.role == Leader:
		n.tickLeader(now)
	case n.canBootstrap():
		n.tickBootstrap(now)
	case n.isSoleVoter() && !now.Before(n.votesRefusedUntil):
		n.campaign(now, false)
	case !now.Before(n.electionDeadline):
		n.electionTimeout(now)
	}
}

// Step handles a message from another member. Messages that are not addressed to this member are ignored.
func (n *Node) Step(now time.Time, m Message) error {
	if !n.isAddressed(m) {
		return nil
	}
	n.observed[m.From] = m.FromIncarnation
	switch {
	case m.Kind == Hello || m.Kind == HelloReply:
		n.stepHello(m)
		return nil
	case m.Kind == Vote && !m.Transfer && now.Before(n.votesRefusedUntil):
		return nil // a leader may hold a lease that depends on this member
	case m.Term > n.term:
		n.stepHigherTerm(now, m)
	case m.Term < n.term:
		n.stepLowerTerm(m)
		return nil
	}
	return n.stepSameTerm(now, m)
}

// isAddressed reports whether m is addressed to this group, epoch, member and incarnation.
func (n *Node) isAddressed(m Message) bool {
	if m.Group != n.cfg.Group || m.To != n.cfg.ID || m.From == n.cfg.ID {
		return false
	}
	if !IsSameEpoch(m.Epoch, n.conf().Epoch) {
		return false
	}
	return m.ToIncarnation == 0 || m.ToIncarnation == n.cfg.Incarnation
}

func (n *Node) stepHigherTerm(now time.Time, m Message) {
	switch {
	case m.Kind == PreVote, m.Kind == PreVoteReply && !m.Reject:
		return // no member may have started the term of a pre-vote
	case m.isFromLeader():
		n.becomeFollower(now, m.Term, m.From)
	default:
		n.becomeFollower(now, m.Term, 0)
	}
}

// stepLowerTerm replies to a sender with a stale term, so that it gets the current one.
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
		n.recordLeaderContact(now, m.From)
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

// isFromLeader reports whether messages of this kind are sent by leaders only.
func (m Message) isFromLeader() bool {
	return m.Kind == Append || m.Kind == Heartbeat || m.Kind == InstallSnapshot
}

// Output returns the work that has accumulated since the last call. The caller must call Synced once it has synced the output.
func (n *Node) Output(now time.Time) Output {
	if n.role == Leader {
		n.observeQuorum(now)
		n.startReadRound(now)
		n.broadcastAppend(now)
	}
	if n.hardStateDirty {
		n.out.HardState = &HardState{Term: n.term, Vote: n.vote}
		n.hardStateDirty = false
		// No message of a new term may be sent before the term is durable.
		n.out.SendSynced = append(n.out.Send, n.out.SendSynced...)
		n.out.Send = nil
	}
	n.out.Entries = n.log.slice(n.emitted+1, n.log.last(), unlimited)
	n.emitted = n.log.last()
	if limit := min(n.commit, n.emitted); limit > n.applied {
		n.out.Apply = n.log.slice(n.applied+1, limit, unlimited)
		n.applied = limit
	}
	out := n.out
	n.out = Output{}
	return out
}

// Synced reports that everything in the last Output is durable.
func (n *Node) Synced() {
	n.stable = n.emitted
	if n.role == Leader {
		n.advanceCommit()
	}
}

// send queues m to be sent before the sync. It must not be used for messages that rely on unsynced state.
func (n *Node) send(m Message) { n.out.Send = append(n.out.Send, n.address(m)) }

func (n *Node) sendSynced(m Message) { n.out.SendSynced = append(n.out.SendSynced, n.address(m)) }

// replySynced queues a reply to m, to be sent after the sync.
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
