package settings

import (
	"encoding/json"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/guavastack/guavastack/internal/core/state"
	"github.com/juju/errors"
)

// Limits on what the module keeps besides the tree.
const (
	MaxHistory      = 4096     // entries
	MaxOutcomes     = 8192     // outcomes by change id
	MaxRecentDeltas = 1024     // deltas for watchers that lag
	MaxBeforeBytes  = 16 << 20 // of what changes replaced, for rollback
	MaxProblems     = 100      // in one outcome
)

// Module is the settings module of the replicated state machine. It is not safe for concurrent use, but the trees that
// it returns are.
type Module struct {
	tree         *Tree
	history      []HistoryEntry
	beforeBytes  int // bytes of history[i].Before
	outcomes     []storedOutcome
	outcomeByID  map[string]int // change id → sequence number of its outcome
	evicted      int            // number of outcomes evicted, which is the sequence number of the first one in the list
	recentDeltas []Delta
}

// storedOutcome is the outcome of a command, stored so that a resend of the command returns it again.
type storedOutcome struct {
	ChangeID string  `json:"change_id"`
	Digest   string  `json:"digest"`
	Outcome  Outcome `json:"outcome"`
}

// NewModule returns a module with an empty tree.
func NewModule() *Module {
	return &Module{tree: NewTree(), outcomeByID: make(map[string]int)}
}

// Name returns ModuleName.
func (m *Module) Name() string { return ModuleName }

// Tree returns the current tree.
func (m *Module) Tree() *Tree { return m.tree }

// History returns up to limit changes, newest first.
func (m *Module) History(limit int) []HistoryEntry {
	var out []HistoryEntry
	for i := len(m.history) - 1; i >= 0 && len(out) < limit; i-- {
		entry := m.history[i]
		entry.Before = nil
		out = append(out, entry)
	}
	return out
}

// DeltasSince returns the changes after v in order. ok is false if they are no longer kept or v is unknown.
func (m *Module) DeltasSince(v Version) (deltas []Delta, ok bool) {
	current := m.tree.Version()
	if v == current {
		return nil, true
	}
	if v.Epoch != current.Epoch || v.Version > current.Version {
		return nil, false
	}
	behind := int(current.Version - v.Version)
	if behind > len(m.recentDeltas) {
		return nil, false
	}
	return m.recentDeltas[len(m.recentDeltas)-behind:], true
}

// Apply executes a Command. A resent command, which has the change id of an earlier one, returns the first outcome.
func (m *Module) Apply(_ uint64, cmd state.Command) (json.RawMessage, error) {
	var c Command
	if err := json.Unmarshal(cmd.Body, &c); err != nil {
		return nil, errors.NewNotValid(err, "settings command")
	}
	digest := digestOf(cmd.Body)
	if first, ok := m.outcome(c.ChangeID); ok {
		if first.Digest != digest {
			return json.Marshal(m.refuse(CodeReused, "change id %q belongs to another change", c.ChangeID))
		}
		return json.Marshal(first.Outcome)
	}
	outcome := m.execute(c, cmd)
	m.storeOutcome(storedOutcome{ChangeID: c.ChangeID, Digest: digest, Outcome: outcome})
	return json.Marshal(outcome)
}

func digestOf(body []byte) string { return strconv.FormatUint(xxhash.Sum64(body), 16) }

func (m *Module) outcome(changeID string) (storedOutcome, bool) {
	n, ok := m.outcomeByID[changeID]
	if !ok || changeID == "" {
		return storedOutcome{}, false
	}
	return m.outcomes[n-m.evicted], true
}

func (m *Module) storeOutcome(outcome storedOutcome) {
	if outcome.ChangeID == "" {
		return
	}
	m.outcomeByID[outcome.ChangeID] = m.evicted + len(m.outcomes)
	m.outcomes = append(m.outcomes, outcome)
	if len(m.outcomes) > MaxOutcomes {
		delete(m.outcomeByID, m.outcomes[0].ChangeID)
		m.outcomes = m.outcomes[1:]
		m.evicted++
	}
}

// refuse returns the outcome of a command that is refused for one reason.
func (m *Module) refuse(code Code, format string, args ...any) Outcome {
	return Outcome{Version: m.tree.Version(), Code: code, Message: problem("", format, args...).Message}
}

// invalid returns the outcome of a command that is refused for problems, of which it has at most MaxProblems.
func (m *Module) invalid(problems Problems) Outcome {
	if len(problems) > MaxProblems {
		problems = problems[:MaxProblems]
	}
	return Outcome{Version: m.tree.Version(), Code: CodeInvalid, Message: "the change is not valid", Problems: problems}
}

