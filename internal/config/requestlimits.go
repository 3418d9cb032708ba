package config

import (
	"time"

	"github.com/guavastack/guavastack/internal/core/strict"
)

// RequestLimits bound what the clients of all listeners of a process may take. Values of 0 are derived from memory_limit_mb and from the
// process's limit of descriptors, or replaced by defaults.
type RequestLimits struct {
	MemoryMB      int             `json:"memory_mb"`       // of all bodies; 0: a fifth of memory_limit_mb
	OwnerMemoryMB int             `json:"owner_memory_mb"` // of the bodies of one organisation or address; 0: half of memory_mb
	Unfinished    int             `json:"unfinished"`      // bodies that are not complete; 0: one for each 64 KiB of memory_mb
	Connections   int             `json:"connections"`     // of each listener; 0: derived
	HeadLines     int             `json:"head_lines"`      // of one head; 0: DefaultHeadLines
	LargeHeads    int             `json:"large_heads"`     // connections with a head above 8 KiB; 0: derived
	MinRate       int             `json:"min_rate"`        // bytes of a body per second, after rate_grace; 0: DefaultMinRate
	RateGrace     strict.Duration `json:"rate_grace"`      // 0: DefaultRateGrace
}

// Defaults of RequestLimits.
const (
	DefaultHeadLines = 256
	DefaultMinRate   = 4 << 10
	DefaultRateGrace = 5 * time.Second

	// defaultRequestMemoryBytes applies without memory_limit_mb.
	defaultRequestMemoryBytes = 512 << 20
	defaultOwnerShare         = 2 // one half
	// memoryShare is the part, one fifth, of memory_limit_mb that the bodies may take, and the same again the connections. The rest is
	// for answers (16 MiB), the program itself (about 26 MiB resident) and garbage.
	memoryShare = 5
	// unfinishedBytes is what an unfinished body takes at most before its memory grows with its size.
	unfinishedBytes = 64 << 10
	// connectionBytes is the memory of a connection: two buffers of 4 KiB, a goroutine and a small head.
	connectionBytes = 24 << 10
	// largeHeadBytes is the memory of a head of 16 KiB with DefaultHeadLines lines, and headsShare the part of memory_limit_mb, one tenth, for such heads.
	largeHeadBytes = 64 << 10
	headsShare     = 10
	// ownDescriptors are kept for files and for connections to the control group.
	ownDescriptors = 64
	minConnections = 16
)

// RequestMemoryBytes returns the limit on the memory of all bodies.
func (c *Config) RequestMemoryBytes() int {
	switch l := c.requestLimits(); {
	case l.MemoryMB > 0:
		return l.MemoryMB << 20
	case c.MemoryLimitMB > 0:
		return c.MemoryLimitMB << 20 / memoryShare
	default:
		return defaultRequestMemoryBytes
	}
}

// OwnerMemoryBytes returns the limit on the memory of the bodies of one organisation or address.
func (c *Config) OwnerMemoryBytes() int {
	if l := c.requestLimits(); l.OwnerMemoryMB > 0 {
		return l.OwnerMemoryMB << 20
	}
	return c.RequestMemoryBytes() / defaultOwnerShare
}

// MaxUnfinished returns the limit on the number of bodies that are not complete.
func (c *Config) MaxUnfinished() int {
	if l := c.requestLimits(); l.Unfinished > 0 {
		return l.Unfinished
	}
	return max(1, c.RequestMemoryBytes()/unfinishedBytes)
}

// MaxConnections returns the limit on the connections of a listener, for a process with a limit of descriptors. Each request in progress
// may need a second descriptor for its server.
func (c *Config) MaxConnections(descriptors int) int {
	if l := c.requestLimits(); l.Connections > 0 {
		return l.Connections
	}
	n := (descriptors - ownDescriptors) / 2
	if c.MemoryLimitMB > 0 {
		n = min(n, c.MemoryLimitMB<<20/memoryShare/connectionBytes)
	}
	return max(minConnections, n)
}

// MaxHeadLines returns the limit on the lines of a head.
func (c *Config) MaxHeadLines() int {
	if l := c.requestLimits(); l.HeadLines > 0 {
		return l.HeadLines
	}
	return DefaultHeadLines
}

// MaxLargeHeads returns the limit on the connections with a large head; 0: no limit.
func (c *Config) MaxLargeHeads() int {
	if l := c.requestLimits(); l.LargeHeads > 0 {
		return l.LargeHeads
	}
	return c.MemoryLimitMB << 20 / headsShare / largeHeadBytes
}

// MinBodyRate returns the bytes of a body that must arrive per second on average, and the time after which this applies.
func (c *Config) MinBodyRate() (perSecond int, grace time.Duration) {
	l := c.requestLimits()
	perSecond, grace = DefaultMinRate, DefaultRateGrace
	if l.MinRate > 0 {
		perSecond = l.MinRate
	}
	if l.RateGrace > 0 {
		grace = time.Duration(l.RateGrace)
	}
	return perSecond, grace
}

func (c *Config) requestLimits() RequestLimits {
	if c.RequestLimits == nil {
		return RequestLimits{}
	}
	return *c.RequestLimits
}

func (c *Config) checkRequestLimits(ch *checker) {
	l := c.requestLimits()
	for _, f := range []struct {
		name  string
		value int
	}{
		{"memory_mb", l.MemoryMB},
		{"owner_memory_mb", l.OwnerMemoryMB},
		{"unfinished", l.Unfinished},
		{"connections", l.Connections},
		{"head_lines", l.HeadLines},
		{"large_heads", l.LargeHeads},
		{"min_rate", l.MinRate},
		{"rate_grace", int(l.RateGrace)},
	} {
		ch.notNegative("request_limits."+f.name, f.value)
	}
	if c.MemoryLimitMB > 0 && l.MemoryMB > c.MemoryLimitMB/2 {
		ch.add("request_limits.memory_mb", "%d; expected at most half of memory_limit_mb, which is %d", l.MemoryMB, c.MemoryLimitMB)
	}
	if memory := c.RequestMemoryBytes() >> 20; l.OwnerMemoryMB > memory {
		ch.add("request_limits.owner_memory_mb", "%d; expected at most request_limits.memory_mb, which is %d", l.OwnerMemoryMB, memory)
	}
}
