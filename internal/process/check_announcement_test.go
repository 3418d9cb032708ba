package process

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/guavastack/guavastack/internal/config"
	"github.com/guavastack/guavastack/internal/control"
	"github.com/guavastack/guavastack/internal/rpcpool"
	"github.com/guavastack/guavastack/internal/telemetry"
	"github.com/guavastack/guavastack/proto/controlpb"
)

// listen opens the listener of a member that the test serves itself.
func (d *discoveryGroup) listen(host int) net.Listener {
	d.t.Helper()
	lis, err := net.Listen("tcp", d.address(host))
	if err != nil {
		d.t.Fatal(err)
	}
	d.t.Cleanup(func() { _ = lis.Close() })
	return lis
}

// serve serves the calls of mux at host until the test ends.
func (d *discoveryGroup) serve(host int, mux *drpcmux.Mux) {
	lis := d.listen(host)
	ctx, cancel := context.WithCancel(context.Background())
	d.t.Cleanup(cancel)
	go func() { _ = drpcserver.New(mux).Serve(ctx, lis) }()
}

// identifyingMember is a control member that only identifies itself.
type identifyingMember struct {
	controlpb.DRPCControlUnimplementedServer
	identity *controlpb.Identity
}

func (m *identifyingMember) Identify(context.Context, *controlpb.IdentifyRequest) (*controlpb.Identity, error) {
	return m.identity, nil
}

func (d *discoveryGroup) serveIdentity(host int, identity *controlpb.Identity) {
	d.t.Helper()
	mux := drpcmux.New()
	if err := controlpb.DRPCRegisterControl(mux, &identifyingMember{identity: identity}); err != nil {
		d.t.Fatal(err)
	}
	d.serve(host, mux)
}

func (d *discoveryGroup) id(host int) uint64 {
	return config.MemberID(netip.MustParseAddrPort(d.address(host)))
}

// announcementOf returns a valid announcement of the member at host with an incarnation.
func (d *discoveryGroup) announcementOf(host int, incarnation uint64) *controlpb.JoinRequest {
	return &controlpb.JoinRequest{Id: d.id(host), Address: d.address(host), Incarnation: incarnation, Group: 1}
}

// announceAt sends an announcement to a member.
func (d *discoveryGroup) announceAt(m *runningMember, req *controlpb.JoinRequest) error {
	pool := rpcpool.New(nil)
	defer pool.Close()
	ctx, cancel := context.WithTimeout(context.Background(), conditionTimeout)
	defer cancel()
	_, err := control.AnnounceTo(ctx, pool, m.base.Config.Control.Listen, req)
	return err
}

// Guards against announcements that change the group although they are wrong: from another deployment, with the id of a live
// member, or from an address at which no such member answers (issue 40).
func TestBadAnnouncementsHaveNoEffect(t *testing.T) {
	d := newDiscoveryGroup(t)
	members := d.startGroup()
	d.waitUntil("a leader", func() bool { return leaderOf(members) != nil })
	leader := leaderOf(members)
	live := 1
	if members[live] == leader {
		live = 2
	}
	const other, silent, hanging, incarnation = 5, 6, 7, 77
	d.serveIdentity(other, &controlpb.Identity{Group: 1, Id: d.id(other), Incarnation: incarnation})
	d.listen(hanging)
	before := leader.replica.Status().Configuration

	cases := map[string]struct {
		host        int
		incarnation uint64
		change      func(*controlpb.JoinRequest)
		reason      string
	}{
		"another group":               {other, incarnation, func(r *controlpb.JoinRequest) { r.Group = 2 }, refusedGroup},
		"another epoch":               {other, incarnation, func(r *controlpb.JoinRequest) { r.Epoch = before.Epoch + 1 }, refusedEpoch},
		"no address":                  {other, incarnation, func(r *controlpb.JoinRequest) { r.Address = "member" }, refusedAddress},
		"not among allowed_peers":     {other, incarnation, func(r *controlpb.JoinRequest) { r.Address = "10.0.0.1:7760" }, refusedAddress},
		"another port":                {other, incarnation, func(r *controlpb.JoinRequest) { r.Address = d.ip(other) + ":1" }, refusedAddress},
		"the id of a live member":     {other, incarnation, func(r *controlpb.JoinRequest) { r.Id = d.id(live) }, refusedAddress},
		"a live member":               {live, incarnation, nil, refusedIdentity},
		"a live member, older build":  {live, incarnation, func(r *controlpb.JoinRequest) { r.Group = 0 }, refusedIdentity},
		"the leader":                  {hostOf(members, leader), incarnation, nil, refusedAddress},
		"another disk at its address": {other, incarnation + 1, nil, refusedIdentity},
		"nothing at the address":      {silent, incarnation, nil, refusedNoAnswer},
		"no answer at the address":    {hanging, incarnation, nil, refusedNoAnswer},
		"leaving, of another group":   {live, incarnation, func(r *controlpb.JoinRequest) { r.Group, r.Leaving = 2, true }, refusedGroup},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			req := d.announcementOf(c.host, c.incarnation)
			if c.change != nil {
				c.change(req)
			}
			counted := refusalsOf(members, c.reason)
			if err := d.announceAt(leader, req); err == nil {
				t.Error("the announcement is accepted")
			}
			if n := refusalsOf(members, c.reason) - counted; n != 1 {
				t.Errorf("got %d refusals counted with the reason %q, want 1", n, c.reason)
			}
		})
	}
	if recorded := leader.membership.announcements(); len(recorded) > len(before.Members) {
		t.Errorf("got announcements %v recorded, want at most those of the members themselves", recorded)
	}
	if err := d.announceAt(leader, d.announcementOf(other, incarnation)); err != nil {
		t.Fatalf("valid announcement refused: %v", err)
	}
	d.waitUntil("the valid announcement has its effect", func() bool {
		_, ok := leader.replica.Status().Configuration.Member(d.id(other))
		return ok
	})
	for _, m := range before.Members {
		if after, _ := leader.replica.Status().Configuration.Member(m.ID); after != m {
			t.Errorf("got member %+v after the announcements, want %+v as before", after, m)
		}
	}
}