// execute computes the change of a command, validates it against the tree and applies it.
func (m *Module) execute(c Command, cmd state.Command) Outcome {
	if c.IfMatch != "" && c.IfMatch != m.tree.Version().String() {
		return m.refuse(CodeConflict, "the current version is %s, not %s", m.tree.Version(), c.IfMatch)
	}
	delta, refusal := m.plan(c, cmd.AtMS)
	if refusal != nil {
		return *refusal
	}
	delta.Version = m.tree.Version()
	delta.Version.Version++
	before := m.inverse(delta)
	next, problems := m.tree.Apply(delta)
	if len(problems) > 0 {
		return m.invalid(problems)
	}
	m.tree = next
	m.recordChange(delta, HistoryEntry{
		Version: delta.Version, AtMS: cmd.AtMS, Actor: cmd.Actor, ChangeID: c.ChangeID, Op: c.Op, Path: c.Path, KeyID: c.KeyID, Before: before,
	})
	return Outcome{Accepted: true, Version: delta.Version}
}

// inverse returns the delta that would undo the changes of delta to nodes and globals, nil if it changes neither.
func (m *Module) inverse(delta Delta) *Delta {
	if len(delta.Nodes) == 0 && delta.Globals == nil {
		return nil
	}
	before := &Delta{Version: m.tree.Version()}
	for _, change := range delta.Nodes {
		undo := NodeChange{Path: change.Path}
		if old, ok := m.tree.Node(change.Path); ok {
			undo.Node = &old
		}
		before.Nodes = append(before.Nodes, undo)
	}
	if delta.Globals != nil {
		old := m.tree.Globals()
		before.Globals = &old
	}
	return before
}

func (m *Module) recordChange(delta Delta, entry HistoryEntry) {
	m.recentDeltas = append(m.recentDeltas, delta)
	if len(m.recentDeltas) > MaxRecentDeltas {
		m.recentDeltas = m.recentDeltas[1:]
	}
	m.history = append(m.history, entry)
	m.beforeBytes += sizeOf(entry.Before)
	if len(m.history) > MaxHistory {
		m.beforeBytes -= sizeOf(m.history[0].Before)
		m.history = m.history[1:]
	}
	for i := 0; m.beforeBytes > MaxBeforeBytes && i < len(m.history); i++ {
		m.beforeBytes -= sizeOf(m.history[i].Before)
		m.history[i].Before = nil
	}
}

// sizeOf returns the size of d in a snapshot, in bytes.
func sizeOf(d *Delta) int {
	if d == nil {
		return 0
	}
	data, err := json.Marshal(d)
	if err != nil {
		return 0
	}
	return len(data)
}

// plan returns the changes that a command makes, or the outcome that refuses it.
func (m *Module) plan(c Command, atMS int64) (Delta, *Outcome) {
	switch c.Op {
	case PutNode:
		return m.planPut(c)
	case PatchNode:
		return m.planPatch(c)
	case RemoveNode:
		return m.planRemove(c)
	case PutDocument:
		return m.planDocument(c)
	case PutGlobals:
		globals, problems := ParseGlobals(c.Globals)
		problems = append(problems, checkGlobals(*globals)...)
		return Delta{Globals: globals}, m.refusal(problems)
	case CreateKey:
		return m.planCreateKey(c, atMS)
	case WithdrawKey, ExpireKey:
		return m.planChangeKey(c)
	case RotateKey:
		return m.planRotateKey(c, atMS)
	case Rollback:
		return m.planRollback(c)
	default:
		return Delta{}, m.refusal(Problems{problem("op", "unknown command %q", c.Op)})
	}
}

// refusal returns the outcome of a command that is refused for problems, nil if there are none.
func (m *Module) refusal(problems Problems) *Outcome {
	if len(problems) == 0 {
		return nil
	}
	o := m.invalid(problems)
	return &o
}

func (m *Module) notFound(format string, args ...any) (Delta, *Outcome) {
	o := m.refuse(CodeNotFound, format, args...)
	return Delta{}, &o
}

func (m *Module) planPut(c Command) (Delta, *Outcome) {
	node, problems := ParseNode(c.Node)
	return m.planNode(c.Path, node, problems)
}

