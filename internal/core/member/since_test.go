package member_test

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/guavastack/guavastack/internal/core/member"
)

// TestSinceReturnsWhatChanged checks by random reports, renewals and expiries that Since returns exactly the registrations whose version
// of the last change is higher, sorted by id, for every earlier version.
func TestSinceReturnsWhatChanged(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := member.NewRegistry[string](ttl, start)
		ms := 0
		for step := range rapid.IntRange(1, 120).Draw(t, "steps") {
			ms += rapid.SampledFrom([]int{1, 100, 3000}).Draw(t, "pause")
			id := fmt.Sprint("server-", rapid.IntRange(0, 9).Draw(t, "server"))
			lifecycle := rapid.SampledFrom([]member.Lifecycle{member.Ready, member.Leaving, member.Gone}).Draw(t, "lifecycle")
			incarnation := rapid.IntRange(1, 3).Draw(t, "incarnation")
			r.Put(member.Report[string]{
				ID: id, Incarnation: fmt.Sprint(incarnation), StartedMS: int64(incarnation), Sequence: uint64(step), Lifecycle: lifecycle,
			}, at(ms), true, rapid.Bool().Draw(t, "material"))
			r.Expire(at(ms))
			all := r.Since(0)
			if r.Len() != len(all) {
				t.Fatalf("%d registrations since the start, %d in all", len(all), r.Len())
			}
			for version := range r.Version() + 1 {
				var want []string
				for _, reg := range all {
					if reg.Changed > version {
						want = append(want, reg.Report.ID)
					}
				}
				var got []string
				for _, reg := range r.Since(version) {
					got = append(got, reg.Report.ID)
				}
				if !slices.Equal(got, want) {
					t.Fatalf("since version %d: %v, want %v", version, got, want)
				}
			}
		}
	})
}

// BenchmarkSinceOneChange measures what a watcher's update costs a member with 3,000 servers after one of them has changed.
func BenchmarkSinceOneChange(b *testing.B) {
	r := member.NewRegistry[string](ttl, start)
	for i := range 3000 {
		r.Put(member.Report[string]{ID: fmt.Sprint("server-", i), Incarnation: "1", StartedMS: 1, Sequence: 1, Lifecycle: member.Ready}, at(0), true, true)
	}
	before := r.Version()
	r.Put(member.Report[string]{ID: "server-7", Incarnation: "1", StartedMS: 1, Sequence: 2, Lifecycle: member.Leaving}, at(1), true, true)
	b.ReportAllocs()
	for b.Loop() {
		if got := len(r.Since(before)); got != 1 {
			b.Fatalf("%d changes, want 1", got)
		}
	}
}
