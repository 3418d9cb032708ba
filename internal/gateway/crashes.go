package gateway

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/guavastack/guavastack/internal/core/route"
	"github.com/guavastack/guavastack/internal/telemetry"
)

// crashCheckDelay is the time from the first answer that a backend server broke off to the check whether it crashed. The other
// answers that it was sending break off meanwhile.
const crashCheckDelay = 50 * time.Millisecond

// crash is the crash of one incarnation of a backend server while it had requests of this gateway.
type crash struct {
	server   route.Backend
	requests int            // of this gateway that it broke off
	parts    map[uint64]int // position in their prompts, by id of a shared part
}

// crashDetector tells the crash of a backend server from other reasons why its answers break off: after a crash its instance refuses
// connections. It is safe for concurrent use.
type crashDetector struct {
	hasCrashed func(ctx context.Context, server route.Backend) bool
	onCrash    func(crash)

	mu     sync.Mutex
	broken map[serverKey]*brokenServer // not checked yet
}

// serverKey identifies one incarnation of a backend server.
type serverKey struct{ id, incarnation string }

// brokenServer is a backend server that broke off answers.
type brokenServer struct {
	requests int
	parts    map[uint64]int // position in the prompts, by id of a shared part
}

func newCrashDetector(hasCrashed func(ctx context.Context, server route.Backend) bool, onCrash func(crash)) *crashDetector {
	return &crashDetector{hasCrashed: hasCrashed, onCrash: onCrash, broken: make(map[serverKey]*brokenServer)}
}

// recordBroken records that a backend server broke off its answer to a request with the given shared parts.
func (d *crashDetector) recordBroken(server route.Backend, parts []uint64) {
	key := serverKey{server.ID, server.Incarnation}
	d.mu.Lock()
	defer d.mu.Unlock()
	b := d.broken[key]
	if b == nil {
		b = &brokenServer{parts: make(map[uint64]int)}
		d.broken[key] = b
		time.AfterFunc(crashCheckDelay, func() { d.check(server) })
	}
	b.requests++
	for depth, part := range parts {
		b.parts[part] = max(b.parts[part], depth)
	}
}

// check reports a crash if the server has crashed.
func (d *crashDetector) check(server route.Backend) {
	crashed := d.hasCrashed(context.Background(), server)
	key := serverKey{server.ID, server.Incarnation}
	d.mu.Lock()
	b := d.broken[key]
	delete(d.broken, key)
	d.mu.Unlock()
	if crashed {
		d.onCrash(crash{server: server, requests: b.requests, parts: b.parts})
	}
}

// hasCrashed reports whether a backend server that ended a connection has crashed: its instance refuses connections although it had not
// said that it leaves.
func (s *Server) hasCrashed(ctx context.Context, server route.Backend) bool {
	registered, known := s.servers.Find(server.ID)
	return known && registered.Lifecycle == route.LifecycleReady && s.client.RefusesConnections(ctx, server.Address)
}

// recordCrash logs, counts and reports a crash.
func (s *Server) recordCrash(c crash) {
	s.cfg.Logger.Warn("backend server crashed", telemetry.KeyBackendServer, c.server.ID, "incarnation", c.server.Incarnation,
		"address", c.server.Address, "broken_requests", c.requests, "prompt_parts", partIDs(slices.Sorted(maps.Keys(c.parts))))
	if m := s.cfg.Metrics; m != nil {
		m.Counter(metricCrashes, telemetry.Label{Name: "service", Value: c.server.Model}).Inc(1)
	}
	s.servers.RecordBroken(c.server.ID, c.server.Incarnation)
	s.parts.recordCrash(c)
}
