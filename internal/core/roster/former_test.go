package roster_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/guavastack/guavastack/internal/core/raft"
	"github.com/guavastack/guavastack/internal/core/roster"
)

func configurationOf(addresses ...string) raft.Configuration {
	var c raft.Configuration
	for i, a := range addresses {
		c.Members = append(c.Members, raft.Member{ID: uint64(i + 1), Address: a})
	}
	return c
}

// Guards against a removed member that nobody remembers, or that is remembered for ever or after its return.
func TestFormerMembers(t *testing.T) {
	start := time.Unix(1000, 0)
	type observation struct {
		at      time.Duration
		members []string
	}
	cases := map[string]struct {
		observations []observation
		want         []string
	}{
		"none": {observations: []observation{{0, []string{"a", "b"}}}},
		"the last to leave first": {
			observations: []observation{{0, []string{"a", "b", "c"}}, {1, []string{"b", "c"}}, {2, []string{"c"}}},
			want:         []string{"b", "a"},
		},
		"returned": {
			observations: []observation{{0, []string{"a", "b"}}, {1, []string{"b"}}, {2, []string{"a", "b"}}},
		},
		"expired": {
			observations: []observation{{0, []string{"a", "b"}}, {0, []string{"b"}}, {roster.FormerMemberLifetime, []string{"b"}}},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var f roster.FormerMembers
			for _, o := range c.observations {
				f.Observe(start.Add(o.at), configurationOf(o.members...))
			}
			if got := f.List(); !slices.Equal(got, c.want) {
				t.Errorf("got %q, want %q", got, c.want)
			}
		})
	}
}

// Guards against a list of former members that grows with each replacement.
func TestFormerMembersAreBounded(t *testing.T) {
	start := time.Unix(1000, 0)
	var f roster.FormerMembers
	for i := range 100 {
		f.Observe(start.Add(time.Duration(i)), configurationOf(fmt.Sprint("member-", i)))
	}
	if got := f.List(); len(got) != roster.MaxFormerMembers || got[0] != "member-98" {
		t.Errorf("got %d former members %q, want %d, first the one that left last", len(got), got, roster.MaxFormerMembers)
	}
}
