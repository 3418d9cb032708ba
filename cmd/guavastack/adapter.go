package main

import (
	"runtime/debug"

	"github.com/guavastack/guavastack/internal/process"
	"github.com/guavastack/guavastack/platform"
)

// platformAdapter returns the adapter to the platform of this deployment.
func platformAdapter() process.Adapter {
	return process.Adapter{
		Dialect:        platform.Dialect{},
		ParseCatalog:   platform.ParseConfiguration,
		ControlHandler: platform.NewControlHandler,
		Platform:       platform.NewClient,
	}
}

// memoryLimitShare is the Go runtime's soft memory limit as a share of the process's memory limit.
const memoryLimitShare = 0.6

// gcPercent is the GOGC value of processes with a memory limit. It is half the default, since the cost of such instances
// depends on their peak memory and collecting a small heap is cheap.
const gcPercent = 50

// limitMemory tunes the garbage collector for a process memory limit in MiB; 0 means no limit and leaves the defaults.
func limitMemory(megabytes int) {
	if megabytes > 0 {
		debug.SetGCPercent(gcPercent)
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(megabytes) * (1 << 20)))
	}
}