func (m *Module) planNode(path string, node *Node, problems Problems) (Delta, *Outcome) {
	if len(problems) == 0 {
		problems = checkNode(path, *node)
	}
	return Delta{Nodes: []NodeChange{{Path: path, Node: node}}}, m.refusal(problems)
}

func (m *Module) planPatch(c Command) (Delta, *Outcome) {
	old, ok := m.tree.Node(c.Path)
	if !ok {
		return m.notFound("there is no organisation %q", c.Path)
	}
	merged, err := mergePatch(old, c.Node)
	if err != nil {
		return Delta{}, m.refusal(Problems{problem("node", "%v", err)})
	}
	node, problems := ParseNode(merged)
	return m.planNode(c.Path, node, problems)
}

func (m *Module) planRemove(c Command) (Delta, *Outcome) {
	if _, ok := m.tree.Node(c.Path); !ok || c.Path == "" {
		return m.notFound("there is no organisation %q that can be removed", c.Path)
	}
	if below, _ := m.tree.children.get(c.Path); len(below) > 0 {
		return Delta{}, m.refusal(Problems{problem(fieldPath(c.Path), "has organisations below it: %s", strings.Join(shortenNames(below), ", "))})
	}
	return Delta{Nodes: []NodeChange{{Path: c.Path}}, Keys: m.withdrawnKeys(c.Path)}, nil
}

// shortenNames shortens a list of names for an error message.
func shortenNames(names []string) []string {
	if len(names) > maxListedNames {
		return append(names[:maxListedNames:maxListedNames], "…")
	}
	return names
}

// withdrawnKeys returns the keys of an organisation that are not withdrawn yet, marked as withdrawn.
func (m *Module) withdrawnKeys(organisation string) []Key {
	var keys []Key
	for _, k := range m.tree.Keys(organisation) {
		if !k.Withdrawn {
			k.Withdrawn = true
			keys = append(keys, k)
		}
	}
	return keys
}

func (m *Module) planDocument(c Command) (Delta, *Outcome) {
	doc, problems := Parse("", []byte(c.Document))
	if len(problems) > 0 {
		return Delta{}, m.refusal(problems)
	}
	nodes := doc.Nodes()
	delta := Delta{Globals: &doc.Globals}
	for _, path := range m.tree.Organisations() {
		if _, ok := nodes[path]; !ok {
			delta.Nodes = append(delta.Nodes, NodeChange{Path: path})
			delta.Keys = append(delta.Keys, m.withdrawnKeys(path)...)
		}
	}
	for _, path := range sortedKeys(nodes) {
		n := nodes[path]
		delta.Nodes = append(delta.Nodes, NodeChange{Path: path, Node: &n})
	}
	return delta, nil
}

func (m *Module) planCreateKey(c Command, atMS int64) (Delta, *Outcome) {
	if !m.tree.HasOrganisation(c.Path) || c.Path == "" {
		return m.notFound("there is no organisation %q", c.Path)
	}
	key, refusal := m.newKey(c.KeyID, c.KeyHash, c.Path)
	key.Expires = expiry(c.ExpiresMS)
	return Delta{Keys: []Key{key}, RemovedKeys: m.tree.longExpired(c.Path, atMS)}, refusal
}

func (m *Module) newKey(id, hash, organisation string) (Key, *Outcome) {
	h, err := parseHash(hash)
	if err != nil || id == "" {
		return Key{}, m.refusal(Problems{problem("key_hash", "expected an id and a SHA-256 in hexadecimal")})
	}
	if n := len(m.tree.Keys(organisation)); n >= MaxKeys {
		return Key{}, m.refusal(Problems{problem(fieldPath(organisation), "%d keys; expected at most %d", n, MaxKeys)})
	}
	_, idTaken := m.tree.Key(id)
	_, hashTaken := m.tree.KeyByHash(h)
	if idTaken || hashTaken {
		o := m.refuse(CodeExists, "key %q exists", id)
		return Key{}, &o
	}
	return Key{ID: id, Organisation: organisation, Hash: h}, nil
}

func (m *Module) planChangeKey(c Command) (Delta, *Outcome) {
	key, ok := m.tree.Key(c.KeyID)
	if !ok || (c.Path != "" && key.Organisation != c.Path) {
		return m.notFound("there is no key %q", c.KeyID)
	}
	if c.Op == ExpireKey {
		key.Expires = expiry(c.ExpiresMS)
		return Delta{Keys: []Key{key}}, nil
	}
	delta := Delta{}
	if !key.Withdrawn {
		delta.RemovedKeys = m.tree.excessWithdrawnKeys(key.Organisation)
	}
	key.Withdrawn = true
	delta.Keys = []Key{key}
	return delta, nil
}

