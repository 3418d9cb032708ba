// Package config reads the settings file of one process: its addresses, availability zone and roles.
//
// The file is JSON with comments. It is parsed strictly: unknown fields, wrong units and contradictions are errors. They are
// reported together, each with its line and field. Settings that all processes share, such as organisations and classes, are in
// the replicated tree of internal/core/settings.
package config

import (
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"slices"
	"strings"

	"github.com/juju/errors"

	"github.com/guavastack/guavastack/internal/core/strict"
	"github.com/guavastack/guavastack/internal/core/zonedrain"
)

// Config is the settings file of one process. At least one of Entry, Gateway, Agent, Control and Relay is set.
type Config struct {
	ID             string   `json:"id"`   // of the process, unique among all processes
	Zone           string   `json:"zone"` // availability zone
	Log            Log      `json:"log"`
	StatusListen   string   `json:"status_listen"`   // loopback address for /metrics, /healthz, /readyz and pprof; empty: not served
	MetricsListen  string   `json:"metrics_listen"`  // address for /metrics in the text format only; empty: not served
	ControlMembers []string `json:"control_members"` // addresses of control members; required by all other roles and by control.discover
	ControlPort    int      `json:"control_port"`    // replaces the ports in control_members; 0: not replaced
	MemoryLimitMB  int      `json:"memory_limit_mb"` // of the process; 0: no limit
	AllowedPeers   []string `json:"allowed_peers"`   // IP addresses or prefixes of peers that may open links without TLS
	LinkTLS        *LinkTLS `json:"link_tls"`        // mutual TLS between guavastack processes; nil: no TLS
	Zones          []string `json:"zones"`           // all availability zones, of which operators may drain one; empty: not known

	Entry   *Entry   `json:"entry"`
	Gateway *Gateway `json:"gateway"`
	Agent   *Agent   `json:"agent"`
	Control *Control `json:"control"`
	Relay   *Relay   `json:"relay"`

	RequestLimits *RequestLimits `json:"request_limits"` // nil: the defaults
}

// Log holds the settings of logging.
type Log struct {
	Level string `json:"level"` // debug, info, warn or error
}

// TLS holds the paths of a listener's PEM files. The files are reloaded when they change.
type TLS struct {
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
}

// LinkTLS holds the paths of the PEM files for mutual TLS between guavastack processes.
type LinkTLS struct {
	TLS
	Authority string `json:"authority"` // CA certificates that sign the certificates of the processes
}

// Entry holds the settings of the entry role.
type Entry struct {
	Listen         string          `json:"listen"`
	TLS            *TLS            `json:"tls"`
	MaxBodyBytes   int             `json:"max_body_bytes"`
	MaxConnections int             `json:"max_connections"`
	MaxInFlight    int             `json:"max_in_flight"`
	DrainDelay     strict.Duration `json:"drain_delay"`
	FreshnessLimit strict.Duration `json:"freshness_limit"`
	Routing        string          `json:"routing"` // two_choices, or a baseline for comparison: round_robin or least_outstanding
}

// Gateway holds the settings of the gateway role.
type Gateway struct {
	Listen          string          `json:"listen"`
	ReadinessListen string          `json:"readiness_listen"`
	FreshnessLimit  strict.Duration `json:"freshness_limit"` // longest use of keys without confirmation by the control group
	CatalogLimit    strict.Duration `json:"catalog_limit"`   // time in which a new catalog must be in force; 0: not limited
	GracePeriod     strict.Duration `json:"grace_period"`    // from the termination signal to the end of the process
	UsageWindow     strict.Duration `json:"usage_window"`    // length of billing windows, which follow the time of day; 0: usage is not counted
	FairShares      bool            `json:"fair_shares"`     // hold requests for contended plain services, so that organisations get fair shares
	RetryRatio      float64         `json:"retry_ratio"`     // limit of a service's retries, as a fraction of its requests
	ColdOverrun     float64         `json:"cold_overrun"`    // with cold_slack: limit of the requests at a cold server in any second; 0: 1.5
	ColdSlack       float64         `json:"cold_slack"`      // limit: the service's cold rate * cold_overrun + cold_slack; 0: 5
	HedgeRatio      float64         `json:"hedge_ratio"`     // limit of a service's hedged requests, as a fraction of its requests; 0: none
	Routing         string          `json:"routing"`         // session_lanes or one of the values of entry.routing
}

