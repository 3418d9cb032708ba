// Package up runs a demonstration of the whole system in one process on loopback addresses: all roles, with stand-ins for the
// platform, the model engines and a plain service.
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
	"github.com/guavastack/guavastack/internal/platformclient"
	"github.com/guavastack/guavastack/internal/process"
	"github.com/guavastack/guavastack/internal/standin/engine"
	"github.com/guavastack/guavastack/internal/standin/platform"
	"github.com/guavastack/guavastack/internal/standin/service"
)

// Names of the demonstration's organisation, model, service and availability zone.
const (
	Organisation = "demo"
	Model        = "demo-model"
	Service      = "orders"
	Zone         = "a"

	freeLoopbackAddress = "127.0.0.1:0"
	demoWindowLength    = 10 * time.Second
	readyPollInterval   = 20 * time.Millisecond
)

// engineConfig sets the stand-in engines to about the speed of a small model on one accelerator.
var engineConfig = engine.Config{
	Model:            Model,
	Slots:            4 * config.DefaultSlots,
	TokenInterval:    10 * time.Millisecond,
	BatchSlowdown:    0.02,
	PrefillPerToken:  50 * time.Microsecond,
	DefaultMaxTokens: 64,
}

// Classes are the classes of the demonstration, highest tier first.
var Classes = []string{"interactive", "standard", "batch"}

// Options configure the demonstration.
type Options struct {
	Listen   string // address for callers
	Admin    string // address for operators
	Data     string // directory for the state; if empty, a temporary one that is removed at the end
	Backends int    // number of stand-in model engines
	Stdout   io.Writer
	Logger   *slog.Logger
}

// Ready is the line of JSON that Run prints once all roles are ready.
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

// system holds the roles and stand-ins of the demonstration.
type system struct {
	opts          Options
	operatorToken string
	standins      []*http.Server
	engineURLs    []string
	ordersURL     string
	control       *process.Control
	entry         *process.Entry
	agents        []process.Role
	base          *process.Base
}

// Run starts all roles and stand-ins, prints the ready line to opts.Stdout and serves until ctx is done or a role fails.
func Run(ctx context.Context, opts Options) error {
	if opts.Backends < 1 {
		return errors.NotValidf("backends %d (expected at least 1)", opts.Backends)
	}
	if opts.Data == "" {
		dir, err := os.MkdirTemp("", "guavastack-")
		if err != nil {
			return errors.Trace(err)
		}
		defer func() { _ = os.RemoveAll(dir) }()
		opts.Data = dir
	}
	s := &system{opts: opts, operatorToken: keys.NewToken()}
	defer s.closeStandins()
	if err := s.build(); err != nil {
		return err
	}
	return s.run(ctx)
}

// build starts the stand-ins and creates the roles, whose listeners are open but not served yet.
func (s *system) build() error {
	platformURL, err := s.serveStandin(platform.New(platform.Config{
		Zones: []platformclient.Zone{{Name: Zone, PricePerHour: 1}},
	}).Handler())
	if err != nil {
		return err
	}
	if err := s.buildControl(platformURL); err != nil {
		return err
	}
	if s.ordersURL, err = s.serveStandin(service.New()); err != nil {
		return err
	}
	for i := range s.opts.Backends {
		url, err := s.serveStandin(engine.New(engineConfig))
		if err != nil {
			return err
		}
		s.engineURLs = append(s.engineURLs, url)
		err = s.addAgent("engine-"+strconv.Itoa(i+1), config.Backend{Kind: "engine", URL: url, Model: Model, Resumable: true})
		if err != nil {
			return err
		}
	}
	if err := s.addAgent("orders-1", config.Backend{Kind: "service", URL: s.ordersURL, Service: Service}); err != nil {
		return err
	}
	return s.buildEntry()
}

