package control

import (
	"context"
	"encoding/json"
	"sync"

	"github.com/guavastack/guavastack/internal/core/catalog"
	"github.com/guavastack/guavastack/internal/core/poison"
	"github.com/guavastack/guavastack/internal/core/settings"
	"github.com/guavastack/guavastack/internal/core/zonedrain"
	"github.com/guavastack/guavastack/proto/controlpb"
)

// hub distributes the newest settings and catalog to the watchers. Each change and each snapshot is encoded once for all of them.
type hub struct {
	group   Group
	module  *settings.Module
	catalog *catalog.Module   // nil: none
	poison  *poison.Module    // nil: none
	drain   *zonedrain.Module // nil: none

	mu       sync.Mutex
	tree     *settings.Tree
	changes  []*controlpb.Change // the latest changes, in order, ending at tree
	snapshot []byte              // encoded tree; nil until a watcher needs it
	document document
	parts    *poison.List
	drains   zoneDrains
	changed  chan struct{}
}

// document is one version of the catalog.
type document struct {
	version uint64
	data    []byte // compressed
}

// position is a version of the settings, one of the catalog and one of the list of drains.
type position struct {
	settings settings.Version
	catalog  uint64
	drains   settings.Version
}

// reaches reports whether p is at least o in all versions.
func (p position) reaches(o position) bool {
	return !p.settings.Less(o.settings) && p.catalog >= o.catalog && !p.drains.Less(o.drains)
}

func newHub(cfg Config) *hub {
	return &hub{
		group: cfg.Group, module: cfg.Settings, catalog: cfg.Catalog, poison: cfg.Poison, drain: cfg.ZoneDrains,
		tree: settings.NewTree(), parts: &poison.List{}, drains: newZoneDrains(0, &zonedrain.List{}), changed: make(chan struct{}),
	}
}

func (h *hub) run(ctx context.Context) {
	events, cancel := h.group.Applied()
	defer cancel()
	h.refresh()
	for {
		select {
		case <-ctx.Done():
			return
		case <-events:
			h.refresh()
		}
	}
}

// refresh updates the hub to the state that this member has applied, and wakes the watchers if it changed.
func (h *hub) refresh() {
	h.mu.Lock()
	defer h.mu.Unlock()
	var tree *settings.Tree
	var deltas []settings.Delta
	var ok bool
	var doc document
	parts, drains := h.parts, h.drains
	h.group.View(func() {
		tree = h.module.Tree()
		deltas, ok = h.module.DeltasSince(h.tree.Version())
		if h.catalog != nil {
			doc = document{h.catalog.Version(), h.catalog.Document()}
		}
		if h.poison != nil {
			parts = h.poison.List()
		}
		if h.drain != nil {
			drains = newZoneDrains(tree.Version().Epoch, h.drain.List())
		}
	})
	changed := h.advanceTree(tree, deltas, ok)
	if doc.version > h.document.version {
		h.document, changed = doc, true
	}
	changed = changed || parts.Version != h.parts.Version
	h.parts = parts
	if h.drains.version.Less(drains.version) {
		h.drains, changed = drains, true
	}
	if changed {
		close(h.changed)
		h.changed = make(chan struct{})
	}
}

// advanceTree stores tree if it is newer than the current one, and reports whether it is. complete is true if deltas lead
// from the current tree to the new one without a gap.
func (h *hub) advanceTree(tree *settings.Tree, deltas []settings.Delta, complete bool) bool {
	if !h.tree.Version().Less(tree.Version()) {
		return false
	}
	changes, err := encodeDeltas(deltas)
	if !complete || err != nil {
		h.changes = nil
	} else {
		h.changes = append(h.changes, changes...)
	}
	if extra := len(h.changes) - settings.MaxRecentDeltas; extra > 0 {
		h.changes = append([]*controlpb.Change(nil), h.changes[extra:]...)
	}
	h.tree, h.snapshot = tree, nil
	return true
}

// position returns the newest position.
func (h *hub) position() position {
	h.mu.Lock()
	defer h.mu.Unlock()
	return position{settings: h.tree.Version(), catalog: h.document.version, drains: h.drains.version}
}

// newestDocument returns the newest version of the catalog.
func (h *hub) newestDocument() document {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.document
}

// promptParts returns the newest list of suspected and blocked parts of prompts.
func (h *hub) promptParts() *poison.List {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.parts
}

func encodeDeltas(deltas []settings.Delta) ([]*controlpb.Change, error) {
	changes := make([]*controlpb.Change, len(deltas))
	for i, d := range deltas {
		data, err := json.Marshal(d)
		if err != nil {
			return nil, err
		}
		changes[i] = &controlpb.Change{Version: d.Version.Version, Command: data}
	}
	return changes, nil
}

// newest returns the newest tree and a channel that is closed at the next change of the settings, the catalog, the list of prompt
// parts or the list of drains.
func (h *hub) newest() (*settings.Tree, <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.tree, h.changed
}

// since returns the changes that lead from version have to the newest version, or a snapshot if some of them are no
// longer kept. It returns neither if have is at or ahead of this member's version.
func (h *hub) since(have settings.Version) (newest settings.Version, changes []*controlpb.Change, snapshot []byte, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	newest = h.tree.Version()
	if !have.Less(newest) {
		return newest, nil, nil, nil
	}
	behind := newest.Version - have.Version
	if have.Epoch == newest.Epoch && behind <= uint64(len(h.changes)) {
		return newest, h.changes[uint64(len(h.changes))-behind:], nil, nil
	}
	if h.snapshot == nil {
		if h.snapshot, err = json.Marshal(h.tree); err != nil {
			return newest, nil, nil, err
		}
	}
	return newest, nil, h.snapshot, nil
}
