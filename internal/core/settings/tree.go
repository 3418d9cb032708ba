package settings

import (
	"fmt"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/juju/errors"
)

// Version is a position in the history of the tree. A restore from a backup begins a new epoch.
type Version struct {
	Epoch   uint64 `json:"epoch"`
	Version uint64 `json:"version"`
}

// Less reports whether v is older than o.
func (v Version) Less(o Version) bool {
	if v.Epoch != o.Epoch {
		return v.Epoch < o.Epoch
	}
	return v.Version < o.Version
}

// String returns the form used in entity tags: epoch.version.
func (v Version) String() string { return fmt.Sprintf("%d.%d", v.Epoch, v.Version) }

// ParseVersion is the inverse of String.
func ParseVersion(s string) (Version, error) {
	var v Version
	if n, err := fmt.Sscanf(s, "%d.%d", &v.Epoch, &v.Version); n != 2 || err != nil || v.String() != s {
		return Version{}, errors.NotValidf("version %q", s)
	}
	return v, nil
}

// Cap is a limit on the sum of a node and all nodes below it.
type Cap struct {
	Node   string // path of the node that sets it
	Limits Limits
}

// Tree is one version of the settings. It is immutable and so safe for concurrent use.
type Tree struct {
	version  Version
	nodes    *shards[*node]
	children *shards[[]string] // names below a path, sorted
	keys     keyring
	globals  Globals
	routes   []Route // longest prefix first
}

// node is an organisation or a group with its effective settings.
type node struct {
	spec    Node
	base    class    // initial values of a class that a node below adds
	classes []class  // highest tier first
	names   []string // of the classes; in a slice of their own, so that a look-up touches less memory
	caps    []Cap    // from the root down
	locked  []lock   // applies to the nodes below
}

// class is the effective settings of a class before its organisation's name is filled in.
type class struct {
	Class
	hasTier bool
}

type lock struct{ field, node string }

// NewTree returns a tree with only an empty root.
func NewTree() *Tree {
	t, _ := newTree(Version{}, map[string]Node{"": {}}, Globals{})
	return t
}

// newTree returns the tree of the nodes, or the problems of their combination.
func newTree(v Version, nodes map[string]Node, globals Globals) (*Tree, Problems) {
	empty := &Tree{nodes: &shards[*node]{}, children: &shards[[]string]{}, keys: newKeyring()}
	delta := Delta{Version: v, Globals: &globals}
	for _, path := range sortedKeys(nodes) {
		n := nodes[path]
		delta.Nodes = append(delta.Nodes, NodeChange{Path: path, Node: &n})
	}
	return empty.Apply(delta)
}

// Version returns the position of the tree.
func (t *Tree) Version() Version { return t.version }

// Class returns the effective settings of a class of an organisation.
func (t *Tree) Class(organisation, name string) (c Class, err error) {
	n, ok := t.nodes.get(organisation)
	if !ok {
		return Class{}, errors.NotFoundf("organisation %q", organisation)
	}
	for i, known := range n.names {
		if known == name {
			c = n.classes[i].Class
			c.Organisation = organisation
			return c, nil
		}
	}
	return Class{}, errors.NotFoundf("class %q of organisation %q", name, organisation)
}

// Classes returns the names of an organisation's classes, highest tier first.
func (t *Tree) Classes(organisation string) []string {
	n, ok := t.nodes.get(organisation)
	if !ok {
		return nil
	}
	return slices.Clone(n.names)
}

// Caps returns the caps that apply to an organisation, its own and those of the nodes above, from the root down.
func (t *Tree) Caps(organisation string) []Cap {
	n, ok := t.nodes.get(organisation)
	if !ok {
		return nil
	}
	return n.caps
}

// HasOrganisation reports whether the tree has a node at path.
func (t *Tree) HasOrganisation(path string) bool {
	_, ok := t.nodes.get(path)
	return ok
}

// Organisations returns the paths of all nodes but the root, sorted.
func (t *Tree) Organisations() []string {
	paths := make([]string, 0, t.nodes.size)
	t.nodes.each(func(path string, _ *node) {
		if path != "" {
			paths = append(paths, path)
		}
	})
	sort.Strings(paths)
	return paths
}

