// Package platform is a stand-in for the platform: it starts and stops servers, accepts usage reports and records every
// order and report with its sender, time and fencing token.
//
// The command `guavastack up` and tests use it. Violations checks the record against the rules that the control group must
// keep.
package platform

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/guavastack/guavastack/internal/platformclient"
)

// Config configures a Standin.
type Config struct {
	Zones           []platformclient.Zone
	Servers         []platformclient.Server // servers that exist initially
	Quota           int                     // maximum number of servers; 0: unlimited
	IgnoreFencing   bool                    // accept orders and reports with a stale fencing token, as some platforms do
	ReexecuteOrders bool                    // execute a repeated order again, as a platform without idempotent orders would
	WeightStore     platformclient.WeightStore
	// Started is called for every started server, Stopped for every stopped one, with the lock of the Standin held. Both may
	// be nil.
	Started func(platformclient.Server)
	Stopped func(platformclient.Server)
}

// EventKind is the kind of a recorded event.
type EventKind string

const (
	// EventOrder is an order to start or stop a server.
	EventOrder EventKind = "order"
	// EventUsage is a usage report.
	EventUsage EventKind = "usage"
)

// Event is one received order or report, whether accepted or refused.
type Event struct {
	At      time.Time `json:"at"`
	Kind    EventKind `json:"kind"`
	Holder  string    `json:"holder"`
	Fencing uint64    `json:"fencing"`
	OrderID string    `json:"order_id,omitempty"`
	Order   string    `json:"order,omitempty"` // start or stop
	Zone    string    `json:"zone,omitempty"`
	Server  string    `json:"server,omitempty"` // id of the started or stopped server
	Window  uint64    `json:"window,omitempty"`
	Body    string    `json:"body,omitempty"` // of a usage report
	Code    string    `json:"code"`           // ok or the error code
}

// Standin is a stand-in for the platform. It is safe for concurrent use.
type Standin struct {
	cfg Config

	mu           sync.Mutex
	servers      []platformclient.Server
	outcomes     map[string]platformclient.Outcome
	usage        map[uint64][]byte
	noSupply     map[string]bool
	rateLimited  bool
	fencing      uint64
	startedCount int
	events       []Event
}

// New returns a Standin.
func New(cfg Config) *Standin {
	if cfg.WeightStore == (platformclient.WeightStore{}) {
		cfg.WeightStore = platformclient.WeightStore{BytesPerSecond: 1 << 30, Downloads: 2}
	}
	return &Standin{
		cfg:      cfg,
		servers:  slices.Clone(cfg.Servers),
		outcomes: make(map[string]platformclient.Outcome),
		usage:    make(map[uint64][]byte),
		noSupply: make(map[string]bool),
	}
}

// SetSupply sets whether servers can be started in a zone.
func (s *Standin) SetSupply(zone string, supply bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.noSupply[zone] = !supply
}

// SetRateLimited sets whether new orders are refused with a rate limit error. Repeated orders still return
// their first outcome, except with ReexecuteOrders.
func (s *Standin) SetRateLimited(limited bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rateLimited = limited
}

// SetQuota sets the maximum number of servers; 0 means unlimited.
func (s *Standin) SetQuota(quota int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cfg.Quota = quota
}

// AddServer adds a server that was not started by an order.
func (s *Standin) AddServer(server platformclient.Server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.servers = append(s.servers, server)
}

// handleOrder executes an order and records it.
func (s *Standin) handleOrder(o platformclient.Order) (platformclient.Outcome, string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	out, code := s.executeOrder(o)
	s.events = append(s.events, Event{
		At: time.Now(), Kind: EventOrder, Holder: o.Holder, Fencing: o.Fencing, OrderID: o.ID,
		Order: o.Kind, Zone: o.Zone, Server: out.Server, Code: code,
	})
	s.fencing = max(s.fencing, o.Fencing)
	return out, code
}

const codeOK = "ok"

