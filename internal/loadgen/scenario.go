// Package loadgen is an open-loop load generator: it sends requests at scheduled times and measures latencies and outcomes as a
// caller.
//
// A slow response delays no later request, and latency is measured from the intended send time of the request, so that the
// figures of a stalled service include the requests that it delayed (no coordinated omission). The same scenario and seed
// give the same requests at the same times.
package loadgen

import (
	"bytes"
	"encoding/json"
	"net"
	"net/url"
	"os"
	"time"

	"github.com/juju/errors"
	"github.com/tailscale/hujson"
)

// Scenario describes the load: the callers, their requests and the arrival times. Fields whose names end in S are in seconds, in MS
// in milliseconds.
type Scenario struct {
	Name           string         `json:"name"`
	Entries        []string       `json:"entries"` // base URLs, used round-robin
	Seed           uint64         `json:"seed"`
	DurationS      float64        `json:"duration_s"`
	DrainS         float64        `json:"drain_s"` // how long to wait for responses after the last arrival
	Model          string         `json:"model"`
	Arrivals       Arrivals       `json:"arrivals"`
	Classes        []Class        `json:"classes"`
	Organisations  []Organisation `json:"organisations"`
	Skew           float64        `json:"skew"` // Zipf exponent for organisations without a weight; 0: equal shares
	Prompts        Prompts        `json:"prompts"`
	Orders         *Orders        `json:"orders"`          // nil: none
	MaxOutstanding int            `json:"max_outstanding"` // limit of requests in flight; requests above it are counted as unsent
}

// Kinds of arrivals.
const (
	ArrivalsConstant = "constant"
	ArrivalsPoisson  = "poisson"
	ArrivalsBurst    = "burst" // Poisson, with a different rate during Burst
	ArrivalsCurve    = "curve" // Poisson, with a rate interpolated between the points of Curve
)

// Arrivals is the process by which requests arrive.
type Arrivals struct {
	Kind          string  `json:"kind"`
	RatePerSecond float64 `json:"rate_per_second"`
	Burst         Burst   `json:"burst"`
	Curve         []Point `json:"curve"`
}

// Burst is a period with a different arrival rate.
type Burst struct {
	AtS           float64 `json:"at_s"`
	ForS          float64 `json:"for_s"`
	RatePerSecond float64 `json:"rate_per_second"`
}

// Point is one point of a rate curve; the rate between two points is interpolated linearly.
type Point struct {
	AtS           float64 `json:"at_s"`
	RatePerSecond float64 `json:"rate_per_second"`
}

// Class is a request class with its latency targets. A zero target is always met.
type Class struct {
	Name                 string  `json:"name"`
	Tier                 int     `json:"tier"`
	Share                float64 `json:"share"` // weight among the classes
	Stream               bool    `json:"stream"`
	FirstTokenTargetMS   float64 `json:"first_token_target_ms"`
	BetweenTokenTargetMS float64 `json:"between_token_target_ms"` // mean over one response
	DeadlineMS           float64 `json:"deadline_ms"`
	Output               Lengths `json:"output_tokens"`
	LeaveShare           float64 `json:"leave_share"`    // share of the requests whose callers disconnect early
	LeaveAfterMS         float64 `json:"leave_after_ms"` // mean time until they disconnect, exponentially distributed, from the intended send time
}

// Kinds of length distributions.
const (
	LengthsFixed     = "fixed"
	LengthsUniform   = "uniform"
	LengthsLognormal = "lognormal"
)

// Lengths is a distribution of lengths in tokens.
type Lengths struct {
	Kind  string  `json:"kind"`
	Mean  float64 `json:"mean"`  // of fixed; median of lognormal
	Sigma float64 `json:"sigma"` // of lognormal
	Min   int     `json:"min"`
	Max   int     `json:"max"`
}

// Organisation is an organisation that sends requests with its API key.
type Organisation struct {
	Name   string  `json:"name"`
	Key    string  `json:"key"`
	Weight float64 `json:"weight"`
}

// Prompts describes how prompts are generated.
type Prompts struct {
	Tokens       Lengths `json:"tokens"`        // length of the part that is unique to the request
	SharedShare  float64 `json:"shared_share"`  // share of requests that begin with a prefix of their organisation
	Prefixes     int     `json:"prefixes"`      // number of prefixes per organisation
	PrefixTokens int     `json:"prefix_tokens"` // length of each prefix
}

// Orders describes non-idempotent calls of a plain service.
type Orders struct {
	Share       float64  `json:"share"`        // share of all requests
	Path        string   `json:"path"`         // such as /services/orders
	KeyedShare  float64  `json:"keyed_share"`  // share of orders with an Idempotency-Key
	Resends     int      `json:"resends"`      // maximum number of retries of a keyed order
	ArrivalURLs []string `json:"arrival_urls"` // URLs of the services' arrival counts; empty: not compared
}

