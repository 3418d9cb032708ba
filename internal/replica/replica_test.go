package replica

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
)

func TestSingleMemberElectsItselfAndApplies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1)
		defer c.stop()
		c.startAll()
		out := c.propose("a", 1)
		if string(out.Result) != "1" {
			t.Errorf("got result %s, want 1", out.Result)
		}
		index, err := c.procs[1].ReadIndex(context.Background())
		if err != nil || index < out.Index {
			t.Errorf("got read index %d and error %v, want at least %d", index, err, out.Index)
		}
	})
}

func TestThreeMembersApplySameCommands(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		defer c.stop()
		c.startAll()
		want := []string{"a", "b", "c"}
		for _, data := range want {
			c.propose(data, 1, 2, 3)
		}
		for id, p := range c.procs {
			index, err := p.ReadIndex(t.Context())
			if err != nil {
				t.Fatal(err)
			}
			if err := p.WaitApplied(t.Context(), index); err != nil {
				t.Fatal(err)
			}
			if got := p.commands(); !slices.Equal(got, want) {
				t.Errorf("member %d applied %v, want %v", id, got, want)
			}
		}
	})
}
