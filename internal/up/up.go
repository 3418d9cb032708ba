// Package up runs all roles and the stand-ins for the outside in one process on loopback addresses: the quickest way
// to a system that serves.
package up

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"github.com/juju/errors"

	"github.com/guavastack/guavastack/internal/config"
	"github.com/guavastack/guavastack/internal/core/strict"
	"github.com/guavastack/guavastack/internal/keys"
	"github.com/guavastack/guavastack/internal/platform"
	"github.com/guavastack/guavastack/internal/process"
	"github.com/guavastack/guavastack/internal/standin/engine"
	standinplatform "github.com/guavastack/guavastack/internal/standin/platform"
	"github.com/guavastack/guavastack/internal/standin/service"
)

// Names of what the demonstration sets up.
const (
	Organisation = "demo"
	Model        = "demo-model"
	Service      = "orders"
	Zone         = "a"

	loopbackAny = "127.0.0.1:0"
	windowDemo  = 10 * time.Second
	readyPoll   = 20 * time.Millisecond
)

// engineConfig describes the stand-in engines: about as fast as a small model on one accelerator.
var engineConfig = engine.Config{
	Model:          Model,
	Slots:          4 * config.DefaultSlots,
	TokenInterval:  10 * time.Millisecond,
	BatchSlowdown:  0.02,
	PrefillPerTok:  50 * time.Microsecond,
	DefaultMaxToks: 64,
}

// Classes of the demonstration, highest tier first.
var Classes = []string{"interactive", "standard", "batch"}

// Options say where to serve.
type Options struct {
	Listen   string // for callers
	Admin    string // for operators
	Data     string // folder; empty: a temporary one, removed at the end
	Backends int    // model engines
	Stdout   io.Writer
	Logger   *slog.Logger
}

// Ready is the line that says that everything serves.
type Ready struct {
	Event          string   `json:"event"`
	Listen         string   `json:"listen"`
	Admin          string   `json:"admin"`
	Key            string   `json:"key"`
	KeyID          string   `json:"key_id"`
	Organisation   string   `json:"organisation"`
	Classes        []string `json:"classes"`
	Model          string   `json:"model"`
	OperatorToken  string   `json:"operator_token"`
	Engines        []string `json:"engines"`
	OrdersArrivals string   `json:"orders_arrivals"`
}

// stack is everything that runs.
type stack struct {
	opts     Options
	token    string
	standins []*http.Server
	engines  []string
	orders   string
	control  *process.Control
	entry    *process.Entry
	agents   []process.Role
	base     *process.Base
}

// Run starts everything, prints the ready line to opts.Stdout and serves until ctx is done.
func Run(ctx context.Context, opts Options) error {
	if opts.Backends < 1 {
		return errors.NotValidf("backends %d: at least one is needed;", opts.Backends)
	}
	if opts.Data == "" {
		dir, err := os.MkdirTemp("", "guavastack-")
		if err != nil {
			return errors.Trace(err)
		}
		defer func() { _ = os.RemoveAll(dir) }()
		opts.Data = dir
	}
	s := &stack{opts: opts, token: keys.NewToken()}
	defer s.closeStandins()
	if err := s.build(); err != nil {
		return err
	}
	return s.run(ctx)
}

// build starts the stand-ins and makes the roles, which listen but do not serve yet.
func (s *stack) build() error {
	platformURL, err := s.serve(standinplatform.New(standinplatform.Config{
		Zones: []platform.Zone{{Name: Zone, PricePerHour: 1}},
	}).Handler())
	if err != nil {
		return err
	}
	if err := s.buildControl(platformURL); err != nil {
		return err
	}
	if s.orders, err = s.serve(service.New()); err != nil {
		return err
	}
	for i := range s.opts.Backends {
		url, err := s.serve(engine.New(engineConfig))
		if err != nil {
			return err
		}
		s.engines = append(s.engines, url)
		err = s.addAgent("engine-"+strconv.Itoa(i+1), config.Backend{Kind: "engine", URL: url, Model: Model, Resumable: true})
		if err != nil {
			return err
		}
	}
	if err := s.addAgent("orders-1", config.Backend{Kind: "service", URL: s.orders, Service: Service}); err != nil {
		return err
	}
	return s.buildEntry()
}

