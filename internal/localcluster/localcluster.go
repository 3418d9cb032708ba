// Package localcluster runs a complete guavastack system as separate processes on loopback addresses, for tests and
// benchmarks. The platform, the engines and the services are stand-ins that run in the calling process.
package localcluster

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/juju/errors"

	"github.com/guavastack/guavastack/internal/adminapi"
	"github.com/guavastack/guavastack/internal/adminclient"
	"github.com/guavastack/guavastack/internal/keys"
	"github.com/guavastack/guavastack/internal/platformclient"
	"github.com/guavastack/guavastack/internal/standin/engine"
	"github.com/guavastack/guavastack/internal/standin/platform"
	"github.com/guavastack/guavastack/internal/standin/service"
)

// Roles of processes.
const (
	RoleControl = "control"
	RoleAgent   = "agent"
	RoleEntry   = "entry"
)

const (
	linkPort         = 7000
	callerPort       = 8080
	adminPort        = 8081
	statusPort       = 9090
	firstHost        = 1
	pollInterval     = 10 * time.Millisecond
	waitTimeout      = 2 * time.Minute
	readinessTimeout = time.Second
)

// Config describes the cluster. The engines serve the model "m", the services the service "orders".
type Config struct {
	Command    func(args ...string) *exec.Cmd // returns a command that runs guavastack
	Dir        string                         // directory for the settings files and the data directories
	Zones      []string                       // availability zones; processes are spread over them
	Control    int
	Entries    int
	Engines    int
	Services   int
	Engine     engine.Config // of every engine; Model is overwritten
	Slots      int           // initial batch size in the agents of engines
	Window     time.Duration // length of a billing window
	Document   string        // settings document that StartAll stores
	LogLevel   string        // default: info
	DrainDelay time.Duration // drain delay of entries
	Policy     string        // of agents and entries: tiered, fifo_round_robin or fifo_least_outstanding
}

// clusterCount numbers the clusters of this process, so that each has its own range of loopback addresses.
var clusterCount atomic.Int32

// Cluster is one system under test.
type Cluster struct {
	cfg       Config
	network   string // first three octets of the processes' addresses
	token     string
	procs     map[string]*proc
	names     []string
	hostCount int
	standins  []*http.Server

	serviceURLs []string

	Engines  map[string]*engine.Engine // by the name of its agent
	Services []*service.Service
	Platform *platform.Standin
	HTTP     *http.Client // without keep-alive
}

// proc is one process of the cluster. cmd is nil before the first start and after Kill and Stop.
type proc struct {
	name, role, zone string
	ip, settingsFile string

	mu  sync.Mutex
	cmd *exec.Cmd
	log *logBuffer
}

