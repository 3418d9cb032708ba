package replica

import (
	"cmp"
	"context"
	"encoding/json"
	"log/slog"
	"net"
	"time"

	"github.com/juju/errors"

	"github.com/guavastack/guavastack/internal/wal"
)

// Defaults of Config.
const (
	DefaultHeartbeatInterval = 100 * time.Millisecond
	DefaultLeaseDuration     = 500 * time.Millisecond
	DefaultElectionTimeout   = 600 * time.Millisecond
	DefaultMaxClockDrift     = 20 * time.Millisecond
	DefaultPeerTimeout       = time.Second
	DefaultCompactEntries    = 8192
	DefaultCompactBytes      = 16 << 20
	DefaultMinFreeBytes      = 128 << 20
)

const (
	snapshotPartBytes = 512 << 10
	maxSnapshotBytes  = 1 << 30
	retainedEntries   = 1024 // entries kept in memory behind a snapshot, for members that lag a little
	inboxSize         = 1024 // messages from other members
	proposalQueueSize = 4096
	linkQueueSize     = 512 // messages to one member
	maxBatch          = 1024
	diskCheckInterval = time.Second
	diskRetryInterval = 200 * time.Millisecond // between tries to write to a full disk
	dialTimeout       = time.Second
)

// StateMachine takes the committed commands in order. Its methods are never called concurrently.
type StateMachine interface {
	Apply(index uint64, data []byte) (json.RawMessage, error)
	Snapshot() ([]byte, error)
	Restore([]byte) error
}

// Member is one replica of the group.
type Member struct {
	ID      uint64
	Address string
}

// Config describes one replica. Zero durations and sizes take their defaults.
type Config struct {
	GroupID uint64
	ID      uint64
	// Members are the members of a new group, this one included, and the addresses of the known members later on.
	Members []Member
	// Join keeps a blank member from founding a group: it waits until a leader adds it.
	Join    bool
	Address string // of this member, told to members that don't know the group yet
	DataDir string

	HeartbeatInterval time.Duration
	ElectionTimeout   time.Duration // shortest; the actual one is up to twice as long
	LeaseDuration     time.Duration
	MaxClockDrift     time.Duration // most that two clocks diverge within one lease
	PeerTimeout       time.Duration // silence of a connection after which a new one replaces it

	CompactEntries uint64 // applied entries after which a snapshot is taken
	CompactBytes   int64  // size of the log file after which a snapshot is taken
	MinFreeBytes   uint64 // free disk space below which the leader refuses proposals

	Logger *slog.Logger
	Dial   func(ctx context.Context, address string) (net.Conn, error)
	FS     wal.FS // wal.OS unless a test replaces it
}

// withDefaults returns a copy with every field set.
func (c Config) withDefaults() Config {
	c.HeartbeatInterval = cmp.Or(c.HeartbeatInterval, DefaultHeartbeatInterval)
	c.ElectionTimeout = cmp.Or(c.ElectionTimeout, DefaultElectionTimeout)
	c.LeaseDuration = cmp.Or(c.LeaseDuration, DefaultLeaseDuration)
	c.MaxClockDrift = cmp.Or(c.MaxClockDrift, DefaultMaxClockDrift)
	c.PeerTimeout = cmp.Or(c.PeerTimeout, DefaultPeerTimeout)
	c.CompactEntries = cmp.Or(c.CompactEntries, DefaultCompactEntries)
	c.CompactBytes = cmp.Or(c.CompactBytes, DefaultCompactBytes)
	c.MinFreeBytes = cmp.Or(c.MinFreeBytes, DefaultMinFreeBytes)
	if c.Logger == nil {
		c.Logger = slog.New(slog.DiscardHandler)
	}
	if c.Dial == nil {
		c.Dial = dialTCP
	}
	if c.FS == nil {
		c.FS = wal.OS{}
	}
	return c
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	return d.DialContext(ctx, "tcp", address)
}

// validate checks what raft.Config does not.
func (c Config) validate() error {
	if c.DataDir == "" {
		return errors.NotValidf("empty data folder")
	}
	seen := make(map[uint64]bool)
	for _, m := range c.Members {
		if seen[m.ID] {
			return errors.NotValidf("member %d listed twice", m.ID)
		}
		seen[m.ID] = true
	}
	if !seen[c.ID] && !c.Join {
		return errors.NotValidf("member list without member %d itself", c.ID)
	}
	return nil
}
