// Package agent implements the sidecar of a backend server, through which all requests to that server pass.
//
// An Agent schedules requests with internal/core/sched, runs them at its backend server, retains their answers for a
// bounded time so that delivery can resume after a lost link, and is authoritative on whether a request has run.
// One goroutine owns the scheduler and the table of requests; calls to the backend server run in goroutines of their
// own, which report back to it.
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

// BackendKind is the kind of a backend server.
type BackendKind string

const (
	// KindEngine is a model engine.
	KindEngine BackendKind = "engine"
	// KindService is a plain service.
	KindService BackendKind = "service"
)

// BackendConfig describes the backend server.
type BackendConfig struct {
	Kind           BackendKind
	URL            string
	Model          string // of a service: its name
	Version        string
	Adapters       []string
	Role           string
	Slots          int  // initial batch size
	MaxSlots       int  // upper bound of the adaptive batch size; 0: Slots
	Resumable      bool // the engine can resume streams
	ChecksFencing  bool // the engine rejects orders with a stale fencing token itself
	SilenceTimeout time.Duration
	StallTimeout   time.Duration
}

// Config holds the settings of an Agent. Zero values take their defaults.
type Config struct {
	ID                 string
	Incarnation        string // unique to this start; empty: generated
	Zone               string
	Listen             string       // IP and port for links from entries; loopback peers only
	Listener           net.Listener // replaces Listen; decides which peers may connect
	Advertise          string       // address that entries dial; empty: that of the listener
	Backend            BackendConfig
	QueueLimit         int
	Policy             sched.Policy                                                      // default tiered; others serve as baselines for measurements
	BufferBytes        int                                                               // buffer limit of one answer
	KeepBytes          int                                                               // limit for all finished answers together
	KeepFor            time.Duration                                                     // how long a finished answer can be fetched again
	OrphanTimeout      time.Duration                                                     // a request whose entry has no link for so long is cancelled
	LinkSilenceTimeout time.Duration                                                     // a link with requests that has received nothing for so long is closed
	Dial               func(ctx context.Context, network, addr string) (net.Conn, error) // to the backend server
	OnLifecycle        func()                                                            // called after a change of the lifecycle in Registration; must not block
	Logger             *slog.Logger
	Metrics            metrics.Registry
}

const (
	defaultSlots              = 8
	defaultQueueLimit         = 256
	defaultBufferBytes        = 1 << 20
	defaultKeepBytes          = 8 << 20
	defaultKeepFor            = 60 * time.Second
	defaultOrphanTimeout      = 10 * time.Second
	defaultLinkSilenceTimeout = 4 * time.Second
)

func (c Config) withDefaults() Config {
	c.Incarnation = cmp.Or(c.Incarnation, uuid.NewString())
	c.Backend.Slots = cmp.Or(c.Backend.Slots, defaultSlots)
	c.QueueLimit = cmp.Or(c.QueueLimit, defaultQueueLimit)
	c.BufferBytes = cmp.Or(c.BufferBytes, defaultBufferBytes)
	c.KeepBytes = cmp.Or(c.KeepBytes, defaultKeepBytes)
	c.KeepFor = cmp.Or(c.KeepFor, defaultKeepFor)
	c.OrphanTimeout = cmp.Or(c.OrphanTimeout, defaultOrphanTimeout)
	c.LinkSilenceTimeout = cmp.Or(c.LinkSilenceTimeout, defaultLinkSilenceTimeout)
	if c.Logger == nil {
		c.Logger = slog.New(slog.NewJSONHandler(io.Discard, nil))
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewRegistry()
	}
	return c
}

// validate returns an error that names the first invalid setting.
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

// listen returns the listener for links from entries.
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
		URL:            c.Backend.URL,
		Resumable:      c.Backend.Resumable,
		SilenceTimeout: c.Backend.SilenceTimeout,
		StallTimeout:   c.Backend.StallTimeout,
		Dial:           c.Dial,
	}
	if c.Backend.Kind == KindService {
		return backend.NewService(cfg)
	}
	return backend.NewEngine(cfg)
}