// New writes the settings files and starts the stand-ins. It starts no processes; Start and StartAll do.
func New(cfg Config) (*Cluster, error) {
	if cfg.LogLevel == "" {
		cfg.LogLevel = "info"
	}
	c := &Cluster{
		cfg:     cfg,
		network: fmt.Sprintf("127.%d.%d", 1+os.Getpid()%250, clusterCount.Add(1)),
		token:   keys.NewToken(),
		procs:   make(map[string]*proc),
		Engines: make(map[string]*engine.Engine),
		HTTP:    &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
	}
	var zones []platformclient.Zone
	for _, z := range cfg.Zones {
		zones = append(zones, platformclient.Zone{Name: z, PricePerHour: 1})
	}
	c.Platform = platform.New(platform.Config{Zones: zones})
	if err := c.build(); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

func (c *Cluster) build() error {
	platformURL, err := c.serveStandin(c.Platform.Handler())
	if err != nil {
		return err
	}
	for i := range c.cfg.Control {
		if err := c.addProcess(fmt.Sprintf("control-%d", i+1), RoleControl, i, c.controlSettings(i, platformURL)); err != nil {
			return err
		}
	}
	for i := range c.cfg.Engines {
		if err := c.addEngine(i); err != nil {
			return err
		}
	}
	for i := range c.cfg.Services {
		s := service.New()
		url, err := c.serveStandin(s)
		if err != nil {
			return err
		}
		c.Services = append(c.Services, s)
		c.serviceURLs = append(c.serviceURLs, url)
		backend := object{"kind": "service", "url": url, "service": "orders", "slots": 32, "max_slots": 32}
		if err := c.addProcess(fmt.Sprintf("orders-%d", i+1), RoleAgent, i, object{"backend": backend, "policy": c.agentPolicy()}); err != nil {
			return err
		}
	}
	for i := range c.cfg.Entries {
		settings := object{"drain_delay": c.cfg.DrainDelay.String(), "routing": c.entryPolicy()}
		if err := c.addProcess(fmt.Sprintf("entry-%d", i+1), RoleEntry, i, settings); err != nil {
			return err
		}
	}
	return nil
}

// addEngine starts a stand-in engine and registers the process of its agent.
func (c *Cluster) addEngine(i int) error {
	name := fmt.Sprintf("engine-%d", i+1)
	cfg := c.cfg.Engine
	cfg.Model = "m"
	e := engine.New(cfg)
	url, err := c.serveStandin(e)
	if err != nil {
		return err
	}
	c.Engines[name] = e
	slots := max(c.cfg.Slots, 1)
	backend := object{"kind": "engine", "url": url, "model": "m", "slots": slots, "max_slots": 4 * slots, "resumable": true}
	return c.addProcess(name, RoleAgent, i, object{"backend": backend, "policy": c.agentPolicy()})
}

func (c *Cluster) agentPolicy() string {
	policy, _, _ := strings.Cut(c.cfg.Policy, "_")
	return policy
}

func (c *Cluster) entryPolicy() string {
	_, policy, _ := strings.Cut(c.cfg.Policy, "_")
	return policy
}

// object is a JSON object of a settings file.
type object map[string]any

func (c *Cluster) controlSettings(i int, platformURL string) object {
	var peers []object
	for j := range c.cfg.Control {
		peers = append(peers, object{"id": j + 1, "address": c.address(firstHost+j, linkPort)})
	}
	return object{
		"member": i + 1,
		"group":  1,
		"data":   filepath.Join(c.cfg.Dir, fmt.Sprintf("data-%d", i+1)),
		"peers":  peers,
		"admin": object{
			"listen": c.address(firstHost+i, adminPort),
			"tokens": []object{{"name": "operator", "role": "administer", "sha256": keys.Hash(c.token)}},
		},
		"platform": object{"url": platformURL, "window_length": c.cfg.Window.String()},
	}
}

func (c *Cluster) address(host, port int) string {
	return fmt.Sprintf("%s.%d:%d", c.network, host, port)
}

// addProcess registers a process under the next loopback address and writes its settings file.
func (c *Cluster) addProcess(name, role string, index int, settings object) error {
	host := firstHost + c.hostCount
	c.hostCount++
	p := &proc{
		name: name, role: role, zone: c.cfg.Zones[index%len(c.cfg.Zones)],
		ip: fmt.Sprintf("%s.%d", c.network, host), settingsFile: filepath.Join(c.cfg.Dir, name+".json"), log: &logBuffer{},
	}
	port := linkPort
	if role == RoleEntry {
		port = callerPort
	}
	settings["listen"] = c.address(host, port)
	var members []string
	for j := range c.cfg.Control {
		members = append(members, c.address(firstHost+j, linkPort))
	}
	data, err := json.MarshalIndent(object{
		"id": name, "zone": p.zone, "log": object{"level": c.cfg.LogLevel},
		"status_listen": c.address(host, statusPort), "control_members": members, role: settings,
	}, "", "  ")
	if err != nil {
		return errors.Trace(err)
	}
	c.procs[name] = p
	c.names = append(c.names, name)
	return errors.Trace(os.WriteFile(p.settingsFile, data, 0o600))
}

// serveStandin serves a stand-in in this process and returns its base URL.
func (c *Cluster) serveStandin(h http.Handler) (string, error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Trace(err)
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	c.standins = append(c.standins, srv)
	go func() { _ = srv.Serve(lis) }()
	return "http://" + lis.Addr().String(), nil
}

// Names returns the names of the processes of a role, in start order. An empty role means all processes.
func (c *Cluster) Names(role string) []string {
	var out []string
	for _, name := range c.names {
		if role == "" || c.procs[name].role == role {
			out = append(out, name)
		}
	}
	return out
}

// URL returns the base URL of an entry.
func (c *Cluster) URL(entry string) string {
	return fmt.Sprintf("http://%s:%d", c.procs[entry].ip, callerPort)
}

// ServiceURLs returns the base URLs of the stand-in services.
func (c *Cluster) ServiceURLs() []string { return c.serviceURLs }

// Admin returns an admin client of the first control member that is ready, or of the first member if none is.
func (c *Cluster) Admin() *adminclient.Client {
	members := c.Names(RoleControl)
	chosen := members[0]
	for _, name := range members {
		if c.IsReady(name) {
			chosen = name
			break
		}
	}
	return c.AdminOf(chosen)
}

// Start starts a process.
func (c *Cluster) Start(name string) error {
	p := c.procs[name]
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cmd = c.cfg.Command(p.role, "--config", p.settingsFile)
	p.cmd.Stderr = p.log
	return errors.Annotate(p.cmd.Start(), name)
}

// Kill kills a process with SIGKILL and waits for its end. It does nothing if the process isn't running.
func (c *Cluster) Kill(name string) {
	p := c.procs[name]
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil || p.cmd.Process == nil {
		return
	}
	_ = p.cmd.Process.Kill()
	_ = p.cmd.Wait()
	p.cmd = nil
}

// Stop terminates a running process with SIGTERM and waits for its end. An exit code other than 0 is an error.
func (c *Cluster) Stop(name string) error {
	p := c.procs[name]
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return errors.Annotate(err, name)
	}
	err := p.cmd.Wait()
	p.cmd = nil
	return errors.Annotate(err, name)
}

