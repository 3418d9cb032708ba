package bodybudget

import (
	"testing"
	"time"
)

var testLimits = Limits{
	Bytes: 800, OwnerBytes: 400, Unfinished: 8, SmallBytes: 20, ProgressBytes: 10, Stall: time.Second, RefuseAfter: 2 * time.Second,
}

var start = time.Unix(1000, 0)

// begin adds a body with some bytes that have arrived.
func begin(t *testing.T, b *Budget, owner string, at time.Duration, size, n int) *Body {
	t.Helper()
	x, refuse := b.Begin(start.Add(at), owner, size)
	if refuse != nil {
		t.Fatalf("body of %s refused at its beginning", owner)
	}
	if ok, _ := b.Reserve(start.Add(at), x, n); !ok {
		t.Fatalf("%d bytes for %s not reserved", n, owner)
	}
	b.Progress(start.Add(at), x, n)
	return x
}

// TestLimits checks who gets memory: a body that is announced large but has not arrived takes none, and a single one always gets what it needs.
func TestLimits(t *testing.T) {
	cases := []struct {
		name    string
		held    []int // reserved by one owner each
		owner   string
		size, n int
		ok      bool
	}{
		{"below all limits", []int{300}, "new", 100, 100, true},
		{"a single body above all limits", nil, "new", 2000, 2000, true},
		{"above the limit of the process", []int{400, 250}, "new", 100, 100, false},
		{"the part for small bodies", []int{400, 300}, "new", 20, 20, true},
		{"a large body does not get it", []int{400, 300}, "new", 21, 20, false},
		{"a small body above the limit of the process", []int{400, 300, 20, 20, 20, 20, 20}, "new", 20, 20, false},
		{"above the limit of the owner", []int{350}, "0", 60, 60, false},
		{"the only body of its owner", []int{100}, "new", 500, 500, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := New(testLimits)
			for i, n := range c.held {
				x := begin(t, b, string(rune('0'+i)), 0, n, n)
				b.Complete(x)
			}
			x, _ := b.Begin(start, c.owner, c.size)
			if ok, _ := b.Reserve(start, x, c.n); ok != c.ok {
				t.Errorf("reserved: %t, want %t", ok, c.ok)
			}
		})
	}
}

// TestWhoIsRefused checks that complete bodies keep their memory, that of the others the largest stalled one goes first, and that without a
// stalled one the newest goes after a wait.
func TestWhoIsRefused(t *testing.T) {
	b := New(testLimits)
	complete := begin(t, b, "a", 0, 300, 300)
	b.Complete(complete)
	small := begin(t, b, "b", 0, 18, 10)
	large := begin(t, b, "c", 0, 200, 150)
	newer := begin(t, b, "d", 100*time.Millisecond, 200, 140)
	x := begin(t, b, "e", 200*time.Millisecond, 200, 90)

	now := start.Add(500 * time.Millisecond)
	if ok, refuse := b.Reserve(now, x, 100); ok || refuse != nil {
		t.Fatalf("at first: reserved %t, refused %v; want a wait", ok, refuse)
	}
	b.Progress(start.Add(1200*time.Millisecond), newer, 20)
	now = start.Add(1500 * time.Millisecond)
	ok, refuse := b.Reserve(now, x, 100)
	if ok || refuse != large {
		t.Fatalf("with stalled bodies: reserved %t, refused %+v; want the largest stalled one", ok, refuse)
	}
	if ok, refuse := b.Reserve(now, x, 100); ok || refuse != nil {
		t.Errorf("before its release: reserved %t, refused %v; want a wait", ok, refuse)
	}
	if b.Complete(large) {
		t.Error("a refused body is complete")
	}
	b.Release(large)
	if ok, _ := b.Reserve(now, x, 100); !ok {
		t.Error("not reserved after the release")
	}

	b.Progress(now, small, 0)
	y, _ := b.Begin(now, "f", 200)
	if ok, refuse := b.Reserve(now, y, 200); ok || refuse != small {
		t.Errorf("small stalled body: reserved %t, refused %+v; want it refused", ok, refuse)
	}
	b.Release(small)
	b.Progress(now.Add(time.Second), newer, 20)
	b.Progress(now.Add(time.Second), x, 20)
	later := now.Add(testLimits.RefuseAfter)
	b.Progress(later, newer, 20)
	b.Progress(later, x, 20)
	if ok, refuse := b.Reserve(later, y, 200); ok || refuse != y {
		t.Errorf("after the wait: reserved %t, refused %+v; want the newest", ok, refuse)
	}
	for _, z := range []*Body{complete, newer, x, y} {
		b.Release(z)
	}
	if b.Reserved() != 0 || b.Unfinished() != 0 || len(b.byOwner) != 0 {
		t.Errorf("%d bytes, %d unfinished, %d owners after all releases; want none", b.Reserved(), b.Unfinished(), len(b.byOwner))
	}
}

// TestNumberOfUnfinishedBodies guards against many connections that each hold an unfinished body of a few bytes.
func TestNumberOfUnfinishedBodies(t *testing.T) {
	b := New(testLimits)
	var first *Body
	for i := range 6 {
		x := begin(t, b, "a", 0, 100, 1+i)
		if i == 5 {
			first = x
		}
	}
	if _, refuse := b.Begin(start, "b", 10); refuse != nil {
		t.Error("a small body was refused below the limit")
	}
	x, refuse := b.Begin(start, "b", 100)
	if refuse != x {
		t.Error("a large body above its part of the limit was not refused")
	}
	b.Release(x)
	if _, refuse := b.Begin(start.Add(2*time.Second), "b", 100); refuse != first {
		t.Error("the largest stalled body was not refused for a new one")
	}
}