// Node returns what the node at path sets itself.
func (t *Tree) Node(path string) (Node, bool) {
	n, ok := t.nodes.get(path)
	if !ok {
		return Node{}, false
	}
	return n.spec, true
}

// Globals returns the settings that belong to no node.
func (t *Tree) Globals() Globals { return t.globals }

// Document returns the written form of the node at path and all below it.
func (t *Tree) Document(path string) (Branch, bool) {
	n, ok := t.nodes.get(path)
	if !ok {
		return Branch{}, false
	}
	b := Branch{Node: n.spec}
	names, _ := t.children.get(path)
	for _, name := range names {
		if b.Organisations == nil {
			b.Organisations = make(map[string]Branch)
		}
		b.Organisations[name], _ = t.Document(childPath(path, name))
	}
	return b, true
}

// Route returns the route whose prefix covers path.
func (t *Tree) Route(path string) (Route, bool) {
	for _, r := range t.routes {
		rest, ok := strings.CutPrefix(path, r.Prefix)
		if ok && (rest == "" || rest[0] == '/') {
			return r, true
		}
	}
	return Route{}, false
}

// Models returns the names of the models that are served.
func (t *Tree) Models() []string { return t.globals.Models }

// Broadcasts returns the announced bursts.
func (t *Tree) Broadcasts() []Broadcast { return t.globals.Broadcasts }

// PriceCeiling returns the highest price per hour of a backend server in an availability zone, false if none is set.
func (t *Tree) PriceCeiling(zone string) (float64, bool) {
	p, ok := t.globals.PriceCeilings[zone]
	return p, ok
}

// KeyByHash returns the key with the given SHA-256, withdrawn ones included.
func (t *Tree) KeyByHash(h [32]byte) (Key, bool) { return t.keys.byHash.get(string(h[:])) }

// Key returns the key with the given id.
func (t *Tree) Key(id string) (Key, bool) {
	h, ok := t.keys.byID.get(id)
	if !ok {
		return Key{}, false
	}
	return t.KeyByHash(h)
}

// Keys returns the keys of an organisation, oldest first.
func (t *Tree) Keys(organisation string) []Key {
	ids, _ := t.keys.byOrganisation.get(organisation)
	keys := make([]Key, 0, len(ids))
	for _, id := range ids {
		k, _ := t.Key(id)
		keys = append(keys, k)
	}
	return keys
}

// IsUsable reports whether the key is neither withdrawn nor expired at now.
func (k Key) IsUsable(now time.Time) bool {
	return !k.Withdrawn && (k.Expires.IsZero() || now.Before(k.Expires))
}

// builder builds a tree from another one and a delta.
type builder struct {
	nodes    *editor[*node]
	children *editor[[]string]
	added    map[string][]string // names of new nodes, by their parent
	problems Problems
}

// Apply returns the tree after delta, or the problems for which delta is refused. t is not changed.
func (t *Tree) Apply(delta Delta) (*Tree, Problems) {
	next := *t
	next.version = delta.Version
	next.keys = t.keys.apply(delta.Keys, delta.RemovedKeys)
	if len(delta.Nodes) > 0 {
		b := &builder{nodes: t.nodes.edit(), children: t.children.edit(), added: make(map[string][]string)}
		b.applyChanges(delta.Nodes)
		next.nodes, next.children = b.nodes.next, b.children.next
		if len(b.problems) > 0 {
			return nil, b.problems
		}
	}
	if delta.Globals != nil {
		next.globals = *delta.Globals
		next.routes = routesOf(next.globals.Routes)
	}
	if problems := next.checkReferences(delta); len(problems) > 0 {
		return nil, problems
	}
	return &next, nil
}

