// Package platformclient defines the interface to the users' platform and implements its HTTP client. The platform
// starts and stops backend servers on order, receives usage reports, and states the limits of the weight store.
//
// The rest of the program uses only the interface Platform. Client implements it for the HTTP contract in
// docs/INTERFACES.md. Another platform needs only another implementation.
package platformclient

import (
	"context"
	"time"

	"github.com/juju/errors"
)

// Platform is the set of calls that the leader makes to the platform. Implementations must not retry a call: the caller
// decides on retries, because only the caller can check whether it is still the leader.
type Platform interface {
	// Order carries out one order. It is idempotent: a repeated order id returns the first outcome.
	Order(ctx context.Context, order Order) (Outcome, error)
	// Inventory returns the platform's current servers, zones and recent orders.
	Inventory(ctx context.Context) (Inventory, error)
	// ReportUsage reports the figures of one window. Repeating a report with the same bytes has no effect; other bytes for
	// the same window fail with ErrDifferentFigures.
	ReportUsage(ctx context.Context, report UsageReport) error
	// ReportedUsage returns the bytes that were reported for a window, or an errors.NotFound error.
	ReportedUsage(ctx context.Context, window uint64) ([]byte, error)
	// WeightStore returns the limits of the weight store.
	WeightStore(ctx context.Context) (WeightStore, error)
}

// Sender identifies the sender of an order or a report.
type Sender struct {
	Holder  string `json:"holder"`  // id of the leading process
	Fencing uint64 `json:"fencing"` // its fencing token
}

// Kinds of orders.
const (
	KindStart = "start"
	KindStop  = "stop"
)

// Order starts a server in a zone or stops a server.
type Order struct {
	Sender
	ID     string `json:"id"`
	Kind   string `json:"kind"`
	Model  string `json:"model,omitempty"`
	Zone   string `json:"zone,omitempty"`
	Server string `json:"server,omitempty"` // with KindStop
}

// Outcome is the result of an order.
type Outcome struct {
	ID     string `json:"id"`
	Server string `json:"server"` // that was started or stopped
}

// Server is a backend server that the platform runs.
type Server struct {
	ID           string  `json:"id"` // also the id under which its agent registers
	Model        string  `json:"model"`
	Zone         string  `json:"zone"`
	OrderID      string  `json:"order_id"` // of the order that started it
	PricePerHour float64 `json:"price_per_hour"`
}

// Zone is an availability zone of the platform.
type Zone struct {
	Name         string  `json:"name"`
	PricePerHour float64 `json:"price_per_hour"` // of one server
}

// Inventory is the state of the platform at one moment.
type Inventory struct {
	Servers []Server  `json:"servers"`
	Zones   []Zone    `json:"zones"`
	Orders  []Outcome `json:"orders"`  // orders carried out; the platform keeps them for a limited time
	Fencing uint64    `json:"fencing"` // highest fencing token seen
}

// UsageReport is the report of one window. Body holds the bytes of its figures as committed by the control group.
type UsageReport struct {
	Sender
	Window uint64
	Body   []byte
}

// WeightStore is the rate-limited store of model weights.
type WeightStore struct {
	BytesPerSecond int64 `json:"bytes_per_second"` // total of all downloads
	Downloads      int   `json:"downloads"`        // limit of concurrent downloads
}

// Errors that guarantee that a call had and will have no effect. After any other error the outcome is unknown.
const (
	// ErrQuota means that the quota of servers is exhausted.
	ErrQuota = errors.ConstError("server quota exhausted")
	// ErrNoSupply means that the zone has no servers available.
	ErrNoSupply = errors.ConstError("no servers available in the zone")
	// ErrStaleFencing means that the platform has seen a higher fencing token.
	ErrStaleFencing = errors.ConstError("stale fencing token")
	// ErrDifferentFigures means that the platform holds other bytes for the window.
	ErrDifferentFigures = errors.ConstError("platform holds different figures for the window")
	// ErrInvalid means that the platform rejected the request as invalid.
	ErrInvalid = errors.ConstError("request rejected as invalid")
)

// RateLimitError means that the platform rejected the call because of its rate limit. The call had no effect and may be
// repeated with the same id after RetryAfter.
type RateLimitError struct {
	RetryAfter time.Duration
}

// Error implements error.
func (e *RateLimitError) Error() string {
	return "platform rate limit exceeded, retry after " + e.RetryAfter.String()
}
