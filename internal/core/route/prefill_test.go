package route

import (
	"testing"
	"time"
)

// TestWaitingPromptsCount guards against a choice by the number of requests alone: a server with one long prompt to prefill is held up, one with
// several short ones isn't.
func TestWaitingPromptsCount(t *testing.T) {
	req := Request{
		Kind: KindEngine, Model: "m", FirstTokenTarget: 400 * time.Millisecond, GapTarget: draftGap, PrefillPerToken: 20 * time.Microsecond,
	}
	table := newTable(2, nil)
	table.SetLanePlan(KindEngine, "m", nil)
	send := func(id string, at time.Time, tokens int) {
		table.RecordDispatch(at, id, tokens, nil)
		table.BeginWait(at, id, noActivity)
	}
	send("s000", epoch, 30_000)
	for i := range 3 {
		send("s001", epoch.Add(time.Duration(i)), 500)
	}
	long, short := table.servers["s000"], table.servers["s001"]
	if !long.isHeldUp(epoch, &req) || short.isHeldUp(epoch, &req) {
		t.Errorf("held up: %v with a long prompt, %v with short ones, want true and false", long.isHeldUp(epoch, &req), short.isHeldUp(epoch, &req))
	}
	if share := short.waitShare(epoch, &req); !isAbout(share, 0.075) {
		t.Errorf("got a wait of %.3f of the target behind 1500 tokens, want 0.075", share)
	}
	if chosen := chosenServers(t, NewRouter(table, RouterConfig{Policy: PolicySessionLanes}), req, 400); chosen["s001"] < 350 {
		t.Errorf("got choices %v, want mostly the server without a long prompt", chosen)
	}

	table.RecordFirstData(epoch, "s000", epoch)
	table.EndWait("s001", epoch)
	table.EndWait("s001", epoch) // again
	if long.waitShare(epoch, &req) != 0 || short.prefill.sum != 1000 || len(short.prefill.tokens) != len(short.pendingAt) {
		t.Errorf("got %d and %d waiting tokens once an answer began and a request ended, want 0 and 1000", long.prefill.sum, short.prefill.sum)
	}
	req.PrefillPerToken = 0
	if share := short.waitShare(epoch, &req); share != 0 {
		t.Errorf("got a wait of %v of the target without a known prefill, want 0", share)
	}
}
