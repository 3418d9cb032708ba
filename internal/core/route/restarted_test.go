package route

import "testing"

// Guards against a restarted server that is quarantined at once for the requests that its former incarnation broke or never accepted
// (issue 40).
func TestOutcomeOfAFormerIncarnationDoesNotCount(t *testing.T) {
	table, _ := noticeTable("s")
	table.RecordDispatch(noticeStart, "s", 1, nil)
	table.Upsert(noticeStart, noticeServer("s", "2"))
	table.RecordDispatch(noticeStart, "s", 1, nil)
	table.RecordEnd(noticeStart, "s", "1", Outcome{Result: Unreachable})
	s := table.servers["s"]
	if s.health.state == quarantined {
		t.Error("the new incarnation is quarantined for a request to the former one")
	}
	if s.inFlight != 1 {
		t.Errorf("%d requests are in flight at the new incarnation, want 1", s.inFlight)
	}
	table.RecordEnd(noticeStart, "s", "2", Outcome{Result: Unreachable})
	if s.health.state != quarantined || s.inFlight != 0 {
		t.Error("the outcome of the present incarnation does not count")
	}
}
