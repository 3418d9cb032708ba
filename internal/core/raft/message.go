package raft

// Kind is the kind of a Message. The values travel between members.
type Kind uint32

// Kinds of messages.
const (
	PreVote Kind = iota + 1
	PreVoteReply
	Vote
	VoteReply
	Append
	AppendReply
	Heartbeat
	HeartbeatReply
	InstallSnapshot
	ReadRequest
	ReadReply
	TimeoutNow
	Hello
	HelloReply
)

// Message is one message between two members. Fields that a kind does not use are zero.
type Message struct {
	Kind            Kind
	Group           uint64
	Epoch           uint64 // life of the group; 0: not known yet
	From, To        uint64
	FromIncarnation uint64
	ToIncarnation   uint64 // disk of the receiver that is meant; 0: any
	Term            uint64
	LogTerm         uint64 // term of Index
	Index           uint64 // entry before Entries, last entry of a candidate, or acknowledged entry
	Commit          uint64
	Reject          bool
	Hint            uint64 // last index at which the logs may agree, in a rejected AppendReply
	Context         uint64 // heartbeat round or id of a read
	Transfer        bool   // the leader itself asked for this election
	Entries         []Entry
	Snapshot        *Snapshot
}

// EntryKind is the kind of an Entry. The values are stored.
type EntryKind uint32

// Kinds of entries.
const (
	EntryNoop EntryKind = iota
	EntryCommand
	EntryConfiguration
)

// Entry is one position of the log.
type Entry struct {
	Term  uint64
	Index uint64
	Kind  EntryKind
	Data  []byte
}

// HardState is what a member must not forget besides its log.
type HardState struct {
	Term uint64
	Vote uint64
}

// Snapshot replaces the log up to Index.
type Snapshot struct {
	Index         uint64
	Term          uint64
	Configuration Configuration
	Data          []byte
}
