// Package bodybudget decides how much memory the bodies of callers' requests may take, and which request is refused when the memory is
// short.
//
// A body reserves memory as its bytes arrive. When the memory is short, complete bodies keep theirs and small ones can use a part that is
// reserved for them. Of the others, those that do not arrive any more are refused first, the largest of them before the rest.
package bodybudget

import "time"

// Limits bound the memory of bodies.
type Limits struct {
	Bytes      int // of all bodies together
	OwnerBytes int // of all bodies of one owner
	Unfinished int // number of bodies that are not complete
	SmallBytes int // size up to which a body is small
	// ProgressBytes must arrive within Stall, or an unfinished body counts as stalled. This matters only while memory is short.
	ProgressBytes int
	Stall         time.Duration
	// RefuseAfter is how long a body waits for memory, while none is stalled, before the newest unfinished body is refused.
	RefuseAfter time.Duration
}

// Shares of the limits that only small bodies can use.
const (
	smallBytesShare = 8 // one eighth of the memory
	smallCountShare = 4 // one quarter of the number of unfinished bodies
)

// Body is the reservation of one body.
type Body struct {
	owner    string
	size     int // announced; -1: unknown
	reserved int
	arrived  int
	began    time.Time

	marked      int       // arrived bytes at the last progress
	progressAt  time.Time // when ProgressBytes had arrived since the progress before
	waitingFrom time.Time // zero: it does not wait for memory
	isComplete  bool
	isRefused   bool
}

// Arrived returns the number of bytes that have arrived.
func (x *Body) Arrived() int { return x.arrived }

// Budget holds the reservations of all bodies. It is not safe for concurrent use.
type Budget struct {
	limits     Limits
	reserved   int
	byOwner    map[string]*owned
	unfinished map[*Body]struct{}
	releasing  int       // bodies that were refused and have not been released
	noStall    time.Time // no body can be stalled before this time, so that bodies that wait need not be searched
}

// owned is what one owner's bodies hold.
type owned struct{ reserved, bodies, releasing int }

// New returns a budget without reservations.
func New(limits Limits) *Budget {
	return &Budget{limits: limits, byOwner: make(map[string]*owned), unfinished: make(map[*Body]struct{})}
}

// Reserved returns the bytes that are reserved for all bodies.
func (b *Budget) Reserved() int { return b.reserved }

// Unfinished returns the number of bodies that are not complete.
func (b *Budget) Unfinished() int { return len(b.unfinished) }

// Begin adds a body of the announced size, -1 if that is unknown. If there are too many unfinished bodies, it returns the one to refuse,
// which may be the new one.
func (b *Budget) Begin(now time.Time, owner string, size int) (x, refuse *Body) {
	x = &Body{owner: owner, size: size, began: now, progressAt: now}
	limit := b.limits.Unfinished
	if !b.isSmall(x, 0) {
		limit -= limit / smallCountShare
	}
	if len(b.unfinished) >= limit && len(b.unfinished) > 0 {
		if refuse = b.worstStalled(now, ""); refuse == nil {
			refuse = x
		}
	}
	b.unfinished[x] = struct{}{}
	if b.byOwner[owner] == nil {
		b.byOwner[owner] = &owned{}
	}
	b.byOwner[owner].bodies++
	b.refuse(refuse)
	return x, refuse
}

// Reserve reserves n more bytes for x and returns true. Otherwise x must wait until memory is released or some time has passed, and try
// again. refuse, unless nil, is a body that must be refused now; it may be x.
func (b *Budget) Reserve(now time.Time, x *Body, n int) (ok bool, refuse *Body) {
	if x.isRefused {
		return false, x
	}
	fits, scope := b.fits(x, n)
	if fits {
		b.reserved += n
		b.byOwner[x.owner].reserved += n
		x.reserved += n
		if !x.waitingFrom.IsZero() {
			x.waitingFrom, x.progressAt, x.marked = time.Time{}, now, x.arrived
		}
		return true, nil
	}
	if x.waitingFrom.IsZero() {
		x.waitingFrom = now
	}
	if b.isReleasing(scope) {
		return false, nil
	}
	refuse = b.worstStalled(now, scope)
	if refuse == nil && now.Sub(x.waitingFrom) >= b.limits.RefuseAfter {
		refuse = b.newest(scope)
	}
	b.refuse(refuse)
	return false, refuse
}

