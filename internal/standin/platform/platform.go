// Package platform is a small stand-in for the platform: it gives servers, takes usage reports and records who sent
// what, when and with which fencing number.
//
// It is meant for the laptop command and for tests. The record says whether the rules of the control group were kept.
package platform

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/guavastack/guavastack/internal/platform"
)

// Config configures a Standin.
type Config struct {
	Zones         []platform.Zone
	Servers       []platform.Server // that exist from the start
	Quota         int               // most servers; 0: no bound
	IgnoreFencing bool              // accept orders with an old fencing number, as some platforms do
	ForgetOrders  bool              // carry out an order again when its id comes again, as a careless platform would
	WeightStore   platform.WeightStore
	// Started is called for every server started, Stopped for every one stopped; both may be nil.
	Started func(platform.Server)
	Stopped func(platform.Server)
}

// EventKind says what an event of the record is about.
type EventKind string

const (
	// EventOrder is an order that arrived.
	EventOrder EventKind = "order"
	// EventUsage is a usage report that arrived.
	EventUsage EventKind = "usage"
)

// Event is one order or report that arrived, also when it was refused.
type Event struct {
	At      time.Time `json:"at"`
	Kind    EventKind `json:"kind"`
	Holder  string    `json:"holder"`
	Fencing uint64    `json:"fencing"`
	OrderID string    `json:"order_id,omitempty"`
	Order   string    `json:"order,omitempty"` // start or stop
	Zone    string    `json:"zone,omitempty"`
	Server  string    `json:"server,omitempty"` // started or stopped
	Window  uint64    `json:"window,omitempty"`
	Body    string    `json:"body,omitempty"` // of a usage report
	Code    string    `json:"code"`           // ok or the code of the refusal
}

// Standin is the platform. It is safe for concurrent use.
type Standin struct {
	cfg Config

	mu       sync.Mutex
	servers  []platform.Server
	outcomes map[string]platform.Outcome
	usage    map[uint64][]byte
	noSupply map[string]bool
	limited  bool
	fencing  uint64
	started  int
	events   []Event
}

// New returns a stand-in.
func New(cfg Config) *Standin {
	if cfg.WeightStore == (platform.WeightStore{}) {
		cfg.WeightStore = platform.WeightStore{BytesPerSecond: 1 << 30, Downloads: 2}
	}
	return &Standin{
		cfg:      cfg,
		servers:  slices.Clone(cfg.Servers),
		outcomes: make(map[string]platform.Outcome),
		usage:    make(map[uint64][]byte),
		noSupply: make(map[string]bool),
	}
}

// SetSupply says whether a zone has servers to give.
func (s *Standin) SetSupply(zone string, supply bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.noSupply[zone] = !supply
}

// SetRateLimited refuses every order for its rate while limited is set.
func (s *Standin) SetRateLimited(limited bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limited = limited
}

// SetQuota changes the most servers that the platform gives.
func (s *Standin) SetQuota(quota int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cfg.Quota = quota
}

// Adopt adds a server that runs already.
func (s *Standin) Adopt(server platform.Server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.servers = append(s.servers, server)
}

// order carries out an order and records it.
func (s *Standin) order(o platform.Order) (platform.Outcome, string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	out, code := s.carryOut(o)
	s.events = append(s.events, Event{
		At: time.Now(), Kind: EventOrder, Holder: o.Holder, Fencing: o.Fencing, OrderID: o.ID,
		Order: o.Kind, Zone: o.Zone, Server: out.Server, Code: code,
	})
	s.fencing = max(s.fencing, o.Fencing)
	return out, code
}

const codeOK = "ok"

func (s *Standin) carryOut(o platform.Order) (platform.Outcome, string) {
	if o.Fencing < s.fencing && !s.cfg.IgnoreFencing {
		return platform.Outcome{}, platform.CodeStaleFencing
	}
	if known, ok := s.outcomes[o.ID]; ok && !s.cfg.ForgetOrders {
		return known, codeOK
	}
	if s.limited {
		return platform.Outcome{}, platform.CodeRateLimit
	}
	switch o.Kind {
	case platform.KindStart:
		return s.start(o)
	case platform.KindStop:
		return s.stop(o)
	default:
		return platform.Outcome{}, platform.CodeInvalid
	}
}

func (s *Standin) start(o platform.Order) (platform.Outcome, string) {
	i := slices.IndexFunc(s.cfg.Zones, func(z platform.Zone) bool { return z.Name == o.Zone })
	switch {
	case i < 0:
		return platform.Outcome{}, platform.CodeInvalid
	case s.noSupply[o.Zone]:
		return platform.Outcome{}, platform.CodeNoSupply
	case s.cfg.Quota > 0 && len(s.servers) >= s.cfg.Quota:
		return platform.Outcome{}, platform.CodeQuota
	}
	s.started++
	server := platform.Server{
		ID: fmt.Sprintf("%s-%d", o.Zone, s.started), Model: o.Model, Zone: o.Zone, OrderID: o.ID,
		PricePerHour: s.cfg.Zones[i].PricePerHour,
	}
	s.servers = append(s.servers, server)
	out := platform.Outcome{ID: o.ID, Server: server.ID}
	s.outcomes[o.ID] = out
	if s.cfg.Started != nil {
		s.cfg.Started(server)
	}
	return out, codeOK
}

func (s *Standin) stop(o platform.Order) (platform.Outcome, string) {
	out := platform.Outcome{ID: o.ID, Server: o.Server}
	s.outcomes[o.ID] = out
	i := slices.IndexFunc(s.servers, func(v platform.Server) bool { return v.ID == o.Server })
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

// report stores the figures of a window and records the report.
func (s *Standin) report(from platform.Sender, window uint64, body []byte) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	code := s.takeReport(from, window, body)
	s.events = append(s.events, Event{
		At: time.Now(), Kind: EventUsage, Holder: from.Holder, Fencing: from.Fencing,
		Window: window, Body: string(body), Code: code,
	})
	s.fencing = max(s.fencing, from.Fencing)
	return code
}

func (s *Standin) takeReport(from platform.Sender, window uint64, body []byte) string {
	if from.Fencing < s.fencing && !s.cfg.IgnoreFencing {
		return platform.CodeStaleFencing
	}
	held, ok := s.usage[window]
	if ok && string(held) != string(body) {
		return platform.CodeDifferentFigures
	}
	s.usage[window] = slices.Clone(body)
	return codeOK
}

func (s *Standin) inventory() platform.Inventory {
	s.mu.Lock()
	defer s.mu.Unlock()
	inv := platform.Inventory{
		Servers: slices.Clone(s.servers), Zones: slices.Clone(s.cfg.Zones), Fencing: s.fencing,
		Orders: []platform.Outcome{},
	}
	for _, out := range s.outcomes {
		inv.Orders = append(inv.Orders, out)
	}
	slices.SortFunc(inv.Orders, func(a, b platform.Outcome) int { return compareIDs(a.ID, b.ID) })
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

// Servers returns the servers that run.
func (s *Standin) Servers() []platform.Server { return s.inventory().Servers }

// usageOf returns the bytes held for a window.
func (s *Standin) usageOf(window uint64) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	body, ok := s.usage[window]
	return body, ok
}