// executeOrder returns the outcome of an order or an error code. The caller holds s.mu.
func (s *Standin) executeOrder(o platformclient.Order) (platformclient.Outcome, string) {
	if o.Fencing < s.fencing && !s.cfg.IgnoreFencing {
		return platformclient.Outcome{}, platformclient.CodeStaleFencing
	}
	if known, ok := s.outcomes[o.ID]; ok && !s.cfg.ReexecuteOrders {
		return known, codeOK
	}
	if s.rateLimited {
		return platformclient.Outcome{}, platformclient.CodeRateLimit
	}
	switch o.Kind {
	case platformclient.KindStart:
		return s.start(o)
	case platformclient.KindStop:
		return s.stop(o)
	default:
		return platformclient.Outcome{}, platformclient.CodeInvalid
	}
}

func (s *Standin) start(o platformclient.Order) (platformclient.Outcome, string) {
	i := slices.IndexFunc(s.cfg.Zones, func(z platformclient.Zone) bool { return z.Name == o.Zone })
	switch {
	case i < 0:
		return platformclient.Outcome{}, platformclient.CodeInvalid
	case s.noSupply[o.Zone]:
		return platformclient.Outcome{}, platformclient.CodeNoSupply
	case s.cfg.Quota > 0 && len(s.servers) >= s.cfg.Quota:
		return platformclient.Outcome{}, platformclient.CodeQuota
	}
	s.startedCount++
	server := platformclient.Server{
		ID: fmt.Sprintf("%s-%d", o.Zone, s.startedCount), Model: o.Model, Zone: o.Zone, OrderID: o.ID,
		PricePerHour: s.cfg.Zones[i].PricePerHour,
	}
	s.servers = append(s.servers, server)
	out := platformclient.Outcome{ID: o.ID, Server: server.ID}
	s.outcomes[o.ID] = out
	if s.cfg.Started != nil {
		s.cfg.Started(server)
	}
	return out, codeOK
}

func (s *Standin) stop(o platformclient.Order) (platformclient.Outcome, string) {
	out := platformclient.Outcome{ID: o.ID, Server: o.Server}
	s.outcomes[o.ID] = out
	i := slices.IndexFunc(s.servers, func(v platformclient.Server) bool { return v.ID == o.Server })
	if i < 0 {
		return out, codeOK
	}
	server := s.servers[i]
	s.servers = slices.Delete(s.servers, i, i+1)
	if s.cfg.Stopped != nil {
		s.cfg.Stopped(server)
	}
	return out, codeOK
}

// handleReport stores the usage of a window and records the report. It returns codeOK or an error code.
func (s *Standin) handleReport(from platformclient.Sender, window uint64, body []byte) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	code := s.storeReport(from, window, body)
	s.events = append(s.events, Event{
		At: time.Now(), Kind: EventUsage, Holder: from.Holder, Fencing: from.Fencing,
		Window: window, Body: string(body), Code: code,
	})
	s.fencing = max(s.fencing, from.Fencing)
	return code
}

// storeReport stores the usage of a window and returns codeOK or an error code. The caller holds s.mu.
func (s *Standin) storeReport(from platformclient.Sender, window uint64, body []byte) string {
	if from.Fencing < s.fencing && !s.cfg.IgnoreFencing {
		return platformclient.CodeStaleFencing
	}
	accepted, ok := s.usage[window]
	if ok && string(accepted) != string(body) {
		return platformclient.CodeDifferentFigures
	}
	s.usage[window] = slices.Clone(body)
	return codeOK
}

func (s *Standin) inventory() platformclient.Inventory {
	s.mu.Lock()
	defer s.mu.Unlock()
	inv := platformclient.Inventory{
		Servers: slices.Clone(s.servers), Zones: slices.Clone(s.cfg.Zones), Fencing: s.fencing,
		Orders: []platformclient.Outcome{},
	}
	for _, out := range s.outcomes {
		inv.Orders = append(inv.Orders, out)
	}
	slices.SortFunc(inv.Orders, func(a, b platformclient.Outcome) int { return compareIDs(a.ID, b.ID) })
	return inv
}

func compareIDs(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	default:
		return 0
	}
}

// Servers returns the running servers.
func (s *Standin) Servers() []platformclient.Server { return s.inventory().Servers }

// reportedUsage returns the body of the accepted report of a window.
func (s *Standin) reportedUsage(window uint64) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	body, ok := s.usage[window]
	return body, ok
}