// Signal sends a signal to a running process.
func (c *Cluster) Signal(name string, s syscall.Signal) error {
	p := c.procs[name]
	p.mu.Lock()
	defer p.mu.Unlock()
	return errors.Annotate(p.cmd.Process.Signal(s), name)
}

// PID returns the process id, or 0 if the process isn't running.
func (c *Cluster) PID(name string) int {
	p := c.procs[name]
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil || p.cmd.Process == nil {
		return 0
	}
	return p.cmd.Process.Pid
}

// Log returns the newest part of the log of a process, at most maxLogBytes.
func (c *Cluster) Log(name string) string { return c.procs[name].log.String() }

// Close kills all processes, suspended ones included, and closes the stand-ins.
func (c *Cluster) Close() {
	for _, name := range c.names {
		if c.PID(name) != 0 {
			_ = c.Signal(name, syscall.SIGCONT)
			c.Kill(name)
		}
	}
	for _, srv := range c.standins {
		_ = srv.Close()
	}
}

// IsReady reports whether the readiness endpoint of a process responds with status 200.
func (c *Cluster) IsReady(name string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), readinessTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s:%d/readyz", c.procs[name].ip, statusPort), nil)
	if err != nil {
		return false
	}
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// WaitUntil polls cond until it returns true. After two minutes it returns a timeout error that contains what.
func WaitUntil(what string, cond func() bool) error {
	start := time.Now()
	for !cond() {
		if time.Since(start) > waitTimeout {
			return errors.Timeoutf("waiting for %s", what)
		}
		time.Sleep(pollInterval)
	}
	return nil
}

