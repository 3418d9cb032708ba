package watch

import (
	"slices"
	"testing"

	"github.com/guavastack/guavastack/proto/controlpb"
)

// Guards against drains that go back when sessions with several members run at once and one of the members lags behind: versions are
// ordered by epoch, then by revision.
func TestDrainsNeverGoBack(t *testing.T) {
	c := New(Config{Control: []string{"member"}})
	notified := 0
	c.OnChange(func() { notified++ })
	s := &session{client: c}
	steps := []struct {
		epoch, revision uint64
		zones           []string // nil: no list in the update
		want            []string
		notified        int
	}{
		{1, 1, []string{"a"}, []string{"a"}, 1},
		{1, 3, []string{"a", "b"}, []string{"a", "b"}, 2},
		{1, 2, []string{"c"}, []string{"a", "b"}, 2},
		{1, 3, []string{}, []string{"a", "b"}, 2},
		{0, 9, []string{}, []string{"a", "b"}, 2},
		{0, 0, nil, []string{"a", "b"}, 2},
		{2, 0, []string{}, []string{}, 3}, // restored from a backup without drains
		{1, 4, []string{"c"}, []string{}, 3},
		{2, 1, []string{"d"}, []string{"d"}, 4},
	}
	for i, step := range steps {
		u := &controlpb.WatchUpdate{}
		if step.zones != nil {
			u.ZoneDrains = &controlpb.ZoneDrains{Epoch: step.epoch, Revision: step.revision}
			for _, zone := range step.zones {
				u.ZoneDrains.Drains = append(u.ZoneDrains.Drains, &controlpb.ZoneDrain{Zone: zone, SinceMs: 7, OrderedBy: "operator"})
			}
		}
		if err := s.apply(u); err != nil {
			t.Fatal(err)
		}
		if got := c.ZoneDrains().Zones(); !slices.Equal(got, step.want) || notified != step.notified {
			t.Errorf("step %d: got drained zones %q and %d notifications, want %q and %d", i, got, notified, step.want, step.notified)
		}
	}
	if q := s.newQuery(); q.HaveDrainsEpoch != 2 || q.HaveDrainsRevision != 1 {
		t.Errorf("got position %d/%d in the query, want 2/1", q.HaveDrainsEpoch, q.HaveDrainsRevision)
	}
}