// serve serves a stand-in on a free loopback port and returns its URL.
func (s *stack) serve(h http.Handler) (string, error) {
	lis, err := net.Listen("tcp", loopbackAny)
	if err != nil {
		return "", errors.Trace(err)
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	s.standins = append(s.standins, srv)
	go func() { _ = srv.Serve(lis) }()
	return "http://" + lis.Addr().String(), nil
}

func (s *stack) closeStandins() {
	for _, srv := range s.standins {
		_ = srv.Close()
	}
}

// settings returns a process's settings with defaults.
func (s *stack) settings(id string) *config.Config {
	return &config.Config{ID: id, Zone: Zone, Log: config.Log{Level: config.DefaultLogLevel}}
}

func (s *stack) buildControl(platformURL string) error {
	cfg := s.settings("control-1")
	cfg.Control = &config.Control{
		Member: 1,
		Group:  1,
		Listen: loopbackAny,
		Data:   filepath.Join(s.opts.Data, "control-1"),
		Peers:  []config.Peer{{ID: 1, Address: loopbackAny}},
		Admin: config.Admin{
			Listen: s.opts.Admin,
			Tokens: []config.Token{{Name: "operator", SHA256: keys.Hash(s.token), Role: "administer"}},
		},
		Platform: &config.Platform{URL: platformURL, WindowLength: strict.Duration(windowDemo)},
	}
	base, err := process.NewBase(cfg, s.opts.Logger)
	if err != nil {
		return err
	}
	s.control, err = process.BuildControl(base)
	return err
}

func (s *stack) addAgent(id string, backend config.Backend) error {
	cfg := s.settings(id)
	cfg.ControlMembers = []string{s.control.Addr().String()}
	backend.Slots = config.DefaultSlots
	backend.MaxSlots = 4 * config.DefaultSlots
	cfg.Agent = &config.Agent{Listen: loopbackAny, Advertise: loopbackAny, QueueLimit: config.DefaultQueueLimit, Backend: backend}
	base, err := process.NewBase(cfg, s.opts.Logger)
	if err != nil {
		return err
	}
	a, err := process.BuildAgent(base)
	if err != nil {
		return err
	}
	s.agents = append(s.agents, a)
	return nil
}

func (s *stack) buildEntry() error {
	cfg := s.settings("entry-1")
	cfg.ControlMembers = []string{s.control.Addr().String()}
	cfg.Entry = &config.Entry{Listen: s.opts.Listen, DrainDelay: strict.Duration(drainDelayDemo)}
	var err error
	if s.base, err = process.NewBase(cfg, s.opts.Logger); err != nil {
		return err
	}
	s.entry, err = process.BuildEntry(s.base)
	return err
}

// drainDelayDemo is short: no balancer stands before the demonstration.
const drainDelayDemo = 100 * time.Millisecond

// run serves, sets the demonstration up and prints the ready line.
func (s *stack) run(ctx context.Context) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	roles := append([]process.Role{s.entry}, s.agents...)
	roles = append(roles, s.control)
	done := make(chan error, 1)
	go func() { done <- process.Run(ctx, s.base, roles...) }()

	ready, err := s.setUp(ctx, roles, done)
	if err != nil {
		stop()
		<-done
		return err
	}
	if err := json.NewEncoder(s.opts.Stdout).Encode(ready); err != nil {
		stop()
		<-done
		return errors.Trace(err)
	}
	return <-done
}

// setUp creates the demonstration's settings and key and waits until every role is ready.
func (s *stack) setUp(ctx context.Context, roles []process.Role, done <-chan error) (*Ready, error) {
	if err := waitReady(ctx, done, s.control); err != nil {
		return nil, err
	}
	key, err := s.provision(ctx)
	if err != nil {
		return nil, errors.Annotate(err, "set-up of the demonstration")
	}
	if err := waitReady(ctx, done, roles...); err != nil {
		return nil, err
	}
	return &Ready{
		Event:          "ready",
		Listen:         s.entry.Addr().String(),
		Admin:          s.control.AdminAddr().String(),
		Key:            key.Secret,
		KeyID:          key.ID,
		Organisation:   Organisation,
		Classes:        Classes,
		Model:          Model,
		OperatorToken:  s.token,
		Engines:        s.engines,
		OrdersArrivals: s.orders + "/arrivals",
	}, nil
}

// waitReady waits until all roles are ready, or one of them ends.
func waitReady(ctx context.Context, done <-chan error, roles ...process.Role) error {
	tick := time.NewTicker(readyPoll)
	defer tick.Stop()
	for {
		waiting := ""
		for _, r := range roles {
			if ready, reason := r.Status(); !ready {
				waiting = reason
			}
		}
		if waiting == "" {
			return nil
		}
		select {
		case <-tick.C:
		case err := <-done:
			return errors.Annotatef(err, "ended before it was ready (%s)", waiting)
		case <-ctx.Done():
			return errors.Annotatef(ctx.Err(), "stopped before it was ready (%s)", waiting)
		}
	}
}