// Defaults of a scenario.
const (
	defaultDrain          = 60 * time.Second
	defaultMaxOutstanding = 20000
	defaultPromptTokens   = 64
	defaultOutputTokens   = 32
	defaultOrderPath      = "/services/orders"
)

// ReadScenario reads a scenario from a file in JSON with comments. Unknown fields are errors.
func ReadScenario(path string) (Scenario, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Scenario{}, errors.Trace(err)
	}
	s, err := ParseScenario(data)
	return s, errors.Annotate(err, path)
}

// ParseScenario parses a scenario as ReadScenario does, from the content of the file.
func ParseScenario(data []byte) (Scenario, error) {
	standard, err := hujson.Standardize(data)
	if err != nil {
		return Scenario{}, errors.NewNotValid(err, "scenario")
	}
	dec := json.NewDecoder(bytes.NewReader(standard))
	dec.DisallowUnknownFields()
	var s Scenario
	if err := dec.Decode(&s); err != nil {
		return Scenario{}, errors.NewNotValid(err, "scenario")
	}
	return s, nil
}

// withDefaults returns a copy with unset fields replaced by their defaults.
func (s Scenario) withDefaults() Scenario {
	if s.DrainS == 0 {
		s.DrainS = defaultDrain.Seconds()
	}
	if s.MaxOutstanding == 0 {
		s.MaxOutstanding = defaultMaxOutstanding
	}
	if s.Arrivals.Kind == "" {
		s.Arrivals.Kind = ArrivalsPoisson
	}
	s.Prompts.Tokens = s.Prompts.Tokens.withDefault(defaultPromptTokens)
	classes := make([]Class, len(s.Classes))
	for i, c := range s.Classes {
		c.Output = c.Output.withDefault(defaultOutputTokens)
		if c.Share == 0 {
			c.Share = 1
		}
		classes[i] = c
	}
	s.Classes = classes
	if s.Orders != nil && s.Orders.Path == "" {
		orders := *s.Orders
		orders.Path = defaultOrderPath
		s.Orders = &orders
	}
	return s
}

func (l Lengths) withDefault(mean float64) Lengths {
	if l.Kind == "" {
		l.Kind = LengthsFixed
	}
	if l.Mean == 0 {
		l.Mean = mean
	}
	return l
}

// Validate returns an error for the first invalid field. Only loopback addresses are allowed unless remote is set.
func (s Scenario) Validate(remote bool) error {
	switch {
	case len(s.Entries) == 0:
		return errors.NotValidf("entries: empty list")
	case len(s.Classes) == 0:
		return errors.NotValidf("classes: empty list")
	case len(s.Organisations) == 0:
		return errors.NotValidf("organisations: empty list")
	case s.DurationS <= 0:
		return errors.NotValidf("duration_s %v", s.DurationS)
	}
	urls := s.Entries
	if s.Orders != nil {
		urls = append(urls[:len(urls):len(urls)], s.Orders.ArrivalURLs...)
	}
	for _, u := range urls {
		if err := checkURL(u, remote); err != nil {
			return err
		}
	}
	for _, c := range s.Classes {
		if err := c.Output.validate(); err != nil {
			return errors.Annotatef(err, "class %q: output_tokens", c.Name)
		}
	}
	if err := s.Prompts.Tokens.validate(); err != nil {
		return errors.Annotate(err, "prompts.tokens")
	}
	return s.Arrivals.validate()
}

func checkURL(text string, remote bool) error {
	u, err := url.Parse(text)
	if err != nil || u.Host == "" {
		return errors.NotValidf("address %q", text)
	}
	ip := net.ParseIP(u.Hostname())
	if !remote && (ip == nil || !ip.IsLoopback()) {
		return errors.NotValidf("address %q is not a loopback address; remote addresses must be allowed explicitly", text)
	}
	return nil
}

func (l Lengths) validate() error {
	switch l.Kind {
	case "", LengthsFixed, LengthsLognormal:
	case LengthsUniform:
		if l.Max < l.Min || l.Max == 0 {
			return errors.NotValidf("min %d and max %d", l.Min, l.Max)
		}
	default:
		return errors.NotValidf("kind %q", l.Kind)
	}
	return nil
}

func (a Arrivals) validate() error {
	switch a.Kind {
	case "", ArrivalsConstant, ArrivalsPoisson, ArrivalsBurst:
		if a.RatePerSecond <= 0 {
			return errors.NotValidf("arrivals.rate_per_second %v", a.RatePerSecond)
		}
	case ArrivalsCurve:
		return a.validateCurve()
	default:
		return errors.NotValidf("arrivals.kind %q", a.Kind)
	}
	return nil
}

func (a Arrivals) validateCurve() error {
	if len(a.Curve) == 0 {
		return errors.NotValidf("arrivals.curve: no points")
	}
	for i, p := range a.Curve {
		if p.RatePerSecond < 0 || i > 0 && p.AtS <= a.Curve[i-1].AtS {
			return errors.NotValidf("arrivals.curve[%d]", i)
		}
	}
	return nil
}
