package raft

// Kind is the kind of a Message. Its values are part of the wire format.
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
	Epoch           uint64 // epoch of the group, which a restore from a backup raises; 0: not known yet
	From, To        uint64
	FromIncarnation uint64
	ToIncarnation   uint64 // expected incarnation of the receiver; 0: any
	Term            uint64
	LogTerm         uint64 // term of Index
	Index           uint64 // entry before Entries, last entry of a candidate, or acknowledged entry
	Commit          uint64
	Reject          bool
	Hint            uint64 // in a rejecting AppendReply: last index at which the logs may match
	Context         uint64 // heartbeat round or read ID
	Transfer        bool   // the election is part of a leadership transfer
	Entries         []Entry
	Snapshot        *Snapshot
}

// EntryKind is the kind of an Entry. Its values are part of the storage format.
type EntryKind uint32

// Kinds of entries.
const (
	EntryNoop EntryKind = iota
	EntryCommand
	EntryConfiguration
)

// Entry is one entry of the log.
type Entry struct {
	Term  uint64
	Index uint64
	Kind  EntryKind
	Data  []byte
}

// HardState is the state besides the log that must survive a restart.
type HardState struct {
	Term uint64
	Vote uint64
}

// Snapshot is the state as of the entry at Index; it replaces the log up to that entry.
type Snapshot struct {
	Index         uint64
	Term          uint64
	Configuration Configuration
	Data          []byte
}
