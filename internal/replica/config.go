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
	retainedEntries   = 1024 // entries kept in memory before a snapshot, so that members slightly behind need no snapshot
	inboxSize         = 1024 // messages from other members
	proposalQueueSize = 4096
	linkQueueSize     = 512  // messages to one member
	maxBatch          = 1024 // queued messages, proposals and reads that are handled together, with one sync
	diskCheckInterval = time.Second
	diskRetryInterval = 200 * time.Millisecond // between attempts to write to a full disk
	dialTimeout       = time.Second
)

// StateMachine applies the committed commands in order. Its methods are never called concurrently.
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

// Config is the configuration of a replica. Zero durations and sizes are replaced by their defaults.
type Config struct {
	GroupID uint64
	ID      uint64
	// Members are the initial members of a new group, including this one. Later they only provide addresses.
	Members []Member
	// Join prevents a blank member from bootstrapping a group: it waits until a leader adds it.
	Join    bool
	Address string // of this member; sent with its messages, for members that don't have the configuration yet
	DataDir string

	HeartbeatInterval time.Duration
	ElectionTimeout   time.Duration // minimum; the randomised timeout is up to twice as long
	LeaseDuration     time.Duration
	MaxClockDrift     time.Duration // maximum divergence of two clocks during one lease
	PeerTimeout       time.Duration // a connection without acknowledgements for this long is replaced

	CompactEntries uint64 // applied entries after which a snapshot is taken
	CompactBytes   int64  // size of the log file after which a snapshot is taken
	MinFreeBytes   uint64 // free disk space below which the leader rejects proposals and transfers its leadership

	Logger *slog.Logger
	Dial   func(ctx context.Context, address string) (net.Conn, error)
	FS     wal.FS // default: wal.OS
}

// withDefaults returns a copy with defaults for the durations, sizes, Logger, Dial and FS.
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

// validate checks the fields that raft.Config.Validate does not cover.
func (c Config) validate() error {
	if c.DataDir == "" {
		return errors.NotValidf("empty data directory")
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
