package roster

import (
	"cmp"
	"slices"
	"time"

	"github.com/guavastack/guavastack/internal/core/raft"
)

const (
	// MaxFormerMembers is the maximum number of addresses in FormerMembers.
	MaxFormerMembers = 16
	// FormerMemberLifetime is how long a former member's address is kept.
	FormerMemberLifetime = time.Hour
)

// FormerMembers are the addresses that recently left the configuration of the group. A member that starts there again without its
// disk may not know any address of the group. The zero value is empty.
type FormerMembers struct {
	current []string
	left    map[string]time.Time
}

// Observe must be called regularly with the configuration in effect.
func (f *FormerMembers) Observe(now time.Time, conf raft.Configuration) {
	if f.left == nil {
		f.left = make(map[string]time.Time)
	}
	before := f.current
	f.current = nil
	for _, m := range conf.Members {
		f.current = append(f.current, m.Address)
		delete(f.left, m.Address)
	}
	for _, address := range before {
		if !slices.Contains(f.current, address) {
			f.left[address] = now
		}
	}
	for address, at := range f.left {
		if now.Sub(at) >= FormerMemberLifetime {
			delete(f.left, address)
		}
	}
	if list := f.List(); len(list) > MaxFormerMembers {
		for _, address := range list[MaxFormerMembers:] {
			delete(f.left, address)
		}
	}
}

// List returns the addresses, the one that left last first.
func (f *FormerMembers) List() []string {
	out := make([]string, 0, len(f.left))
	for address := range f.left {
		out = append(out, address)
	}
	slices.SortFunc(out, func(a, b string) int {
		return cmp.Or(f.left[b].Compare(f.left[a]), cmp.Compare(a, b))
	})
	return out
}