// Agent holds the settings of the agent role.
type Agent struct {
	Listen     string  `json:"listen"`
	Advertise  string  `json:"advertise"` // address that entries connect to; empty: that of listen
	QueueLimit int     `json:"queue_limit"`
	Policy     string  `json:"policy"` // tiered, or fifo as a baseline for comparison
	Backend    Backend `json:"backend"`
}

// Backend describes the backend server of an agent.
type Backend struct {
	Kind          string   `json:"kind"` // engine or service
	URL           string   `json:"url"`
	Model         string   `json:"model"` // that an engine serves
	Version       string   `json:"version"`
	Adapters      []string `json:"adapters"`
	Service       string   `json:"service"`   // name of a service in routes
	Slots         int      `json:"slots"`     // initial batch size
	MaxSlots      int      `json:"max_slots"` // upper bound of the adaptive batch size; 0: four times Slots
	Resumable     bool     `json:"resumable"`
	ChecksFencing bool     `json:"checks_fencing"` // the engine itself refuses orders with a stale fencing token
}

// Control holds the settings of the control role.
type Control struct {
	Member          uint64          `json:"member"` // id of this member, from 1; with discover it is derived from listen
	Group           uint64          `json:"group"`
	Listen          string          `json:"listen"`
	Admin           Admin           `json:"admin"`
	DataDir         string          `json:"data"` // data directory
	Peers           []Peer          `json:"peers"`
	Platform        *Platform       `json:"platform"`         // nil: servers are not ordered and usage is not reported
	Discover        bool            `json:"discover"`         // discover the group through control_members instead of peers
	Heartbeat       strict.Duration `json:"heartbeat"`        // interval between the leader's heartbeats; 0: the default
	Lease           strict.Duration `json:"lease"`            // duration of the leader's lease; 0: the default
	ElectionTimeout strict.Duration `json:"election_timeout"` // shortest election timeout, at least the lease; 0: the default
	MinFreeMB       int             `json:"min_free_mb"`      // free disk space below which changes are refused; 0: the default
	CompactMB       int             `json:"compact_mb"`       // size of the log after which it is compacted; 0: the default
	OperatorListen  string          `json:"operators"`        // address of the platform adapter's API for operators and backend servers
	FaultTolerance  int             `json:"fault_tolerance"`  // with discover: members whose loss at the same time must be tolerated; 0: one
	Join            bool            `json:"join"`             // wait to be added to an existing group instead of bootstrapping a new one
	Bootstrap       string          `json:"bootstrap"`        // file of the first settings document; applied only if the group has no settings
}

// Relay holds the settings of the relay role, which redirects operators and backend servers to a control member and needs
// no disk.
type Relay struct {
	Listen string `json:"listen"` // its port must be that of the members' control.operators, to which requests are redirected
}

// Peer is one member of the control group.
type Peer struct {
	ID      uint64 `json:"id"`
	Address string `json:"address"`
}

// Admin holds the settings of the operators' API.
type Admin struct {
	Listen string  `json:"listen"`
	TLS    *TLS    `json:"tls"`
	Tokens []Token `json:"tokens"`
}

// Token is one operator's token.
type Token struct {
	Name         string `json:"name"`
	SHA256       string `json:"sha256"` // hexadecimal hash of the token
	Role         string `json:"role"`   // read, operate or administer
	Organisation string `json:"organisation"`
}

// Platform holds the settings of the connection to the platform.
type Platform struct {
	URL            string          `json:"url"`
	WindowLength   strict.Duration `json:"window_length"`
	ReportInterval strict.Duration `json:"report_interval"`
	ClockWindows   bool            `json:"clock_windows"`  // billing windows are numbered by the time of day
	WindowGrace    strict.Duration `json:"window_grace"`   // time from the end of a window until it is closed; 0: the default
	HolderSpacing  strict.Duration `json:"holder_spacing"` // minimum time between the last calls of one leader and the first calls of the next
	UseAdapter     bool            `json:"use_adapter"`    // use the deployment's platform adapter instead of the built-in protocol
}

