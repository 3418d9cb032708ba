package control

import (
	"context"
	"encoding/json"
	"sync"

	"github.com/guavastack/guavastack/internal/core/settings"
	"github.com/guavastack/guavastack/proto/controlpb"
)

// hub gives all watchers the newest settings: each change and each snapshot is encoded once.
type hub struct {
	group  Group
	module *settings.Module

	mu       sync.Mutex
	tree     *settings.Tree
	changes  []*controlpb.Change // the newest ones, in order, up to tree
	snapshot []byte              // of tree; nil until somebody needs it
	changed  chan struct{}
}

func newHub(group Group, module *settings.Module) *hub {
	return &hub{group: group, module: module, tree: settings.NewTree(), changed: make(chan struct{})}
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

// refresh takes over what the group has applied.
func (h *hub) refresh() {
	h.mu.Lock()
	defer h.mu.Unlock()
	var tree *settings.Tree
	var deltas []settings.Delta
	var ok bool
	h.group.View(func() {
		tree = h.module.Tree()
		deltas, ok = h.module.DeltasSince(h.tree.Version())
	})
	if !h.tree.Version().Less(tree.Version()) {
		return
	}
	changes, err := encodeDeltas(deltas)
	if !ok || err != nil {
		h.changes = nil
	} else {
		h.changes = append(h.changes, changes...)
	}
	if extra := len(h.changes) - settings.MaxRecentDeltas; extra > 0 {
		h.changes = append([]*controlpb.Change(nil), h.changes[extra:]...)
	}
	h.tree, h.snapshot = tree, nil
	close(h.changed)
	h.changed = make(chan struct{})
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

// newest returns the newest tree and a channel that is closed when there is a newer one.
func (h *hub) newest() (*settings.Tree, <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.tree, h.changed
}

// since returns what a watcher at version have needs to reach the newest version: changes, or a snapshot on a gap, or
// nothing. A watcher that is ahead of this member gets nothing.
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
