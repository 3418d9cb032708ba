package claim_test

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/guavastack/guavastack/internal/core/claim"
	"github.com/guavastack/guavastack/internal/core/state"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "5", "rapid.checks": "200", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

var (
	key    = claim.Key{Organisation: "camurca", Route: "/services/orders", Key: "k"}
	bounds = claim.Bounds{Retention: time.Hour, Claims: 4, PerOrganisation: 3, AnswerBytes: 10, TotalBytes: 15, ExpireBatch: 10}
)

func apply(t testing.TB, m *claim.Module, atMS int64, c claim.Command) claim.Outcome {
	t.Helper()
	if c.Key == (claim.Key{}) {
		c.Key = key
	}
	body, err := json.Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	result, err := m.Apply(1, state.Command{Module: claim.ModuleName, AtMS: atMS, Body: body})
	if err != nil {
		t.Fatal(err)
	}
	var o claim.Outcome
	if err := json.Unmarshal(result, &o); err != nil {
		t.Fatal(err)
	}
	return o
}

// The requests of the test tables: r1 and r2 have the same body, r3 another one.
var (
	first  = claim.Command{Op: claim.Claim, Digest: "d", RequestID: "r1", Agent: claim.Agent{ID: "a1", Incarnation: "i1"}}
	second = claim.Command{Op: claim.Claim, Digest: "d", RequestID: "r2", Agent: claim.Agent{ID: "a2", Incarnation: "i1"}}
	other  = claim.Command{Op: claim.Claim, Digest: "e", RequestID: "r3", Agent: claim.Agent{ID: "a3", Incarnation: "i1"}}
)

func done(id string) claim.Command {
	return claim.Command{Op: claim.Done, RequestID: id, Answer: &claim.Answer{Status: 201, Body: []byte("ok")}}
}

func takeover(from string) claim.Command {
	c := second
	c.Op, c.Previous = claim.Takeover, from
	return c
}

func op(o claim.Op, id string) claim.Command { return claim.Command{Op: o, RequestID: id} }

// TestCommandsInEveryState applies each command in every state of a claim.
func TestCommandsInEveryState(t *testing.T) {
	tests := []struct {
		name   string
		before []claim.Command
		last   claim.Command
		want   claim.State
		holder string
	}{
		{"new", nil, first, claim.StateClaimed, "r1"},
		{"resent", []claim.Command{first}, first, claim.StateClaimed, "r1"},
		{"resent after the dispatch", []claim.Command{first, op(claim.Sent, "r1")}, first, claim.StateInProgress, "r1"},
		{"second request while claimed", []claim.Command{first}, second, claim.StateInProgress, "r1"},
		{"second request while sent", []claim.Command{first, op(claim.Sent, "r1")}, second, claim.StateInProgress, "r1"},
		{"second request when done", []claim.Command{first, done("r1")}, second, claim.StateDone, "r1"},
		{"second request when unknown", []claim.Command{first, op(claim.Unknown, "r1")}, second, claim.StateUnknown, "r1"},
		{"second request after release", []claim.Command{first, op(claim.Release, "r1")}, second, claim.StateClaimed, "r2"},
		{"other body while claimed", []claim.Command{first}, other, claim.StateOtherBody, ""},
		{"other body when done", []claim.Command{first, done("r1")}, other, claim.StateOtherBody, ""},
		{"release by another", []claim.Command{first}, op(claim.Release, "r2"), claim.StateNotHeld, ""},
		{"release when done", []claim.Command{first, done("r1")}, op(claim.Release, "r1"), claim.StateDone, "r1"},
		{"release of an unknown one", []claim.Command{first, op(claim.Unknown, "r1")}, op(claim.Release, "r1"), claim.StateReleased, ""},
		{"done by another", []claim.Command{first}, done("r2"), claim.StateNotHeld, ""},
		{"done after unknown", []claim.Command{first, op(claim.Unknown, "r1")}, done("r1"), claim.StateDone, "r1"},
		{"unknown after done", []claim.Command{first, done("r1")}, op(claim.Unknown, "r1"), claim.StateDone, "r1"},
		{"sent after unknown", []claim.Command{first, op(claim.Unknown, "r1")}, op(claim.Sent, "r1"), claim.StateUnknown, "r1"},
		{"done after release", []claim.Command{first, op(claim.Release, "r1")}, done("r1"), claim.StateNotHeld, ""},
		{"takeover", []claim.Command{first}, takeover("r1"), claim.StateClaimed, "r2"},
		{"takeover resent", []claim.Command{first, takeover("r1")}, takeover("r1"), claim.StateClaimed, "r2"},
		{"takeover after another request claimed the key", []claim.Command{first, op(claim.Release, "r1"), {Op: claim.Claim, Digest: "d", RequestID: "r4"}}, takeover("r1"), claim.StateInProgress, "r4"},
		{"takeover when done", []claim.Command{first, done("r1")}, takeover("r1"), claim.StateDone, "r1"},
		{"done by the previous holder after a takeover", []claim.Command{first, takeover("r1")}, done("r1"), claim.StateNotHeld, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			m := claim.NewModule(bounds)
			for _, c := range tt.before {
				apply(t, m, 1, c)
			}
			o := apply(t, m, 1, tt.last)
			if o.State != tt.want || o.RequestID != tt.holder {
				t.Errorf("got %+v, want %s held by %q", o, tt.want, tt.holder)
			}
			if o.State == claim.StateDone && (o.Answer == nil || string(o.Answer.Body) != "ok") {
				t.Errorf("got answer %+v, want the stored body", o.Answer)
			}
		})
	}
}

