package operate

import (
	"slices"
	"time"

	"github.com/guavastack/guavastack/internal/core/billing"
	"github.com/guavastack/guavastack/internal/core/duty"
	"github.com/guavastack/guavastack/internal/core/fleet"
	"github.com/guavastack/guavastack/internal/platformclient"
)

// Phase is the phase of an Operator.
type Phase string

const (
	// Following: the member holds no lease.
	Following Phase = "following"
	// TakingOver: the member holds the lease and waits until no older leader can be sending.
	TakingOver Phase = "taking_over"
	// Leading: the member issues orders and reports usage.
	Leading Phase = "leading"
)

// stuckAfter is how long an order may be open before it counts as stuck.
const stuckAfter = 5 * time.Minute

// FleetStatus is the state of the fleet as seen by this member. Only the leading member fills in plans, servers and cost.
type FleetStatus struct {
	Phase       Phase                   `json:"phase"`
	Holder      string                  `json:"holder"` // leading process, according to the log
	Fencing     uint64                  `json:"fencing"`
	Version     uint64                  `json:"settings_version"`
	Settings    fleet.Settings          `json:"settings"`
	Plans       []fleet.Plan            `json:"plans,omitempty"`
	Servers     []platformclient.Server `json:"servers,omitempty"`
	CostPerHour float64                 `json:"cost_per_hour"` // of all servers in the inventory
	OpenOrders  []duty.Order            `json:"open_orders"`
	StuckOrders []string                `json:"stuck_orders,omitempty"`
	LastError   string                  `json:"last_error,omitempty"`
}

// FleetStatus returns the state of the fleet.
func (o *Operator) FleetStatus() FleetStatus {
	var s FleetStatus
	o.cfg.Group.View(func() {
		s.Fencing, s.Holder = o.cfg.Duty.FencingToken()
		s.Settings, s.Version = o.cfg.Duty.Settings()
		s.OpenOrders = o.cfg.Duty.Open()
	})
	for _, order := range s.OpenOrders {
		if time.Since(time.UnixMilli(order.IntendedMS)) > stuckAfter {
			s.StuckOrders = append(s.StuckOrders, order.ID)
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	s.Phase = o.status.phase
	s.LastError = o.status.lastError
	if s.Phase != Leading {
		return s
	}
	s.Plans = o.status.plans
	s.Servers = o.status.inventory.Servers
	for _, server := range s.Servers {
		s.CostPerHour += server.PricePerHour
	}
	return s
}

// Orders returns the orders in the replicated state, newest first.
func (o *Operator) Orders() []duty.Order {
	var orders []duty.Order
	o.cfg.Group.View(func() { orders = o.cfg.Duty.Orders() })
	slices.Reverse(orders)
	return orders
}

// WindowUsage is one billing window with its report and the current totals of its counters.
type WindowUsage struct {
	Window      uint64               `json:"window"`
	Status      string               `json:"status"` // open, closing, closed, reported, disputed or skipped
	Reason      string               `json:"reason,omitempty"`
	OpenedMS    int64                `json:"opened_ms,omitempty"`
	ClosedMS    int64                `json:"closed_ms,omitempty"`
	ConfirmedMS int64                `json:"confirmed_ms,omitempty"`
	Reported    []billing.Line       `json:"reported,omitempty"`
	Corrections []billing.Correction `json:"corrections,omitempty"` // corrections of earlier windows, stated in this report
	Corrected   []billing.Line       `json:"corrected,omitempty"`   // corrections of this window, stated in later reports
	Counted     []billing.Line       `json:"counted,omitempty"`     // committed counters, while they are retained
	Difference  billing.Figures      `json:"difference"`            // counted but not in any report yet
}

// Windows returns the newest windows, up to limit, newest first, each reconciled with its counters.
func (o *Operator) Windows(limit int) ([]WindowUsage, error) {
	var usage []WindowUsage
	var err error
	o.cfg.Group.View(func() { usage, err = windows(o.cfg.Billing, limit) })
	return usage, err
}

func windows(m *billing.Module, limit int) ([]WindowUsage, error) {
	usage := openWindows(m)
	closed := m.Windows()
	corrected := make(map[uint64][]billing.Line)
	for _, w := range slices.Backward(closed) {
		report, err := parseReport(w)
		if err != nil {
			return nil, err
		}
		for _, c := range report.Corrections {
			corrected[c.Window] = append(corrected[c.Window], c.Line)
		}
		usage = append(usage, closedWindow(m, w, report, corrected[w.Window]))
		if len(usage) >= limit {
			break
		}
	}
	return usage[:min(limit, len(usage))], nil
}

// parseReport returns the report of a window, or an empty one for a skipped window.
func parseReport(w billing.Window) (billing.Report, error) {
	if w.Status == billing.Skipped {
		return billing.Report{Window: w.Window, ClosedMS: w.ClosedMS}, nil
	}
	return billing.ParseReport(w.Report)
}

func openWindows(m *billing.Module) []WindowUsage {
	var usage []WindowUsage
	due, _ := m.NextToClose()
	for window := m.Open(); window >= due; window-- {
		w := WindowUsage{Window: window, Status: "closing", Counted: m.CommittedUsage(window)}
		if window == m.Open() {
			w.Status = "open"
			w.OpenedMS = m.OpenedMS()
		}
		w.Difference = total(w.Counted)
		usage = append(usage, w)
	}
	return usage
}

func closedWindow(m *billing.Module, w billing.Window, r billing.Report, corrected []billing.Line) WindowUsage {
	u := WindowUsage{
		Window: w.Window, Status: string(w.Status), Reason: w.Reason, OpenedMS: r.OpenedMS, ClosedMS: r.ClosedMS,
		ConfirmedMS: w.ConfirmedMS, Reported: r.Lines, Corrections: r.Corrections, Corrected: corrected,
		Counted: m.CommittedUsage(w.Window),
	}
	if m.Accepts(w.Window) {
		u.Difference = total(u.Counted).Sub(total(u.Reported).Add(total(corrected)))
	}
	return u
}

func total(lines []billing.Line) billing.Figures {
	var sum billing.Figures
	for _, l := range lines {
		sum = sum.Add(l.Figures)
	}
	return sum
}
