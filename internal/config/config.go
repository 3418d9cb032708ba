// Package config reads the settings file of one process: its addresses, availability zone and roles.
//
// The file is JSON with comments. It is read strictly: unknown fields, wrong units and contradictions are mistakes,
// and all of them are reported at once, each with its line and field. What all processes share, such as
// organisations and classes, is not here but in the replicated tree of internal/core/settings.
package config

import (
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"strings"

	"github.com/juju/errors"

	"github.com/guavastack/guavastack/internal/core/strict"
)

// Config is the file of one process. At least one of Entry, Gateway, Agent, Control and Relay is set.
type Config struct {
	ID             string   `json:"id"`   // of the process, unique in the system
	Zone           string   `json:"zone"` // availability zone
	Log            Log      `json:"log"`
	StatusListen   string   `json:"status_listen"`   // loopback, for /metrics, /healthz, /readyz and pprof; empty: none
	MetricsListen  string   `json:"metrics_listen"`  // for /metrics as text, and nothing else; empty: none
	ControlMembers []string `json:"control_members"` // addresses of the control group, for all other roles
	ControlPort    int      `json:"control_port"`    // replaces the ports in control_members; 0: they stay
	MemoryLimitMB  int      `json:"memory_limit_mb"` // of the process; 0: none
	AllowedPeers   []string `json:"allowed_peers"`   // addresses or prefixes that may open links without TLS
	LinkTLS        *LinkTLS `json:"link_tls"`        // mutual TLS between our processes; nil: none

	Entry   *Entry   `json:"entry"`
	Gateway *Gateway `json:"gateway"`
	Agent   *Agent   `json:"agent"`
	Control *Control `json:"control"`
	Relay   *Relay   `json:"relay"`
}

// Log says what is logged.
type Log struct {
	Level string `json:"level"` // debug, info, warn or error
}

// TLS names the files of a listener's certificate. They are read again when they change.
type TLS struct {
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
}

// LinkTLS names the files for mutual TLS between our processes.
type LinkTLS struct {
	TLS
	Authority string `json:"authority"` // certificates that sign our processes' certificates
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
	Routing        string          `json:"routing"` // two_choices, or a baseline: round_robin or least_outstanding
}

// Gateway holds the settings of the gateway role.
type Gateway struct {
	Listen          string          `json:"listen"`
	ReadinessListen string          `json:"readiness_listen"`
	FreshnessLimit  strict.Duration `json:"freshness_limit"` // how long a confirmed view of keys may be acted on
	GracePeriod     strict.Duration `json:"grace_period"`    // between the signal to stop and the end of the process
	UsageWindow     strict.Duration `json:"usage_window"`    // length of a billing window by the time of day; 0: no usage
	RetryRatio      float64         `json:"retry_ratio"`     // further sends of a service as a share of its requests
	Routing         string          `json:"routing"`         // session_lanes, or one of entry.routing
}

// Agent holds the settings of the agent role.
type Agent struct {
	Listen     string  `json:"listen"`
	Advertise  string  `json:"advertise"` // address that entries use; empty: listen
	QueueLimit int     `json:"queue_limit"`
	Policy     string  `json:"policy"` // tiered, or the baseline fifo
	Backend    Backend `json:"backend"`
}

// Backend describes the backend server beside an agent.
type Backend struct {
	Kind          string   `json:"kind"` // engine or service
	URL           string   `json:"url"`
	Model         string   `json:"model"` // of an engine
	Version       string   `json:"version"`
	Adapters      []string `json:"adapters"`
	Service       string   `json:"service"` // name that routes use
	Slots         int      `json:"slots"`   // batch size to start with
	MaxSlots      int      `json:"max_slots"`
	Resumable     bool     `json:"resumable"`
	ChecksFencing bool     `json:"checks_fencing"`
}

// Control holds the settings of the control role.
type Control struct {
	Member          uint64          `json:"member"` // id of this member, from 1; with discover it follows from listen
	Group           uint64          `json:"group"`
	Listen          string          `json:"listen"`
	Admin           Admin           `json:"admin"`
	Data            string          `json:"data"` // folder
	Peers           []Peer          `json:"peers"`
	Platform        *Platform       `json:"platform"`         // nil: no orders and no usage reports
	Discover        bool            `json:"discover"`         // find the group through control_members instead of peers
	Heartbeat       strict.Duration `json:"heartbeat"`        // between heartbeats of the leader; 0: the default
	Lease           strict.Duration `json:"lease"`            // of the leader; 0: the default
	ElectionTimeout strict.Duration `json:"election_timeout"` // shortest, at least the lease; 0: the default
	MinFreeMB       int             `json:"min_free_mb"`      // free disk space below which changes are refused; 0: the default
	CompactMB       int             `json:"compact_mb"`       // size of the log after which it is compacted; 0: the default
	Operators       string          `json:"operators"`        // address for operators and backend servers of the platform's adapter
	Join            bool            `json:"join"`             // wait to be added to a group that exists, instead of founding one
	Bootstrap       string          `json:"bootstrap"`        // file of the first settings document; read once, when the group has none
}