// Default values of settings.
const (
	DefaultLogLevel = "info"
	DefaultRouting  = "two_choices"
	// DefaultGatewayRouting keeps each session on its server and separates long prompts from streams with tight latency
	// targets.
	DefaultGatewayRouting = "session_lanes"
	DefaultPolicy         = "tiered"
	DefaultQueueLimit     = 256
	DefaultSlots          = 16
)

// Load reads and validates a settings file.
func Load(file string) (*Config, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Annotate(err, "settings file")
	}
	cfg, problems := Parse(file, data)
	if err := problems.Err(); err != nil {
		return nil, err
	}
	return cfg, nil
}

// Parse decodes and validates the contents of a settings file; the name file appears in the problems. It returns all problems of
// decoding or, if there are none, all of validation.
func Parse(file string, data []byte) (*Config, strict.Problems) {
	cfg := &Config{}
	source, problems := strict.Decode(file, data, cfg)
	if len(problems) > 0 {
		return cfg, problems
	}
	cfg.setDefaults()
	problems = source.Locate(cfg.validate())
	if len(problems) == 0 {
		cfg.applyDiscovery()
	}
	return cfg, problems
}

func (c *Config) setDefaults() {
	if c.Log.Level == "" {
		c.Log.Level = DefaultLogLevel
	}
	if c.Entry != nil && c.Entry.Routing == "" {
		c.Entry.Routing = DefaultRouting
	}
	if c.Gateway != nil && c.Gateway.Routing == "" {
		c.Gateway.Routing = DefaultGatewayRouting
	}
	if c.Agent == nil {
		return
	}
	if c.Agent.Policy == "" {
		c.Agent.Policy = DefaultPolicy
	}
	if c.Agent.QueueLimit == 0 {
		c.Agent.QueueLimit = DefaultQueueLimit
	}
	if c.Agent.Advertise == "" {
		c.Agent.Advertise = c.Agent.Listen
	}
	if c.Agent.Backend.Slots == 0 {
		c.Agent.Backend.Slots = DefaultSlots
	}
	if c.Agent.Backend.MaxSlots == 0 {
		c.Agent.Backend.MaxSlots = 4 * c.Agent.Backend.Slots
	}
}

// checker collects the problems of a settings file.
type checker struct{ problems strict.Problems }

func (c *checker) add(path, format string, args ...any) {
	c.problems = append(c.problems, strict.Problem{Path: path, Message: fmt.Sprintf(format, args...)})
}

func (c *checker) required(path, value, expected string) {
	if value == "" {
		c.add(path, "missing; expected %s", expected)
	}
}

// address checks that value is an IP address with a port. Host names are refused, because processes do not resolve
// names.
func (c *checker) address(path, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.add(path, "%q; expected an IP address with a port, such as \"10.0.0.7:8080\"", value)
	}
}

func (c *checker) optionalAddress(path, value string) {
	if value != "" {
		c.address(path, value)
	}
}

// loopback checks that value is empty or a loopback address. It is for listeners without TLS that must not be reachable for
// callers. The text alternative is appended to the problem and states what is accepted besides a loopback address.
func (c *checker) loopback(path, value, alternative string) {
	if value == "" {
		return
	}
	a, err := netip.ParseAddrPort(value)
	if err != nil {
		c.address(path, value)
		return
	}
	if !a.Addr().IsLoopback() {
		c.add(path, "%s is not a loopback address; expected one%s", value, alternative)
	}
}

func (c *checker) oneOf(path, value string, allowed ...string) {
	for _, a := range allowed {
		if value == a {
			return
		}
	}
	c.add(path, "%q; expected one of %s", value, strings.Join(allowed, ", "))
}

func (c *checker) notNegative(path string, value int) {
	if value < 0 {
		c.add(path, "%d is negative", value)
	}
}

func (c *checker) tls(path string, t *TLS) {
	if t == nil {
		return
	}
	c.required(path+".certificate", t.Certificate, "the path of a PEM file")
	c.required(path+".key", t.Key, "the path of a PEM file")
}

func (c *checker) url(path, value string) {
	u, err := url.Parse(value)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		c.add(path, "%q; expected a URL such as \"http://127.0.0.1:8000\"", value)
	}
}

