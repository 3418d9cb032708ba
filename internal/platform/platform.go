// Package platform is the client of the platform: orders of backend servers, usage reports and the weight store.
//
// Platform is the whole of what the rest of the program knows of it; Client is its adapter for the HTTP contract in
// docs/INTERFACES.md. Another platform needs another adapter only.
package platform

import (
	"context"
	"time"

	"github.com/juju/errors"
)

// Platform is what the leading process asks of the platform. No implementation repeats a call by itself: the caller
// decides, because only the caller knows whether it is still the leader.
type Platform interface {
	// Order carries out one order. The same id again returns the first outcome.
	Order(ctx context.Context, order Order) (Outcome, error)
	// Inventory returns the servers and orders that the platform knows.
	Inventory(ctx context.Context) (Inventory, error)
	// ReportUsage reports the figures of one window. The same bytes again are harmless.
	ReportUsage(ctx context.Context, report UsageReport) error
	// ReportedUsage returns the bytes that the platform holds for a window, or errors.NotFound.
	ReportedUsage(ctx context.Context, window uint64) ([]byte, error)
	// WeightStore returns the limits of the weight store.
	WeightStore(ctx context.Context) (WeightStore, error)
}

// Sender says who sends an order or a report.
type Sender struct {
	Holder  string `json:"holder"`  // leading process
	Fencing uint64 `json:"fencing"` // its fencing number
}

// Kinds of orders.
const (
	KindStart = "start"
	KindStop  = "stop"
)

// Order asks for a server in a zone, or gives one back.
type Order struct {
	Sender
	ID     string `json:"id"`
	Kind   string `json:"kind"`
	Model  string `json:"model,omitempty"`
	Zone   string `json:"zone,omitempty"`
	Server string `json:"server,omitempty"` // with KindStop
}

// Outcome is what became of an order.
type Outcome struct {
	ID     string `json:"id"`
	Server string `json:"server"` // started or stopped
}

// Server is a backend server that the platform runs.
type Server struct {
	ID           string  `json:"id"` // the agent beside it announces itself by this id
	Model        string  `json:"model"`
	Zone         string  `json:"zone"`
	OrderID      string  `json:"order_id"` // that it was started by
	PricePerHour float64 `json:"price_per_hour"`
}

// Zone is an availability zone of the platform.
type Zone struct {
	Name         string  `json:"name"`
	PricePerHour float64 `json:"price_per_hour"` // of one server
}

// Inventory is what the platform knows at one moment.
type Inventory struct {
	Servers []Server  `json:"servers"`
	Zones   []Zone    `json:"zones"`
	Orders  []Outcome `json:"orders"`  // carried out; the platform keeps them for a bounded time
	Fencing uint64    `json:"fencing"` // highest fencing number seen
}

// UsageReport is one report with the committed bytes of its figures.
type UsageReport struct {
	Sender
	Window uint64
	Body   []byte
}

// WeightStore is the rate-limited store of model weights.
type WeightStore struct {
	BytesPerSecond int64 `json:"bytes_per_second"` // of all downloads together
	Downloads      int   `json:"downloads"`        // at once
}

// Refusals that prove that a call had no effect and never will. Every other error leaves the outcome unknown.
const (
	// ErrQuota means that the quota of servers is used up.
	ErrQuota = errors.ConstError("quota of servers used up")
	// ErrNoSupply means that the zone has no servers to give.
	ErrNoSupply = errors.ConstError("no supply in the zone")
	// ErrStaleFencing means that the platform has seen a higher fencing number.
	ErrStaleFencing = errors.ConstError("stale fencing number")
	// ErrDifferentFigures means that the platform holds other bytes for the window.
	ErrDifferentFigures = errors.ConstError("the platform holds different figures")
	// ErrInvalid means that the platform does not understand the call.
	ErrInvalid = errors.ConstError("call refused as invalid")
)

// RateLimitError means that the call was refused for its rate and may be repeated under the same id later.
type RateLimitError struct {
	RetryAfter time.Duration
}

// Error implements error.
func (e *RateLimitError) Error() string {
	return "rate limit of the platform, retry after " + e.RetryAfter.String()
}
