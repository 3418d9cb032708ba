package loadgen

import (
	"encoding/json"
	"os"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/juju/errors"
)

// Result holds the measurements of one run, made as a caller. Latencies are in milliseconds, measured from the intended send time.
type Result struct {
	Scenario            string               `json:"scenario"`
	Seed                uint64               `json:"seed"`
	Started             time.Time            `json:"started"`
	DurationS           float64              `json:"duration_s"` // length of the arrival schedule
	FinishedS           float64              `json:"finished_s"` // time from the start to the end of the last request
	Arrivals            int                  `json:"arrivals"`   // excluding orders
	Classes             []ClassResult        `json:"classes"`
	Organisations       []OrganisationResult `json:"organisations"`
	Worst               *OrganisationResult  `json:"worst_served,omitempty"`
	GoodTokensPerSecond float64              `json:"goodput_tokens_per_second"` // of responses that met their targets
	WastedShare         float64              `json:"wasted_share"`              // share of the received tokens that were in incomplete responses
	Orders              OrdersResult         `json:"orders"`
	Verdicts            map[string]int       `json:"verdicts"`
	Codes               map[string]int       `json:"codes"`    // error codes
	Lateness            Latencies            `json:"lateness"` // of the load generator itself: from the intended to the actual send time
	Timeline            []TimelinePoint      `json:"timeline"`

	tokens, wasted int
}

// ClassResult is the result of one class. Attainment is relative to all arrivals, refused ones included, except those whose
// caller disconnected.
type ClassResult struct {
	Class               string         `json:"class"`
	Tier                int            `json:"tier"`
	Arrivals            int            `json:"arrivals"`
	Attained            int            `json:"attained"`
	Attainment          float64        `json:"attainment"`
	Outcomes            map[string]int `json:"ends"` // whole, refused, error, cut, short, left, unsent
	Tokens              int            `json:"tokens"`
	GoodTokens          int            `json:"good_tokens"`
	GoodTokensPerSecond float64        `json:"goodput_tokens_per_second"`
	WastedTokens        int            `json:"wasted_tokens"`
	FirstToken          Latencies      `json:"first_token"`
	BetweenToken        Latencies      `json:"between_token"`
	Total               Latencies      `json:"total"`
}

func (c *ClassResult) computeRates(durationS float64) {
	if stayed := c.Arrivals - c.Outcomes[outcomeDisconnected]; stayed > 0 {
		c.Attainment = float64(c.Attained) / float64(stayed)
	}
	c.GoodTokensPerSecond = float64(c.GoodTokens) / durationS
}

// OrganisationResult is the result of one organisation, excluding orders and requests whose caller disconnected.
type OrganisationResult struct {
	Organisation string  `json:"organisation"`
	Arrivals     int     `json:"arrivals"`
	Served       int     `json:"served"`
	Attained     int     `json:"attained"`
	Attainment   float64 `json:"attainment"`
	Tokens       int     `json:"tokens"`
}

func (o *OrganisationResult) computeAttainment() {
	if o.Arrivals > 0 {
		o.Attainment = float64(o.Attained) / float64(o.Arrivals)
	}
}

// OrdersResult is the result of the orders: non-idempotent calls of a plain service.
type OrdersResult struct {
	Placed   int `json:"placed"`
	Keyed    int `json:"keyed"`    // with an idempotency key
	Answered int `json:"answered"` // completely
	NotRun   int `json:"not_run"`
	Unknown  int `json:"unknown"` // may have run

	Compared    bool `json:"compared"`      // with the arrivals at the services; otherwise the fields below are zero
	Lost        int  `json:"lost"`          // answered completely, but never arrived
	Duplicated  int  `json:"doubled"`       // arrived more than once
	FalseNotRun int  `json:"false_not_run"` // arrived once although the verdict was not_run
}

// Latencies are the quantiles of a distribution, in milliseconds.
type Latencies struct {
	Count int64     `json:"count"`
	Mean  float64   `json:"mean_ms"`
	P50   float64   `json:"p50_ms"`
	P90   float64   `json:"p90_ms"`
	P95   float64   `json:"p95_ms"`
	P99   float64   `json:"p99_ms"`
	P999  float64   `json:"p999_ms"`
	Max   float64   `json:"max_ms"`
	Curve []Percent `json:"curve,omitempty"`
}

// Percent is one point of a cumulative distribution.
type Percent struct {
	Percent float64 `json:"percent"`
	MS      float64 `json:"ms"`
}

// TimelinePoint counts the requests whose intended time lies in one second of the run.
type TimelinePoint struct {
	AtS      float64 `json:"at_s"`
	Arrivals int     `json:"arrivals"`
	Attained int     `json:"attained"`
	Refused  int     `json:"refused"`
}

const microsecondsPerMS = 1000.0

// curvePointsPerHalving is the number of points of a curve for each halving of the distance to 100 %.
const curvePointsPerHalving = 10

func summarise(h *hdrhistogram.Histogram) Latencies {
	at := func(percent float64) float64 { return float64(h.ValueAtQuantile(percent)) / microsecondsPerMS }
	l := Latencies{Count: h.TotalCount()}
	if l.Count == 0 {
		return l
	}
	l.Mean = h.Mean() / microsecondsPerMS
	l.P50, l.P90, l.P95, l.P99, l.P999 = at(50), at(90), at(95), at(99), at(99.9)
	l.Max = float64(h.Max()) / microsecondsPerMS
	for _, bracket := range h.CumulativeDistributionWithTicks(curvePointsPerHalving) {
		l.Curve = append(l.Curve, Percent{Percent: bracket.Quantile, MS: float64(bracket.ValueAt) / microsecondsPerMS})
	}
	return l
}

// Save writes the result to a file.
func (r *Result) Save(path string) error {
	data, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(os.WriteFile(path, append(data, '\n'), 0o644))
}

// Open reads a result written by Save.
func Open(path string) (*Result, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Trace(err)
	}
	var r Result
	if err := json.Unmarshal(data, &r); err != nil {
		return nil, errors.Annotate(err, path)
	}
	return &r, nil
}
