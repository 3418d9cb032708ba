package settings

import (
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/juju/errors"
)

// NodeChange adds or replaces a node, or removes it if Node is nil.
type NodeChange struct {
	Path string `json:"path"`
	Node *Node  `json:"node,omitempty"`
}

// Delta is the change made by one accepted command. It is all that a watcher has to apply to its copy of the tree.
type Delta struct {
	Version     Version      `json:"version"` // after the change
	Nodes       []NodeChange `json:"nodes,omitempty"`
	Globals     *Globals     `json:"globals,omitempty"`
	Keys        []Key        `json:"keys,omitempty"`
	RemovedKeys []string     `json:"removed_keys,omitempty"` // ids
}

// keyJSON is the stored form of a Key.
type keyJSON struct {
	ID           string `json:"id"`
	Organisation string `json:"organisation"`
	Hash         string `json:"hash"` // hexadecimal
	ExpiresMS    int64  `json:"expires_ms,omitempty"`
	Withdrawn    bool   `json:"withdrawn,omitempty"`
}

// MarshalJSON returns the stored form.
func (k Key) MarshalJSON() ([]byte, error) {
	j := keyJSON{ID: k.ID, Organisation: k.Organisation, Hash: hex.EncodeToString(k.Hash[:]), Withdrawn: k.Withdrawn}
	if !k.Expires.IsZero() {
		j.ExpiresMS = k.Expires.UnixMilli()
	}
	return json.Marshal(j)
}

// UnmarshalJSON is the inverse of MarshalJSON.
func (k *Key) UnmarshalJSON(data []byte) error {
	var j keyJSON
	if err := json.Unmarshal(data, &j); err != nil {
		return err
	}
	hash, err := parseHash(j.Hash)
	if err != nil {
		return err
	}
	*k = Key{ID: j.ID, Organisation: j.Organisation, Hash: hash, Expires: expiry(j.ExpiresMS), Withdrawn: j.Withdrawn}
	return nil
}

func parseHash(s string) ([32]byte, error) {
	var h [32]byte
	b, err := hex.DecodeString(s)
	if err != nil || len(b) != len(h) {
		return h, errors.NotValidf("key hash")
	}
	copy(h[:], b)
	return h, nil
}

// expiry returns the expiry time of a key for ms, milliseconds since 1970. 0 means never and gives the zero time.
func expiry(ms int64) time.Time {
	if ms == 0 {
		return time.Time{}
	}
	return time.UnixMilli(ms).UTC()
}

// treeJSON is the stored form of a Tree.
type treeJSON struct {
	Version Version  `json:"version"`
	Root    Branch   `json:"root"`
	Globals *Globals `json:"globals,omitempty"`
	Keys    []Key    `json:"keys,omitempty"`
}

// MarshalJSON returns the whole tree with the hashes of its keys: the snapshot that a watcher starts from.
func (t *Tree) MarshalJSON() ([]byte, error) {
	root, _ := t.Document("")
	j := treeJSON{Version: t.version, Root: root, Globals: &t.globals}
	for _, o := range append([]string{""}, t.Organisations()...) {
		j.Keys = append(j.Keys, t.Keys(o)...)
	}
	return json.Marshal(j)
}

// ParseTree is the inverse of Tree.MarshalJSON.
func ParseTree(data []byte) (*Tree, error) {
	var j treeJSON
	if err := json.Unmarshal(data, &j); err != nil {
		return nil, errors.NewNotValid(err, "settings tree")
	}
	doc := Document{Branch: j.Root}
	if j.Globals != nil {
		doc.Globals = *j.Globals
	}
	t, problems := newTree(j.Version, doc.Nodes(), doc.Globals)
	if err := problems.Err(); err != nil {
		return nil, errors.NewNotValid(err, "settings tree")
	}
	next := *t
	next.keys = t.keys.apply(j.Keys, nil)
	return &next, nil
}

// ParseDelta reads the JSON form of a Delta.
func ParseDelta(data []byte) (Delta, error) {
	var d Delta
	if err := json.Unmarshal(data, &d); err != nil {
		return Delta{}, errors.NewNotValid(err, "settings delta")
	}
	return d, nil
}