// WaitReady waits until all named processes are ready. The error includes the log of the process that is not.
func (c *Cluster) WaitReady(names ...string) error {
	for _, name := range names {
		if err := WaitUntil(name, func() bool { return c.IsReady(name) }); err != nil {
			return errors.Annotatef(err, "log of %s: %s", name, c.Log(name))
		}
	}
	return nil
}

// StartAll starts all processes, stores the settings document and waits until all processes and backend servers are ready.
func (c *Cluster) StartAll(ctx context.Context) error {
	for _, name := range c.names {
		if err := c.Start(name); err != nil {
			return err
		}
	}
	if err := c.WaitReady(c.Names(RoleControl)...); err != nil {
		return err
	}
	err := WaitUntil("settings", func() bool {
		_, err := c.Admin().PutSettings(ctx, c.cfg.Document, adminclient.Options{IfMatch: "*", ChangeID: "document"})
		return err == nil
	})
	if err != nil {
		return err
	}
	if err := c.WaitReady(c.names...); err != nil {
		return err
	}
	return WaitUntil("backend servers", func() bool {
		list, err := c.Admin().Backends(ctx)
		if err != nil {
			return false
		}
		ready := 0
		for _, b := range list.Backends {
			if b.Lifecycle == "ready" {
				ready++
			}
		}
		return ready == c.cfg.Engines+c.cfg.Services
	})
}

// CreateKey creates an API key of an organisation, retrying until a control member accepts the change.
func (c *Cluster) CreateKey(ctx context.Context, organisation string) (adminapi.CreatedKey, error) {
	var key adminapi.CreatedKey
	err := WaitUntil("key of "+organisation, func() bool {
		var err error
		key, err = c.Admin().CreateKey(ctx, organisation, adminapi.NewKey{}, adminclient.Options{})
		return err == nil
	})
	return key, err
}

// maxLogBytes bounds the retained log of one process.
const maxLogBytes = 1 << 20

// logBuffer is an io.Writer that retains the newest part of a log. It is safe for concurrent use.
type logBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

// Write implements io.Writer. When the buffer is full, it first discards the oldest maxLogBytes/2 bytes.
func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.buf.Len()+len(p) > maxLogBytes {
		b.buf.Next(min(b.buf.Len(), maxLogBytes/2))
	}
	return b.buf.Write(p)
}

// String returns the retained part of the log.
func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

// Configure calls change with the section of a process's role in its settings file and writes the result. It takes effect at the
// next start of the process.
func (c *Cluster) Configure(name string, change func(section map[string]any)) error {
	p := c.procs[name]
	data, err := os.ReadFile(p.settingsFile)
	if err != nil {
		return errors.Trace(err)
	}
	var file map[string]any
	if err := json.Unmarshal(data, &file); err != nil {
		return errors.Trace(err)
	}
	section, ok := file[p.role].(map[string]any)
	if !ok {
		return errors.NotFoundf("section %q of %s", p.role, name)
	}
	change(section)
	if data, err = json.MarshalIndent(file, "", "  "); err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(os.WriteFile(p.settingsFile, data, 0o600))
}

// SettingsFile returns the path of the settings file of a process.
func (c *Cluster) SettingsFile(name string) string { return c.procs[name].settingsFile }

// DataDir returns the path of the data directory of a control member.
func (c *Cluster) DataDir(name string) string {
	return filepath.Join(c.cfg.Dir, "data-"+strings.TrimPrefix(name, "control-"))
}

// LinkAddress returns the address on which a process accepts links of other processes.
func (c *Cluster) LinkAddress(name string) string {
	return fmt.Sprintf("%s:%d", c.procs[name].ip, linkPort)
}

// AdminOf returns an admin client of one control member.
func (c *Cluster) AdminOf(name string) *adminclient.Client {
	return adminclient.New(fmt.Sprintf("http://%s:%d", c.procs[name].ip, adminPort), c.token, c.HTTP)
}
