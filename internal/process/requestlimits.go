package process

import (
	"log/slog"
	"math"
	"syscall"
	"time"

	"github.com/guavastack/guavastack/internal/callerconn"
	"github.com/guavastack/guavastack/internal/config"
	"github.com/guavastack/guavastack/internal/requestmemory"
	"github.com/guavastack/guavastack/internal/telemetry"
)

// newRequestMemory returns the memory of the bodies of requests, which all roles of a process share.
func newRequestMemory(cfg *config.Config, logger *slog.Logger, metrics *telemetry.Registry) *requestmemory.Memory {
	rate, grace := cfg.MinBodyRate()
	return requestmemory.New(requestmemory.Config{
		Limits:  requestmemory.NewLimits(cfg.RequestMemoryBytes(), cfg.OwnerMemoryBytes(), cfg.MaxUnfinished()),
		MinRate: rate, Grace: grace, Logger: logger, Metrics: metrics,
	})
}

// connLimits returns the limits of the connections of one listener.
func connLimits(base *Base, name string) callerconn.Config {
	cfg := base.Config
	return callerconn.Config{
		HasGauge: true, Name: name, MaxConns: cfg.MaxConnections(descriptorLimit()), MaxHeadLines: cfg.MaxHeadLines(), MaxLargeHeads: cfg.MaxLargeHeads(),
		Logger: base.Logger, Metrics: base.Metrics,
	}
}

// Limits of the listeners for readiness, status and metrics.
const (
	sideTimeout        = 10 * time.Second
	sideAnswerTimeout  = 2 * time.Minute // longer than a profile that is taken for a minute
	maxSideHeaderBytes = 16 << 10
	// maxSideConns bounds the connections of each, and sideConnShare is the part of the connections of a main listener that it is at most.
	maxSideConns  = 64
	sideConnShare = 8
)

// sideLimits returns the limits of the connections of a listener for readiness, status or metrics.
func sideLimits(base *Base, name string) callerconn.Config {
	cfg := connLimits(base, name)
	cfg.HasGauge = false
	cfg.MaxConns = min(maxSideConns, max(sideConnShare, cfg.MaxConns/sideConnShare))
	return cfg
}

// descriptorLimit returns how many descriptors the process may open.
func descriptorLimit() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > math.MaxInt32 {
		return math.MaxInt32
	}
	return int(limit.Cur)
}
