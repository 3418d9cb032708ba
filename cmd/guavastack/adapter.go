package main

import (
	"runtime/debug"

	"github.com/guavastack/guavastack/internal/process"
	"github.com/guavastack/guavastack/platform"
)

// platformAdapter returns what speaks to the platform.
func platformAdapter() process.Adapter {
	return process.Adapter{
		Dialect:      platform.Dialect{},
		ParseCatalog: platform.ParseConfiguration,
		Operators:    platform.NewControlHandler,
		Platform:     platform.NewClient,
	}
}

// memoryLimitShare is the part of a process's memory that the collector may let the heap fill.
const memoryLimitShare = 0.6

// collectorPercent is the growth of the heap, in percent, after which the collector runs where memory is limited: such
// machines pay for their peak, and a small heap is soon collected.
const collectorPercent = 50

// limitMemory makes the collector run more often, and work harder near the memory limit of the process; 0 is none.
func limitMemory(megabytes int) {
	if megabytes > 0 {
		debug.SetGCPercent(collectorPercent)
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(megabytes) * (1 << 20)))
	}
}