func TestExpiryUsesCommandTime(t *testing.T) {
	hour := time.Hour.Milliseconds()
	m := claim.NewModule(bounds)
	apply(t, m, 1000, first)
	if o := apply(t, m, 999+hour, claim.Command{Op: claim.Expire}); o.Expired != 0 {
		t.Error("expired too early")
	}
	if o := apply(t, m, 999+hour, second); o.State != claim.StateInProgress {
		t.Errorf("got %+v before the expiry, want in_progress", o)
	}
	if o := apply(t, m, 1000+hour, claim.Command{Op: claim.Expire}); o.Expired != 1 || m.Len() != 0 {
		t.Errorf("got %+v, %d claims left, want one expired and none left", o, m.Len())
	}
	if o := apply(t, m, 5, second); o.State != claim.StateClaimed {
		t.Errorf("got %+v after the expiry, want claimed", o)
	}
	if o := apply(t, m, 5+hour, claim.Command{Op: claim.Expire}); o.Expired != 0 {
		t.Error("command time went back: a claim expired too early")
	}
}

func TestClaimsAndAnswersAreBounded(t *testing.T) {
	m := claim.NewModule(bounds)
	with := func(organisation string, n int) claim.Command {
		c := first
		c.RequestID = fmt.Sprint(organisation, n)
		c.Key = claim.Key{Organisation: organisation, Route: "/r", Key: fmt.Sprint(n)}
		return c
	}
	for n := range 3 {
		if o := apply(t, m, 1, with("a", n)); o.State != claim.StateClaimed {
			t.Fatalf("got %+v within the limits, want claimed", o)
		}
	}
	if o := apply(t, m, 1, with("a", 3)); o.State != claim.StateFull {
		t.Errorf("above the limit of an organisation: got %+v, want full", o)
	}
	if o := apply(t, m, 1, with("b", 0)); o.State != claim.StateClaimed {
		t.Errorf("one organisation used up the claims of all: %+v", o)
	}
	if o := apply(t, m, 1, with("b", 1)); o.State != claim.StateFull {
		t.Errorf("above the limit of all claims: got %+v, want full", o)
	}
	answer := func(n int, size int) claim.Outcome {
		c := with("a", n)
		return apply(t, m, 1, claim.Command{Op: claim.Done, Key: c.Key, RequestID: c.RequestID, Answer: &claim.Answer{Status: 200, Body: make([]byte, size)}})
	}
	if o := answer(0, 11); !o.Answer.Omitted || o.Answer.Status != 200 {
		t.Errorf("above the limit of one answer: got %+v, want the status only", o.Answer)
	}
	if o := answer(1, 10); o.Answer.Omitted {
		t.Errorf("an answer within the limits was omitted: %+v", o.Answer)
	}
	if o := answer(2, 10); !o.Answer.Omitted {
		t.Errorf("above the limit of all answers: got %+v, want the status only", o.Answer)
	}
}

// TestAtMostOnce checks, for random commands of entries that follow the protocol, that at most one request of a key
// runs. By the protocol a request is dispatched only if its claim returned StateClaimed, and released only if it didn't
// run.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := claim.NewModule(bounds)
		ran := make(map[string]bool)     // request ids that started at their agent
		fenced := make(map[string]bool)  // proven never to start
		granted := make(map[string]bool) // may be dispatched
		for range rapid.IntRange(1, 40).Draw(rt, "steps") {
			id := rapid.SampledFrom([]string{"r1", "r2", "r3"}).Draw(rt, "request")
			switch rapid.SampledFrom([]string{"claim", "claim", "dispatch", "release", "takeover", "done", "unknown", "restore"}).Draw(rt, "step") {
			case "claim":
				if o := apply(t, m, 1, claim.Command{Op: claim.Claim, Digest: "d", RequestID: id}); o.State == claim.StateClaimed {
					granted[id] = true
				}
			case "dispatch":
				if granted[id] && !fenced[id] {
					ran[id] = true
				}
			case "release":
				if !ran[id] {
					fenced[id] = true
					apply(t, m, 1, op(claim.Release, id))
				}
			case "takeover":
				holder := apply(t, m, 1, claim.Command{Op: claim.Claim, Digest: "d", RequestID: id})
				if holder.State == claim.StateInProgress && !ran[holder.RequestID] {
					fenced[holder.RequestID] = true
					c := claim.Command{Op: claim.Takeover, Digest: "d", RequestID: id, Previous: holder.RequestID}
					granted[id] = apply(t, m, 1, c).State == claim.StateClaimed || granted[id]
				} else if holder.State == claim.StateClaimed {
					granted[id] = true
				}
			case "done":
				if ran[id] {
					apply(t, m, 1, done(id))
				}
			case "unknown":
				apply(t, m, 1, op(claim.Unknown, id))
			case "restore":
				m = restored(rt, m)
			}
			if len(ran) > 1 {
				rt.Fatalf("more than one request ran: %v", ran)
			}
		}
	})
}

func restored(t *rapid.T, m *claim.Module) *claim.Module {
	data, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	next := claim.NewModule(bounds)
	if err := next.Restore(data); err != nil {
		t.Fatal(err)
	}
	again, _ := next.Snapshot()
	if string(again) != string(data) {
		t.Fatalf("snapshot of the restored module differs:\n%s\n%s", again, data)
	}
	return next
}

func BenchmarkClaim(b *testing.B) {
	m := claim.NewModule(claim.Bounds{Retention: time.Hour, Claims: 1 << 30, PerOrganisation: 1 << 30})
	for i := range b.N {
		c := first
		c.Key.Organisation, c.Key.Key = "camurca", fmt.Sprint(i)
		apply(b, m, 1, c)
	}
}
