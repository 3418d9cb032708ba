package settings

import (
	"fmt"
	"regexp"
	"sort"
	"strings"
	"time"

	"github.com/guavastack/guavastack/internal/core/strict"
)

// Problem is one mistake in a document, with its line and path.
type Problem = strict.Problem

// Problems are all mistakes of one document.
type Problems = strict.Problems

// Duration is written with its unit, such as "700ms".
type Duration = strict.Duration

// LimitSet holds the limits that a node or class sets. A nil field inherits.
type LimitSet struct {
	RequestsPerMinute *int `json:"requests_per_minute,omitempty"`
	TokensPerMinute   *int `json:"tokens_per_minute,omitempty"`
	Concurrency       *int `json:"concurrency,omitempty"`
}

// Overrides hold what a node's defaults or one of its classes set. A nil field inherits.
type Overrides struct {
	Tier               *int      `json:"tier,omitempty"`
	FirstTokenTarget   *Duration `json:"first_token_target,omitempty"`
	BetweenTokenTarget *Duration `json:"between_token_target,omitempty"`
	Deadline           *Duration `json:"deadline,omitempty"`
	Weight             *float64  `json:"weight,omitempty"`
	FloorShare         *float64  `json:"floor_share,omitempty"`
	Repeatable         *bool     `json:"repeatable,omitempty"`
	Preemptible        *bool     `json:"preemptible,omitempty"`
	KeepAnswer         *bool     `json:"keep_answer,omitempty"`
	Attempts           *int      `json:"attempts,omitempty"`
	Limits             *LimitSet `json:"limits,omitempty"`
}

// Node is what one organisation, or a group of them, sets. Only what differs from the parent is stored.
type Node struct {
	Defaults *Overrides           `json:"defaults,omitempty"`
	Classes  map[string]Overrides `json:"classes,omitempty"`
	Limits   *LimitSet            `json:"limits,omitempty"` // on the sum of the node and all nodes below it
	Locked   []string             `json:"locked,omitempty"` // fields that no node below may set
}

// Branch is a node with the nodes below it.
type Branch struct {
	Node
	Organisations map[string]Branch `json:"organisations,omitempty"`
}

// RouteSpec is the written form of a Route.
type RouteSpec struct {
	Prefix     string `json:"prefix"`
	Service    string `json:"service"`
	Class      string `json:"class,omitempty"`
	Open       bool   `json:"open,omitempty"`
	Repeatable bool   `json:"repeatable,omitempty"`
}

// Broadcast announces a burst of requests, so that backend servers are ready when it starts.
type Broadcast struct {
	Name              string   `json:"name"`
	Organisation      string   `json:"organisation"`
	Class             string   `json:"class"`
	Start             string   `json:"start"` // RFC 3339
	Duration          Duration `json:"duration"`
	RequestsPerSecond float64  `json:"requests_per_second"`
}

// Globals are the settings that belong to no node.
type Globals struct {
	Routes        []RouteSpec        `json:"routes,omitempty"`
	Models        []string           `json:"models,omitempty"`
	PriceCeilings map[string]float64 `json:"price_ceilings,omitempty"` // per hour, by availability zone
	Broadcasts    []Broadcast        `json:"broadcasts,omitempty"`
}

// Document is the written form of the whole tree without keys.
type Document struct {
	Branch
	Globals
}

