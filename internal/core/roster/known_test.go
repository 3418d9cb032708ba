package roster_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/guavastack/guavastack/internal/core/roster"
)

// record is one call of KnownAddresses.Record.
type record struct {
	address  string
	at       time.Duration
	isSender bool
}

// Guards against a list of learned addresses that prefers stale or only named ones, or that keeps one for ever.
func TestKnownAddressesRankAndExpire(t *testing.T) {
	start := time.Unix(1000, 0)
	cases := map[string]struct {
		records []record
		at      time.Duration
		want    []string
	}{
		"none": {},
		"the latest first": {
			records: []record{{"a", 1, true}, {"b", 3, true}, {"c", 2, true}},
			want:    []string{"b", "c", "a"},
		},
		"senders before named ones": {
			records: []record{{"named", 9, false}, {"sender", 1, true}},
			want:    []string{"sender", "named"},
		},
		"a sender that is named later stays one": {
			records: []record{{"a", 1, true}, {"a", 5, false}, {"b", 3, true}},
			want:    []string{"a", "b"},
		},
		"an older time does not replace a newer one": {
			records: []record{{"a", 5, true}, {"a", 1, true}, {"b", 3, true}},
			want:    []string{"a", "b"},
		},
		"expired": {
			records: []record{{"old", 0, true}, {"new", time.Second, true}},
			at:      roster.KnownAddressLifetime,
			want:    []string{"new"},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var k roster.KnownAddresses
			for _, r := range c.records {
				k.Record(r.address, start.Add(r.at), r.isSender)
			}
			if got := k.List(start.Add(c.at)); !slices.Equal(got, c.want) {
				t.Errorf("got %q, want %q", got, c.want)
			}
		})
	}
}

// Guards against messages that name many addresses and thereby displace the members that were heard.
func TestKnownAddressesAreBounded(t *testing.T) {
	start := time.Unix(1000, 0)
	var k roster.KnownAddresses
	k.Record("leader", start, true)
	for i := range 1000 {
		k.Record(fmt.Sprint("named-", i), start.Add(time.Duration(i)), false)
	}
	got := k.List(start.Add(time.Second))
	if len(got) != roster.MaxKnownAddresses || got[0] != "leader" || got[1] != "named-999" {
		t.Errorf("got %d addresses %q, want %d, first the leader and the one named last", len(got), got, roster.MaxKnownAddresses)
	}
}