// refusalsOf returns the number of announcements that the members have refused for a reason.
func refusalsOf(members map[int]*runningMember, reason string) int64 {
	var n int64
	for _, m := range members {
		n += m.base.Metrics.Counter(metricRefusedAnnouncements, telemetry.Label{Name: "reason", Value: reason}).Count()
	}
	return n
}

func hostOf(members map[int]*runningMember, m *runningMember) int {
	for host, other := range members {
		if other == m {
			return host
		}
	}
	return 0
}

// Guards against a group that refuses the members of an older build, whose announcements name no group and which do not know the
// call Identify.
func TestAnnouncementOfOlderBuildIsAccepted(t *testing.T) {
	d := newDiscoveryGroup(t)
	members := d.startGroup()
	d.waitUntil("a leader", func() bool { return leaderOf(members) != nil })
	d.serve(5, drpcmux.New())
	req := d.announcementOf(5, 77)
	req.Group = 0
	if err := d.announceAt(leaderOf(members), req); err != nil {
		t.Errorf("announcement refused: %v", err)
	}
}

// Guards against an announcer whose repeated announcements pile up calls, or hold up those of others, while its address does not
// answer.
func TestIdentificationsAreSharedAndBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		calls := make(map[string]int)
		i := &identifier{call: func(ctx context.Context, address string) (*controlpb.Identity, error) {
			if address == "answers" {
				return &controlpb.Identity{Id: 1}, nil
			}
			calls[address]++
			<-ctx.Done()
			return nil, ctx.Err()
		}}
		ask := func(address string) {
			go func() { _, _ = i.identify(address) }()
			synctest.Wait()
		}
		for range 100 {
			ask("hangs")
		}
		if calls["hangs"] != 1 {
			t.Errorf("got %d calls for 100 announcements, want 1", calls["hangs"])
		}
		if identity, err := i.identify("answers"); err != nil || identity.Id != 1 {
			t.Errorf("another member: got %v, error %v, want its identity", identity, err)
		}
		for n := 1; n < maxIdentifications; n++ {
			ask(fmt.Sprint("hangs-", n))
		}
		if _, err := i.identify("answers"); err != errTooManyIdentifications {
			t.Errorf("got error %v with %d calls in progress, want %v", err, maxIdentifications, errTooManyIdentifications)
		}
		time.Sleep(identifyTimeout)
		synctest.Wait()
		if _, err := i.identify("answers"); err != nil {
			t.Errorf("got error %v after the calls have ended, want none", err)
		}
	})
}

// Guards against refusals that fill the log, and against one reason that hides another.
func TestRefusalLogIsBounded(t *testing.T) {
	start := time.Unix(1000, 0)
	var l refusalLog
	cases := []struct {
		reason string
		at     time.Duration
		want   bool
	}{
		{"a", 0, true}, {"a", 1, false}, {"b", 1, true}, {"a", refusalLogInterval - 1, false}, {"a", refusalLogInterval, true},
	}
	for _, c := range cases {
		if got := l.allow(c.reason, start.Add(c.at)); got != c.want {
			t.Errorf("reason %s after %v: got %v, want %v", c.reason, c.at, got, c.want)
		}
	}
}