func (b *builder) applyChanges(changes []NodeChange) {
	changed := make(map[string]bool, len(changes))
	for _, c := range changes {
		if c.Node == nil {
			b.remove(c.Path)
			continue
		}
		changed[c.Path] = true
		b.putNode(c.Path, *c.Node)
	}
	b.linkChildren()
	if b.nodes.next.size > MaxNodes {
		b.problems = append(b.problems, problem("organisations", "%d organisations; expected at most %d", b.nodes.next.size, MaxNodes))
		return
	}
	for _, path := range sortedKeys(changed) {
		if !hasChangedAncestor(changed, path) {
			b.resolve(path)
		}
	}
}

func hasChangedAncestor(changed map[string]bool, path string) bool {
	for path != "" {
		path = parentPath(path)
		if changed[path] {
			return true
		}
	}
	return false
}

func (b *builder) remove(path string) {
	b.nodes.remove(path)
	b.children.remove(path)
	parent, name := parentPath(path), path[strings.LastIndexByte(path, '/')+1:]
	names, _ := b.children.next.get(parent)
	i := sort.SearchStrings(names, name)
	if i == len(names) || names[i] != name {
		return
	}
	rest := append(append([]string(nil), names[:i]...), names[i+1:]...)
	b.children.set(parent, rest)
}

func (b *builder) putNode(path string, spec Node) {
	if _, ok := b.nodes.next.get(path); !ok && path != "" {
		parent := parentPath(path)
		b.added[parent] = append(b.added[parent], path[strings.LastIndexByte(path, '/')+1:])
	}
	b.nodes.set(path, &node{spec: spec})
}

// linkChildren adds the names of new nodes to the child lists of their parents.
func (b *builder) linkChildren() {
	for _, parent := range sortedKeys(b.added) {
		names, _ := b.children.next.get(parent)
		all := slices.Concat(names, b.added[parent])
		sort.Strings(all)
		b.children.set(parent, slices.Compact(all))
	}
}

// resolve computes the effective settings of the node at path and all below it.
func (b *builder) resolve(path string) {
	parent := &node{base: class{Class: initialClass}}
	if path != "" {
		above, ok := b.nodes.next.get(parentPath(path))
		if !ok {
			b.problems = append(b.problems, problem(fieldPath(path), "there is no organisation %q to put it below", parentPath(path)))
			return
		}
		parent = above
	}
	b.resolveSubtree(path, parent)
}

func (b *builder) resolveSubtree(path string, parent *node) {
	old, _ := b.nodes.next.get(path)
	n, problems := inherit(path, old.spec, parent)
	b.problems = append(b.problems, problems...)
	b.nodes.set(path, n)
	names, _ := b.children.next.get(path)
	for _, name := range names {
		b.resolveSubtree(childPath(path, name), n)
	}
}

// inherit returns the node of spec as a child of parent. A node that sets nothing shares its parent's slices.
func inherit(path string, spec Node, parent *node) (*node, Problems) {
	n := &node{spec: spec, base: parent.base, classes: parent.classes, names: parent.names, caps: parent.caps, locked: parent.locked}
	problems := checkLocks(path, spec, parent.locked)
	if spec.Limits != nil {
		caps := append([]Cap(nil), parent.caps...)
		n.caps = append(caps, Cap{Node: path, Limits: effectiveLimits(*spec.Limits)})
	}
	for _, f := range spec.Locked {
		n.locked = append(n.locked[:len(n.locked):len(n.locked)], lock{field: f, node: path})
	}
	if spec.Defaults == nil && len(spec.Classes) == 0 && spec.Limits == nil {
		return n, problems
	}
	override(&n.base, spec.Defaults)
	n.classes = inheritClasses(spec, parent, n)
	n.names = namesOf(n.classes, parent.names)
	return n, append(problems, checkClasses(path, n)...)
}

func inheritClasses(spec Node, parent, n *node) []class {
	classes := make([]class, 0, len(parent.classes)+len(spec.Classes))
	known := make(map[string]bool, len(parent.classes))
	for _, c := range parent.classes {
		known[c.Name] = true
		classes = append(classes, c)
	}
	for _, name := range sortedKeys(spec.Classes) {
		if !known[name] {
			c := parent.base
			c.Name = name
			classes = append(classes, c)
		}
	}
	for i := range classes {
		c := &classes[i]
		override(c, spec.Defaults)
		if o, ok := spec.Classes[c.Name]; ok {
			override(c, &o)
		}
		for _, bound := range n.caps {
			c.Limits = c.Limits.capped(bound.Limits)
		}
	}
	sort.SliceStable(classes, func(i, j int) bool {
		if classes[i].Tier != classes[j].Tier {
			return classes[i].Tier < classes[j].Tier
		}
		return classes[i].Name < classes[j].Name
	})
	return classes
}