// refuse records that x, unless nil, is refused.
func (b *Budget) refuse(x *Body) {
	if x != nil {
		x.isRefused = true
		b.releasing++
		b.byOwner[x.owner].releasing++
	}
}

// Progress records n arrived bytes.
func (b *Budget) Progress(now time.Time, x *Body, n int) {
	x.arrived += n
	if x.arrived-x.marked >= b.limits.ProgressBytes {
		x.marked, x.progressAt = x.arrived, now
	}
}

// Complete records that x has arrived completely. It returns false if x has been refused before.
func (b *Budget) Complete(x *Body) bool {
	if x.isRefused {
		return false
	}
	x.isComplete = true
	delete(b.unfinished, x)
	return true
}

// Release ends the reservation of x.
func (b *Budget) Release(x *Body) {
	delete(b.unfinished, x)
	b.reserved -= x.reserved
	o := b.byOwner[x.owner]
	o.reserved -= x.reserved
	o.bodies--
	if x.isRefused {
		b.releasing--
		o.releasing--
	}
	if o.bodies == 0 {
		delete(b.byOwner, x.owner)
	}
	x.reserved = 0
}

// fits reports whether x may have n more bytes. If only the limit of its owner is exceeded, scope is the owner.
func (b *Budget) fits(x *Body, n int) (ok bool, scope string) {
	if b.reserved == x.reserved {
		return true, "" // a single body is bounded by the limit on its size
	}
	limit := b.limits.Bytes
	if !b.isSmall(x, n) {
		limit -= limit / smallBytesShare
	}
	if b.reserved+n > limit {
		return false, ""
	}
	o := b.byOwner[x.owner]
	if o.reserved+n > b.limits.OwnerBytes && o.reserved != x.reserved {
		return false, x.owner
	}
	return true, ""
}

// isSmall reports whether x counts as small with n more bytes.
func (b *Budget) isSmall(x *Body, n int) bool {
	if x.size < 0 {
		return x.reserved > 0 && x.reserved+n <= b.limits.SmallBytes
	}
	return x.size <= b.limits.SmallBytes
}

// isReleasing reports whether a body of the scope, an owner or "" for all, was refused and has not released its memory yet.
func (b *Budget) isReleasing(scope string) bool {
	if scope == "" {
		return b.releasing > 0
	}
	return b.byOwner[scope].releasing > 0
}

// worstStalled returns the largest body of the scope that does not arrive any more, or nil.
func (b *Budget) worstStalled(now time.Time, scope string) *Body {
	if now.Before(b.noStall) {
		return nil
	}
	var worst *Body
	next := now.Add(b.limits.Stall)
	for y := range b.unfinished {
		if y.isRefused || !y.waitingFrom.IsZero() {
			continue
		}
		stallsAt := y.progressAt.Add(b.limits.Stall)
		if stallsAt.Before(next) {
			next = stallsAt
		}
		if stallsAt.After(now) || !y.isIn(scope) {
			continue
		}
		if worst == nil || y.reserved > worst.reserved || (y.reserved == worst.reserved && y.began.After(worst.began)) {
			worst = y
		}
	}
	b.noStall = next
	return worst
}

// newest returns the unfinished body of the scope that began last and is not small, or else any that began last. The older ones are
// closer to their end.
func (b *Budget) newest(scope string) *Body {
	var last *Body
	for y := range b.unfinished {
		if y.isRefused || !y.isIn(scope) {
			continue
		}
		if last == nil || b.refusedBefore(y, last) {
			last = y
		}
	}
	return last
}

// refusedBefore reports whether y is refused rather than z, of two bodies that arrive.
func (b *Budget) refusedBefore(y, z *Body) bool {
	ySmall, zSmall := b.isSmall(y, 0), b.isSmall(z, 0)
	if ySmall != zSmall {
		return zSmall
	}
	return y.began.After(z.began)
}

func (x *Body) isIn(scope string) bool { return scope == "" || x.owner == scope }