// Limits on documents.
const (
	MaxTier        = 15
	MaxAttempts    = 10
	MaxDeadline    = 24 * time.Hour
	MaxWeight      = 1000.0
	MaxFloorShare  = 0.2
	MaxDepth       = 8 // nodes from the root to a leaf
	MaxNameLength  = 64
	MaxClasses     = 32 // per organisation
	MaxNodes       = 20_000
	MaxKeys        = 1000 // per organisation
	maxListedNames = 8    // names shown in a message
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9_-]*$`)

// lockable are the fields that a parent may lock.
var lockable = []string{
	"attempts", "between_token_target", "deadline", "first_token_target", "floor_share", "keep_answer", "limits",
	"preemptible", "repeatable", "tier", "weight",
}

// Parse reads a document in JSON with comments. The problems are all mistakes that it holds.
func Parse(file string, data []byte) (*Document, Problems) {
	doc := &Document{}
	source, problems := strict.Decode(file, data, doc)
	if len(problems) > 0 {
		return doc, problems
	}
	return doc, source.Locate(doc.Validate())
}

// ParseNode reads one node, as an operator writes it.
func ParseNode(text string) (*Node, Problems) {
	node := &Node{}
	_, problems := strict.Decode("", []byte(text), node)
	return node, problems
}

// ParseGlobals reads the settings that belong to no node.
func ParseGlobals(text string) (*Globals, Problems) {
	globals := &Globals{}
	_, problems := strict.Decode("", []byte(text), globals)
	return globals, problems
}

// Validate returns the problems of the document.
func (doc *Document) Validate() Problems {
	var problems Problems
	nodes := doc.Nodes()
	for _, path := range sortedKeys(nodes) {
		problems = append(problems, checkNode(path, nodes[path])...)
	}
	problems = append(problems, checkGlobals(doc.Globals)...)
	if len(problems) > 0 {
		return problems
	}
	_, problems = newTree(Version{}, nodes, doc.Globals)
	return problems
}

// Nodes returns the nodes by their paths. The root has the empty path.
func (doc *Document) Nodes() map[string]Node {
	nodes := make(map[string]Node)
	collectNodes(nodes, "", doc.Branch)
	return nodes
}

func collectNodes(nodes map[string]Node, path string, b Branch) {
	nodes[path] = b.Node
	for name, child := range b.Organisations {
		collectNodes(nodes, childPath(path, name), child)
	}
}

// childPath returns the path of the node name below the node at path.
func childPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "/" + name
}

// parentPath returns the path of the node above path, which is not the root.
func parentPath(path string) string {
	i := strings.LastIndexByte(path, '/')
	if i < 0 {
		return ""
	}
	return path[:i]
}

// fieldPath returns the path within a document of a field of the node at path.
func fieldPath(path string, fields ...string) string {
	var parts []string
	if path != "" {
		for _, name := range strings.Split(path, "/") {
			parts = append(parts, "organisations", name)
		}
	}
	return strings.Join(append(parts, fields...), ".")
}

func problem(path, format string, args ...any) Problem {
	return Problem{Path: path, Message: fmt.Sprintf(format, args...)}
}

func checkNode(path string, n Node) Problems {
	var ps Problems
	if path != "" {
		ps = append(ps, checkPath(path)...)
	}
	if n.Defaults != nil {
		ps = append(ps, checkOverrides(fieldPath(path, "defaults"), *n.Defaults)...)
	}
	for _, name := range sortedKeys(n.Classes) {
		at := fieldPath(path, "classes", name)
		if !validName(name) {
			ps = append(ps, problem(at, "class name %q; expected lower-case letters, digits, - and _", name))
		}
		ps = append(ps, checkOverrides(at, n.Classes[name])...)
	}
	if n.Limits != nil {
		ps = append(ps, checkLimits(fieldPath(path, "limits"), *n.Limits)...)
	}
	for i, field := range n.Locked {
		if !contains(lockable, field) {
			at := strict.Index(fieldPath(path, "locked"), i)
			ps = append(ps, problem(at, "%q can't be locked; expected one of %s", field, strings.Join(lockable, ", ")))
		}
	}
	return ps
}

func checkPath(path string) Problems {
	names := strings.Split(path, "/")
	if len(names) > MaxDepth {
		return Problems{problem(fieldPath(path), "nested %d deep; expected at most %d", len(names), MaxDepth)}
	}
	last := names[len(names)-1]
	if !validName(last) {
		return Problems{problem(fieldPath(path),
			"organisation name %q; expected at most %d lower-case letters, digits, - and _", last, MaxNameLength)}
	}
	return nil
}

func validName(name string) bool { return len(name) <= MaxNameLength && namePattern.MatchString(name) }

func checkOverrides(at string, o Overrides) Problems {
	c := checker{at: at}
	checkRange(&c, "tier", o.Tier, 0, MaxTier)
	checkRange(&c, "attempts", o.Attempts, 1, MaxAttempts)
	checkRange(&c, "weight", o.Weight, 0.001, MaxWeight)
	checkRange(&c, "floor_share", o.FloorShare, 0, MaxFloorShare)
	c.duration("first_token_target", o.FirstTokenTarget)
	c.duration("between_token_target", o.BetweenTokenTarget)
	c.duration("deadline", o.Deadline)
	if o.Limits != nil {
		c.problems = append(c.problems, checkLimits(strict.Join(at, "limits"), *o.Limits)...)
	}
	return c.problems
}

func checkLimits(at string, l LimitSet) Problems {
	c := checker{at: at}
	const most = 1 << 40
	checkRange(&c, "requests_per_minute", l.RequestsPerMinute, 1, most)
	checkRange(&c, "tokens_per_minute", l.TokensPerMinute, 1, most)
	checkRange(&c, "concurrency", l.Concurrency, 1, most)
	return c.problems
}

// checker collects the problems of the fields of one object, which is at the path at.
type checker struct {
	at       string
	problems Problems
}

func checkRange[T int | float64](c *checker, field string, v *T, least, most T) {
	if v != nil && (*v < least || *v > most) {
		c.problems = append(c.problems, problem(strict.Join(c.at, field), "%v is out of range; expected %v to %v", *v, least, most))
	}
}

func (c *checker) duration(field string, v *Duration) {
	if v == nil {
		return
	}
	d := time.Duration(*v)
	if d <= 0 || d > MaxDeadline {
		c.problems = append(c.problems, problem(strict.Join(c.at, field), "%v is out of range; expected more than 0s and at most %v", d, MaxDeadline))
	}
}

func checkGlobals(g Globals) Problems {
	var ps Problems
	seen := make(map[string]bool)
	for i, r := range g.Routes {
		at := strict.Index("routes", i)
		ps = append(ps, checkRoute(at, r)...)
		if seen[r.Prefix] {
			ps = append(ps, problem(at+".prefix", "%q stands twice", r.Prefix))
		}
		seen[r.Prefix] = true
	}
	for i, m := range g.Models {
		if m == "" {
			ps = append(ps, problem(strict.Index("models", i), "empty; expected the name of a model"))
		}
	}
	for _, zone := range sortedKeys(g.PriceCeilings) {
		if g.PriceCeilings[zone] < 0 {
			ps = append(ps, problem("price_ceilings."+zone, "%v is negative; expected a price per hour", g.PriceCeilings[zone]))
		}
	}
	for i, b := range g.Broadcasts {
		ps = append(ps, checkBroadcast(strict.Index("broadcasts", i), b)...)
	}
	return ps
}

func checkRoute(at string, r RouteSpec) Problems {
	var ps Problems
	if !strings.HasPrefix(r.Prefix, "/") || r.Prefix == "/" || strings.HasPrefix(r.Prefix, "/v1/") || r.Prefix == "/v1" {
		ps = append(ps, problem(at+".prefix", "%q; expected a path such as \"/services/orders\", not below /v1", r.Prefix))
	}
	if strings.HasSuffix(r.Prefix, "/") && r.Prefix != "/" {
		ps = append(ps, problem(at+".prefix", "%q ends in a slash; expected none", r.Prefix))
	}
	if r.Service == "" {
		ps = append(ps, problem(at+".service", "missing; expected the name that the service's backend servers announce"))
	}
	if r.Open && r.Class == "" {
		ps = append(ps, problem(at+".class", "missing; an open route needs a class of the root"))
	}
	return ps
}

func checkBroadcast(at string, b Broadcast) Problems {
	var ps Problems
	if _, err := time.Parse(time.RFC3339, b.Start); err != nil {
		ps = append(ps, problem(at+".start", "%q; expected a time such as \"2027-05-01T18:00:00Z\"", b.Start))
	}
	if b.Duration <= 0 {
		ps = append(ps, problem(at+".duration", "missing; expected how long the burst lasts, such as \"20m\""))
	}
	if b.RequestsPerSecond <= 0 {
		ps = append(ps, problem(at+".requests_per_second", "%v; expected more than 0", b.RequestsPerSecond))
	}
	return ps
}

func contains(list []string, s string) bool {
	for _, v := range list {
		if v == s {
			return true
		}
	}
	return false
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}