// namesOf returns the names of classes. It returns the parent's slice if the names are the same, to save memory.
func namesOf(classes []class, parent []string) []string {
	names := make([]string, len(classes))
	for i := range classes {
		names[i] = classes[i].Name
	}
	if slices.Equal(names, parent) {
		return parent
	}
	return names
}

func override(c *class, o *Overrides) {
	applyOverrides(&c.Class, o)
	c.hasTier = c.hasTier || (o != nil && o.Tier != nil)
}

func checkClasses(path string, n *node) Problems {
	var ps Problems
	if len(n.classes) > MaxClasses {
		ps = append(ps, problem(fieldPath(path, "classes"), "%d classes; expected at most %d", len(n.classes), MaxClasses))
	}
	for i := range n.classes {
		for _, message := range checkClass(&n.classes[i]) {
			ps = append(ps, Problem{Path: fieldPath(path, "classes", n.classes[i].Name), Message: message})
		}
	}
	return ps
}

// checkClass validates the effective settings of a class.
func checkClass(c *class) []string {
	var messages []string
	if !c.hasTier {
		messages = append(messages, "class without a tier; expected \"tier\" here, in the defaults or above")
	}
	if c.FirstTokenTarget > c.Deadline {
		messages = append(messages, fmt.Sprintf("first_token_target %v is longer than the deadline %v", c.FirstTokenTarget, c.Deadline))
	}
	if c.BetweenTokenTarget > c.Deadline {
		messages = append(messages, fmt.Sprintf("between_token_target %v is longer than the deadline %v", c.BetweenTokenTarget, c.Deadline))
	}
	return messages
}

func checkLocks(path string, spec Node, locked []lock) Problems {
	var ps Problems
	for _, l := range locked {
		ps = append(ps, checkLock(fieldPath(path, "defaults"), spec.Defaults, l)...)
		for _, name := range sortedKeys(spec.Classes) {
			o := spec.Classes[name]
			ps = append(ps, checkLock(fieldPath(path, "classes", name), &o, l)...)
		}
		if l.field == "limits" && spec.Limits != nil {
			ps = append(ps, problem(fieldPath(path, "limits"), "locked by %s", displayPath(l.node)))
		}
	}
	return ps
}

func checkLock(at string, o *Overrides, l lock) Problems {
	if o == nil {
		return nil
	}
	for _, f := range fields {
		if f.lockName() == l.field && f.isSet(o) {
			return Problems{problem(at+"."+f.name, "locked by %s", displayPath(l.node))}
		}
	}
	return nil
}

func displayPath(path string) string {
	if path == "" {
		return "the root"
	}
	return fmt.Sprintf("%q", path)
}

// checkReferences checks that the classes and organisations named by open routes and broadcasts exist. It checks broadcasts only
// when they change.
func (t *Tree) checkReferences(delta Delta) Problems {
	var ps Problems
	for _, r := range t.globals.Routes {
		if !r.Open || (delta.Globals == nil && len(delta.Nodes) == 0) {
			continue
		}
		if _, err := t.Class("", r.Class); err != nil {
			ps = append(ps, problem("routes", "open route %q names class %q, which the root doesn't have", r.Prefix, r.Class))
		}
	}
	if delta.Globals == nil {
		return ps
	}
	for _, b := range t.globals.Broadcasts {
		if _, err := t.Class(b.Organisation, b.Class); err != nil {
			ps = append(ps, problem("broadcasts", "broadcast %q: %v", b.Name, err))
		}
	}
	return ps
}

func routesOf(specs []RouteSpec) []Route {
	routes := make([]Route, len(specs))
	for i, s := range specs {
		routes[i] = Route(s)
	}
	sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	return routes
}
