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
		Operators:    platform.NewOperators,
		Platform:     platform.NewClient,
	}
}

// memoryLimitShare is the part of a process's memory that the collector may let the heap fill.
const memoryLimitShare = 0.6

// limitMemory makes the collector work harder near the memory limit of the process; 0 is none.
func limitMemory(megabytes int) {
	if megabytes > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(megabytes) * (1 << 20)))
	}
}