// Relay holds the settings of the relay role: an instance without a disk that sends operators and backend servers on to a control
// member.
type Relay struct {
	Listen string `json:"listen"` // the members' addresses for operators have the same port
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

// Platform says where the platform's interfaces are.
type Platform struct {
	URL            string          `json:"url"`
	WindowLength   strict.Duration `json:"window_length"`
	ReportInterval strict.Duration `json:"report_interval"`
	ClockWindows   bool            `json:"clock_windows"`  // windows are numbered by the time of day
	WindowGrace    strict.Duration `json:"window_grace"`   // from the end of a window to its closing; 0: the default
	HolderSpacing  strict.Duration `json:"holder_spacing"` // between the calls of one leader and those of the next
	UseAdapter     bool            `json:"use_adapter"`    // speak the deployment's protocol instead of the product's own
}

// Defaults of a file.
const (
	DefaultLogLevel = "info"
	DefaultRouting  = "two_choices"
	// DefaultGatewayRouting keeps sessions at their servers and long prompts apart from tight streams.
	DefaultGatewayRouting = "session_lanes"
	DefaultPolicy         = "tiered"
	DefaultQueueLimit     = 256
	DefaultSlots          = 16
)

// Load reads and checks a file.
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

// Parse reads a file's contents. The problems are all mistakes that it holds.
func Parse(file string, data []byte) (*Config, strict.Problems) {
	cfg := &Config{}
	source, problems := strict.Decode(file, data, cfg)
	if len(problems) > 0 {
		return cfg, problems
	}
	cfg.setDefaults()
	problems = source.Locate(cfg.check())
	if len(problems) == 0 {
		cfg.discover()
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

// checker collects problems.
type checker struct{ problems strict.Problems }

func (c *checker) add(path, format string, args ...any) {
	c.problems = append(c.problems, strict.Problem{Path: path, Message: fmt.Sprintf(format, args...)})
}

func (c *checker) required(path, value, expected string) {
	if value == "" {
		c.add(path, "missing; expected %s", expected)
	}
}

// address checks an IP number with a port. Names are not looked up: processes talk by IP numbers.
func (c *checker) address(path, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.add(path, "%q; expected an IP number with a port, such as \"10.0.0.7:8080\"", value)
	}
}

func (c *checker) optionalAddress(path, value string) {
	if value != "" {
		c.address(path, value)
	}
}

// loopback checks an optional address of a listener without TLS that shows more than callers may see.
func (c *checker) loopback(path, value, otherwise string) {
	if value == "" {
		return
	}
	a, err := netip.ParseAddrPort(value)
	if err != nil {
		c.address(path, value)
		return
	}
	if !a.Addr().IsLoopback() {
		c.add(path, "%s is not a loopback address; expected one%s", value, otherwise)
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

// check returns what is wrong with a file that could be decoded.
func (c *Config) check() strict.Problems {
	ch := &checker{}
	ch.required("id", c.ID, "a name that no other process has")
	if strings.ContainsAny(c.ID, "~ /") {
		ch.add("id", "%q; expected a name without space, slash and tilde", c.ID)
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
	if c.ControlPort < 0 || c.ControlPort > maxPort {
		ch.add("control_port", "%d; expected a port, or 0", c.ControlPort)
	}
	ch.notNegative("memory_limit_mb", c.MemoryLimitMB)
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

func (c *Config) checkGateway(ch *checker) {
	if c.Gateway == nil {
		return
	}
	g := c.Gateway
	ch.address("gateway.listen", g.Listen)
	ch.optionalAddress("gateway.readiness_listen", g.ReadinessListen)
	ch.oneOf("gateway.routing", g.Routing, DefaultGatewayRouting, DefaultRouting, "round_robin", "least_outstanding")
	if g.RetryRatio < 0 || g.RetryRatio > 1 {
		ch.add("gateway.retry_ratio", "%v; expected 0 to 1", g.RetryRatio)
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
	ch.required("control.data", ctl.Data, "a folder on a disk that lasts")
	if ctl.Admin.TLS != nil {
		ch.optionalAddress("control.admin.listen", ctl.Admin.Listen)
	}
	ch.tls("control.admin.tls", ctl.Admin.TLS)
	if ctl.Admin.TLS == nil {
		ch.loopback("control.admin.listen", ctl.Admin.Listen, ", or control.admin.tls with it")
	}
	for i, t := range ctl.Admin.Tokens {
		at := strict.Index("control.admin.tokens", i)
		ch.required(at+".name", t.Name, "the operator's name, for the audit record")
		ch.oneOf(at+".role", t.Role, "read", "operate", "administer")
		if len(t.SHA256) != 64 {
			ch.add(at+".sha256", "%d characters; expected the 64 of a hexadecimal SHA-256", len(t.SHA256))
		}
	}
	ch.optionalAddress("control.operators", ctl.Operators)
	ch.notNegative("control.min_free_mb", ctl.MinFreeMB)
	ch.notNegative("control.compact_mb", ctl.CompactMB)
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
			ch.add("control_members", "missing; control.discover finds the group through them")
		}
		return
	}
	own := false
	seen := make(map[uint64]bool)
	for i, p := range c.Control.Peers {
		at := strict.Index("control.peers", i)
		ch.address(at+".address", p.Address)
		if p.ID == 0 || seen[p.ID] {
			ch.add(at+".id", "%d; expected a number from 1 that no other member has", p.ID)
		}
		seen[p.ID] = true
		own = own || p.ID == c.Control.Member
	}
	if !own {
		ch.add("control.peers", "member %d is not among them; expected all members, this one included", c.Control.Member)
	}
}

// ParsePeer reads an IP number or a prefix such as "10.1.0.0/16".
func ParsePeer(s string) (netip.Prefix, error) {
	if p, err := netip.ParsePrefix(s); err == nil {
		return p, nil
	}
	a, err := netip.ParseAddr(s)
	if err != nil {
		return netip.Prefix{}, errors.NotValidf("%q; expected an IP number or a prefix such as \"10.1.0.0/16\";", s)
	}
	return netip.PrefixFrom(a, a.BitLen()), nil
}
