// Package agent is the role beside a backend server: the only gate to it.
//
// An Agent queues and orders requests by internal/core/sched, runs them at its backend server, keeps their answers
// for a bounded time so that a lost link can be resumed, and has the last word on whether a request has run.
// One goroutine owns the scheduler and the table of requests; calls to the backend server run in goroutines that
// report to it.
package agent

import (
	"cmp"
	"context"
	"io"
	"log/slog"
	"net"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"
	metrics "github.com/rcrowley/go-metrics"

	"github.com/guavastack/guavastack/internal/backend"
	"github.com/guavastack/guavastack/internal/core/sched"
	"github.com/guavastack/guavastack/internal/peernet"
)

// BackendKind says what a backend server is.
type BackendKind string

const (
	// KindEngine is a model engine.
	KindEngine BackendKind = "engine"
	// KindService is a plain service.
	KindService BackendKind = "service"
)

// BackendConfig describes the backend server.
type BackendConfig struct {
	Kind          BackendKind
	URL           string
	Model         string // or the service's name
	Version       string
	Adapters      []string
	Role          string
	Slots         int  // batch size at the start
	MaxSlots      int  // upper bound of the learned batch size; 0: Slots
	Resumable     bool // an engine that resumes streams
	ChecksFencing bool // refuses orders with an old fencing number by itself
	SilentAfter   time.Duration
	StallTimeout  time.Duration
}

// Config holds the settings of an Agent. Zero values take their defaults.
type Config struct {
	ID            string
	Incarnation   string // differs for every start; empty: a new one
	Zone          string
	Listen        string       // IP and port for the links of entries, from loopback only
	Listener      net.Listener // in place of Listen; it decides who may connect
	Advertise     string       // address that entries dial; empty: the listener's
	Backend       BackendConfig
	QueueLimit    int
	Policy        sched.Policy                                                      // tiered, unless a measurement wants the baseline
	BufferBytes   int                                                               // of one answer
	KeepBytes     int                                                               // of all finished answers
	KeepFor       time.Duration                                                     // that a finished answer can be fetched again
	OrphanTimeout time.Duration                                                     // a request without its entry is cancelled after it
	LinkSilence   time.Duration                                                     // a link that brought nothing for so long while it has requests is closed
	Dial          func(ctx context.Context, network, addr string) (net.Conn, error) // to the backend server
	OnLifecycle   func()                                                            // called when the lifecycle in Report has changed; must not block
	Logger        *slog.Logger
	Metrics       metrics.Registry
}

const (
	defaultSlots         = 8
	defaultQueueLimit    = 256
	defaultBufferBytes   = 1 << 20
	defaultKeepBytes     = 8 << 20
	defaultKeepFor       = 60 * time.Second
	defaultOrphanTimeout = 10 * time.Second
	defaultLinkSilence   = 4 * time.Second
)

func (c Config) withDefaults() Config {
	c.Incarnation = cmp.Or(c.Incarnation, uuid.NewString())
	c.Backend.Slots = cmp.Or(c.Backend.Slots, defaultSlots)
	c.QueueLimit = cmp.Or(c.QueueLimit, defaultQueueLimit)
	c.BufferBytes = cmp.Or(c.BufferBytes, defaultBufferBytes)
	c.KeepBytes = cmp.Or(c.KeepBytes, defaultKeepBytes)
	c.KeepFor = cmp.Or(c.KeepFor, defaultKeepFor)
	c.OrphanTimeout = cmp.Or(c.OrphanTimeout, defaultOrphanTimeout)
	c.LinkSilence = cmp.Or(c.LinkSilence, defaultLinkSilence)
	if c.Logger == nil {
		c.Logger = slog.New(slog.NewJSONHandler(io.Discard, nil))
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewRegistry()
	}
	return c
}

// validate names the first setting that is wrong.
func (c Config) validate() error {
	switch {
	case c.ID == "":
		return errors.NotValidf("id: empty agent id")
	case c.Listen == "" && c.Listener == nil:
		return errors.NotValidf("listen: empty address")
	case c.Backend.URL == "":
		return errors.NotValidf("backend.url: empty URL")
	case c.Backend.Kind != KindEngine && c.Backend.Kind != KindService:
		return errors.NotValidf("backend.kind: %q, expected engine or service", c.Backend.Kind)
	}
	return nil
}

// listen returns the listener for the links of entries.
func (c Config) listen() (net.Listener, error) {
	if c.Listener != nil {
		return c.Listener, nil
	}
	loopback, err := peernet.New(peernet.Config{})
	if err != nil {
		return nil, err
	}
	lis, err := loopback.Listen(c.Listen)
	return lis, errors.Annotatef(err, "listen: address %s", c.Listen)
}

// newBackend returns the client of the backend server.
func (c Config) newBackend() backend.Backend {
	cfg := backend.Config{
		URL:          c.Backend.URL,
		Resumable:    c.Backend.Resumable,
		SilentAfter:  c.Backend.SilentAfter,
		StallTimeout: c.Backend.StallTimeout,
		Dial:         c.Dial,
	}
	if c.Backend.Kind == KindService {
		return backend.NewService(cfg)
	}
	return backend.NewEngine(cfg)
}