// validate returns the problems of a decoded file.
func (c *Config) validate() strict.Problems {
	ch := &checker{}
	ch.required("id", c.ID, "a name that no other process has")
	if strings.ContainsAny(c.ID, "~ /") {
		ch.add("id", "%q; expected a name without spaces, slashes and tildes", c.ID)
	}
	ch.required("zone", c.Zone, "the name of the availability zone")
	ch.oneOf("log.level", c.Log.Level, "debug", "info", "warn", "error")
	ch.loopback("status_listen", c.StatusListen, "")
	ch.optionalAddress("metrics_listen", c.MetricsListen)
	for i, a := range c.ControlMembers {
		ch.address(strict.Index("control_members", i), a)
	}
	for i, a := range c.AllowedPeers {
		if _, err := ParsePeer(a); err != nil {
			ch.add(strict.Index("allowed_peers", i), "%v", err)
		}
	}
	if c.LinkTLS != nil {
		ch.tls("link_tls", &c.LinkTLS.TLS)
		ch.required("link_tls.authority", c.LinkTLS.Authority, "the path of a PEM file")
	}
	c.checkZones(ch)
	if c.ControlPort < 0 || c.ControlPort > maxPort {
		ch.add("control_port", "%d; expected a port, or 0", c.ControlPort)
	}
	ch.notNegative("memory_limit_mb", c.MemoryLimitMB)
	c.checkRequestLimits(ch)
	if c.Entry == nil && c.Gateway == nil && c.Agent == nil && c.Control == nil && c.Relay == nil {
		ch.add("", "no role; expected at least one of entry, gateway, agent, control and relay")
	}
	if (c.Entry != nil || c.Gateway != nil || c.Agent != nil || c.Relay != nil) && len(c.ControlMembers) == 0 {
		ch.add("control_members", "missing; an entry, gateway, agent or relay needs the addresses of the control group")
	}
	if c.Relay != nil {
		ch.address("relay.listen", c.Relay.Listen)
	}
	c.checkEntry(ch)
	c.checkGateway(ch)
	c.checkAgent(ch)
	c.checkControl(ch)
	return ch.problems
}

func (c *Config) checkZones(ch *checker) {
	for i, zone := range c.Zones {
		at := strict.Index("zones", i)
		if err := zonedrain.ValidateZone(zone); err != nil {
			ch.add(at, "%v", err)
		}
		if slices.Contains(c.Zones[:i], zone) {
			ch.add(at, "%q is listed twice", zone)
		}
	}
}

func (c *Config) checkEntry(ch *checker) {
	if c.Entry == nil {
		return
	}
	ch.address("entry.listen", c.Entry.Listen)
	ch.tls("entry.tls", c.Entry.TLS)
	ch.notNegative("entry.max_body_bytes", c.Entry.MaxBodyBytes)
	ch.notNegative("entry.max_connections", c.Entry.MaxConnections)
	ch.notNegative("entry.max_in_flight", c.Entry.MaxInFlight)
	ch.oneOf("entry.routing", c.Entry.Routing, DefaultRouting, "round_robin", "least_outstanding")
}

// maxHedgeRatio bounds gateway.hedge_ratio: hedges use the retry budget, which the platform limits to this share.
const maxHedgeRatio = 0.2

func (c *Config) checkGateway(ch *checker) {
	if c.Gateway == nil {
		return
	}
	g := c.Gateway
	ch.address("gateway.listen", g.Listen)
	ch.optionalAddress("gateway.readiness_listen", g.ReadinessListen)
	ch.oneOf("gateway.routing", g.Routing, DefaultGatewayRouting, DefaultRouting, "round_robin", "least_outstanding")
	ch.notNegative("gateway.catalog_limit", int(g.CatalogLimit))
	if g.RetryRatio < 0 || g.RetryRatio > 1 {
		ch.add("gateway.retry_ratio", "%v; expected 0 to 1", g.RetryRatio)
	}
	if g.ColdOverrun != 0 && g.ColdOverrun < 1 {
		ch.add("gateway.cold_overrun", "%v; expected 1 or more, or 0 for the default", g.ColdOverrun)
	}
	if g.ColdSlack < 0 {
		ch.add("gateway.cold_slack", "%v; expected 0 or more", g.ColdSlack)
	}
	if g.HedgeRatio < 0 || g.HedgeRatio > maxHedgeRatio {
		ch.add("gateway.hedge_ratio", "%v; expected 0 (no hedged requests) to %v", g.HedgeRatio, maxHedgeRatio)
	}
}