// planRotateKey adds a new key and makes the old one expire after the overlap.
func (m *Module) planRotateKey(c Command, atMS int64) (Delta, *Outcome) {
	old, ok := m.tree.Key(c.KeyID)
	if !ok || old.Withdrawn || (c.Path != "" && old.Organisation != c.Path) {
		return m.notFound("there is no key %q in use", c.KeyID)
	}
	key, refusal := m.newKey(c.NewKeyID, c.KeyHash, old.Organisation)
	key.Expires = old.Expires
	end := expiry(c.ExpiresMS)
	if old.Expires.IsZero() || end.Before(old.Expires) {
		old.Expires = end
	}
	return Delta{Keys: []Key{old, key}, RemovedKeys: without(m.tree.longExpired(old.Organisation, atMS), old.ID)}, refusal
}

// planRollback undoes the changes after version To as one new change. Entries are read from the newest to the oldest, so
// that the state before the oldest change wins.
func (m *Module) planRollback(c Command) (Delta, *Outcome) {
	to, err := ParseVersion(c.To)
	if err != nil || m.tree.Version().Less(to) {
		return m.notFound("there is no version %q", c.To)
	}
	var delta Delta
	nodes := make(map[string]NodeChange)
	oldest := m.tree.Version()
	for i := len(m.history) - 1; i >= 0 && to.Less(m.history[i].Version); i-- {
		entry := m.history[i]
		oldest = entry.Version
		if entry.Before == nil {
			if !changesKeysOnly(entry.Op) {
				return m.notFound("version %q is too old to roll back to", c.To)
			}
			continue
		}
		for _, change := range entry.Before.Nodes {
			nodes[change.Path] = change
		}
		if entry.Before.Globals != nil {
			delta.Globals = entry.Before.Globals
		}
	}
	if to.Less(m.tree.Version()) && oldest.Version != to.Version+1 {
		return m.notFound("version %q is too old to roll back to", c.To)
	}
	for _, path := range sortedKeys(nodes) {
		delta.Nodes = append(delta.Nodes, nodes[path])
		if nodes[path].Node == nil {
			delta.Keys = append(delta.Keys, m.withdrawnKeys(path)...)
		}
	}
	return delta, nil
}

func changesKeysOnly(op Op) bool {
	switch op {
	case CreateKey, WithdrawKey, ExpireKey, RotateKey:
		return true
	}
	return false
}

// moduleJSON is the stored form of a Module.
type moduleJSON struct {
	Tree     *Tree           `json:"tree"`
	History  []HistoryEntry  `json:"history,omitempty"`
	Outcomes []storedOutcome `json:"outcomes,omitempty"`
	Recent   []Delta         `json:"recent,omitempty"`
}

// Snapshot returns the whole state of the module.
func (m *Module) Snapshot() (json.RawMessage, error) {
	return json.Marshal(moduleJSON{Tree: m.tree, History: m.history, Outcomes: m.outcomes, Recent: m.recentDeltas})
}

// Restore replaces the state of the module.
func (m *Module) Restore(data json.RawMessage) error {
	var j struct {
		moduleJSON
		Tree json.RawMessage `json:"tree"`
	}
	if err := json.Unmarshal(data, &j); err != nil {
		return errors.NewNotValid(err, "settings snapshot")
	}
	tree, err := ParseTree(j.Tree)
	if err != nil {
		return errors.Trace(err)
	}
	*m = Module{tree: tree, history: j.History, recentDeltas: j.Recent, outcomeByID: make(map[string]int)}
	for _, entry := range m.history {
		m.beforeBytes += sizeOf(entry.Before)
	}
	for _, k := range j.Outcomes {
		m.storeOutcome(k)
	}
	return nil
}

// Rebase returns snapshot with its version moved to a new epoch, for a restore from a backup. The epoch must be above
// that of the snapshot.
func Rebase(snapshot json.RawMessage, epoch uint64) (json.RawMessage, error) {
	m := NewModule()
	if err := m.Restore(snapshot); err != nil {
		return nil, errors.Trace(err)
	}
	if epoch <= m.tree.version.Epoch {
		return nil, errors.NotValidf("epoch %d, which is not above %d,", epoch, m.tree.version.Epoch)
	}
	tree := *m.tree
	tree.version.Epoch = epoch
	m.tree, m.recentDeltas = &tree, nil
	return m.Snapshot()
}