// serveStandin serves a stand-in on a free loopback port and returns its URL.
func (s *system) serveStandin(h http.Handler) (string, error) {
	lis, err := net.Listen("tcp", freeLoopbackAddress)
	if err != nil {
		return "", errors.Trace(err)
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	s.standins = append(s.standins, srv)
	go func() { _ = srv.Serve(lis) }()
	return "http://" + lis.Addr().String(), nil
}

func (s *system) closeStandins() {
	for _, srv := range s.standins {
		_ = srv.Close()
	}
}

// newSettings returns the default settings of a process.
func (s *system) newSettings(id string) *config.Config {
	return &config.Config{ID: id, Zone: Zone, Log: config.Log{Level: config.DefaultLogLevel}}
}

func (s *system) buildControl(platformURL string) error {
	cfg := s.newSettings("control-1")
	cfg.Control = &config.Control{
		Member:  1,
		Group:   1,
		Listen:  freeLoopbackAddress,
		DataDir: filepath.Join(s.opts.Data, "control-1"),
		Peers:   []config.Peer{{ID: 1, Address: freeLoopbackAddress}},
		Admin: config.Admin{
			Listen: s.opts.Admin,
			Tokens: []config.Token{{Name: "operator", SHA256: keys.Hash(s.operatorToken), Role: "administer"}},
		},
		Platform: &config.Platform{URL: platformURL, WindowLength: strict.Duration(demoWindowLength)},
	}
	base, err := process.NewBase(cfg, s.opts.Logger)
	if err != nil {
		return err
	}
	s.control, err = process.BuildControl(base)
	return err
}

func (s *system) addAgent(id string, backend config.Backend) error {
	cfg := s.newSettings(id)
	cfg.ControlMembers = []string{s.control.Addr().String()}
	backend.Slots = config.DefaultSlots
	backend.MaxSlots = 4 * config.DefaultSlots
	cfg.Agent = &config.Agent{Listen: freeLoopbackAddress, Advertise: freeLoopbackAddress, QueueLimit: config.DefaultQueueLimit, Backend: backend}
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

func (s *system) buildEntry() error {
	cfg := s.newSettings("entry-1")
	cfg.ControlMembers = []string{s.control.Addr().String()}
	cfg.Entry = &config.Entry{Listen: s.opts.Listen, DrainDelay: strict.Duration(demoDrainDelay)}
	var err error
	if s.base, err = process.NewBase(cfg, s.opts.Logger); err != nil {
		return err
	}
	s.entry, err = process.BuildEntry(s.base)
	return err
}

// demoDrainDelay is short since no load balancer in front of the demonstration has to detect that the entry drains.
const demoDrainDelay = 100 * time.Millisecond

// run starts the roles, sets up the demonstration, prints the ready line and serves until ctx is done or a role fails.
func (s *system) run(ctx context.Context) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	roles := append([]process.Role{s.entry}, s.agents...)
	roles = append(roles, s.control)
	done := make(chan error, 1)
	go func() { done <- process.Run(ctx, s.base, roles...) }()

	ready, err := s.setUpDemo(ctx, roles, done)
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

// setUpDemo creates the demonstration's settings and key and waits until every role is ready.
func (s *system) setUpDemo(ctx context.Context, roles []process.Role, done <-chan error) (*Ready, error) {
	if err := waitReady(ctx, done, s.control); err != nil {
		return nil, err
	}
	key, err := s.provision(ctx)
	if err != nil {
		return nil, errors.Annotate(err, "set up the demonstration")
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
		OperatorToken:  s.operatorToken,
		Engines:        s.engineURLs,
		OrdersArrivals: s.ordersURL + "/arrivals",
	}, nil
}

// waitReady waits until all roles are ready. If the roles end or ctx is done before that, the error contains the reason of a role
// that isn't ready.
func waitReady(ctx context.Context, done <-chan error, roles ...process.Role) error {
	tick := time.NewTicker(readyPollInterval)
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
			return errors.Annotatef(err, "roles ended before all were ready (%s)", waiting)
		case <-ctx.Done():
			return errors.Annotatef(ctx.Err(), "stopped before all roles were ready (%s)", waiting)
		}
	}
}