func (c *Config) checkAgent(ch *checker) {
	if c.Agent == nil {
		return
	}
	b := c.Agent.Backend
	ch.address("agent.listen", c.Agent.Listen)
	ch.address("agent.advertise", c.Agent.Advertise)
	ch.oneOf("agent.backend.kind", b.Kind, "engine", "service")
	ch.url("agent.backend.url", b.URL)
	if b.Kind == "engine" {
		ch.required("agent.backend.model", b.Model, "the name of the model that the engine serves")
	}
	if b.Kind == "service" {
		ch.required("agent.backend.service", b.Service, "the name of the service that routes use")
	}
	if b.Slots < 1 || b.MaxSlots < b.Slots {
		ch.add("agent.backend.slots", "slots %d, max_slots %d; expected 1 <= slots <= max_slots", b.Slots, b.MaxSlots)
	}
	ch.oneOf("agent.policy", c.Agent.Policy, DefaultPolicy, "fifo")
	if c.Agent.QueueLimit < 1 {
		ch.add("agent.queue_limit", "%d; expected at least 1", c.Agent.QueueLimit)
	}
}

func (c *Config) checkControl(ch *checker) {
	if c.Control == nil {
		return
	}
	ctl := c.Control
	ch.address("control.listen", ctl.Listen)
	ch.required("control.data", ctl.DataDir, "a directory on persistent storage")
	if ctl.Admin.TLS != nil {
		ch.optionalAddress("control.admin.listen", ctl.Admin.Listen)
	}
	ch.tls("control.admin.tls", ctl.Admin.TLS)
	if ctl.Admin.TLS == nil {
		ch.loopback("control.admin.listen", ctl.Admin.Listen, ", or control.admin.tls with it")
	}
	for i, t := range ctl.Admin.Tokens {
		at := strict.Index("control.admin.tokens", i)
		ch.required(at+".name", t.Name, "the operator's name, for the audit log")
		ch.oneOf(at+".role", t.Role, "read", "operate", "administer")
		if len(t.SHA256) != 64 {
			ch.add(at+".sha256", "%d characters; expected the 64 of a hexadecimal SHA-256", len(t.SHA256))
		}
	}
	ch.optionalAddress("control.operators", ctl.OperatorListen)
	ch.notNegative("control.min_free_mb", ctl.MinFreeMB)
	ch.notNegative("control.compact_mb", ctl.CompactMB)
	ch.notNegative("control.fault_tolerance", ctl.FaultTolerance)
	c.checkPeers(ch)
	if ctl.Platform != nil {
		ch.url("control.platform.url", ctl.Platform.URL)
	}
}

func (c *Config) checkPeers(ch *checker) {
	if c.Control.Discover {
		if len(c.Control.Peers) > 0 {
			ch.add("control.peers", "%d members; expected none with control.discover", len(c.Control.Peers))
		}
		if len(c.ControlMembers) == 0 {
			ch.add("control_members", "missing; control.discover needs the addresses of the control group")
		}
		return
	}
	hasSelf := false
	seen := make(map[uint64]bool)
	for i, p := range c.Control.Peers {
		at := strict.Index("control.peers", i)
		ch.address(at+".address", p.Address)
		if p.ID == 0 || seen[p.ID] {
			ch.add(at+".id", "%d; expected a number from 1 that is unique among the members", p.ID)
		}
		seen[p.ID] = true
		hasSelf = hasSelf || p.ID == c.Control.Member
	}
	if !hasSelf {
		ch.add("control.peers", "member %d is not among them; expected all members, including this one", c.Control.Member)
	}
}

// ParsePeer parses an IP address or a prefix such as "10.1.0.0/16". An address becomes a prefix that contains only it.
func ParsePeer(s string) (netip.Prefix, error) {
	if p, err := netip.ParsePrefix(s); err == nil {
		return p, nil
	}
	a, err := netip.ParseAddr(s)
	if err != nil {
		return netip.Prefix{}, errors.NotValidf("%q (expected an IP address or a prefix such as \"10.1.0.0/16\")", s)
	}
	return netip.PrefixFrom(a, a.BitLen()), nil
}
