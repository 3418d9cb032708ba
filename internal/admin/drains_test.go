package admin_test

import (
	"context"
	"testing"
	"time"
)

// TestStatusTellsDrains checks that the status at any member lists the drains that were acknowledged at another one, with when they began
// and who ordered them.
func TestStatusTellsDrains(t *testing.T) {
	g := newGroup(t, 3)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	before := time.Now().UnixMilli()
	for _, zone := range []string{"b", "a", "c"} {
		if err := g.services[1].OrderZoneDrain(ctx, zone, true, "10.0.0.9"); err != nil {
			t.Fatal(err)
		}
	}
	if err := g.services[2].OrderZoneDrain(ctx, "c", false, "10.0.0.9"); err != nil {
		t.Fatal(err)
	}
	for member := range g.urls {
		st, err := g.client(member, "root-token").Status(ctx, "", 0)
		if err != nil {
			t.Fatal(err)
		}
		if len(st.Drains) != 2 || st.Drains[0].Zone != "a" || st.Drains[1].Zone != "b" {
			t.Fatalf("member %d: got drains %+v, want those of zones a and b", member, st.Drains)
		}
		for _, d := range st.Drains {
			if d.OrderedBy != "10.0.0.9" || d.SinceMS < before || d.SinceMS > time.Now().UnixMilli() {
				t.Errorf("member %d: got drain %+v, want one by 10.0.0.9 since the order", member, d)
			}
		}
	}
}
