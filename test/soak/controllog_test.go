package main

import (
	"testing"
	"time"
)

func changeAt(second float64, action, address, reason string) logLine {
	return logLine{Time: at(second), Message: messageChanged, Process: "control-1", Action: action, Address: address, Reason: reason}
}

func at(second float64) time.Time {
	return time.Unix(1000, 0).Add(time.Duration(second * float64(time.Second)))
}

var testMachines = map[string]string{"a:1": "control-4"}

func TestLearnerAddedAndRemovedIsUndone(t *testing.T) {
	lines := []logLine{
		{Time: at(1), Message: messageRole, Process: "control-1", Role: "leader"},
		changeAt(10, actionAdd, "a:1", "announced itself"),
		changeAt(10.01, actionRemove, "a:1", "does not answer"),
	}
	got := undoneChanges(lines, []event{{Time: at(9), What: "start", Where: "control-4"}}, testMachines)
	if len(got) != 1 || got[0].Member != "control-4" || got[0].LeaderAge != 9010*time.Millisecond {
		t.Errorf("undone %+v", got)
	}
}

func TestRemovalOfDisturbedLearnerIsNotUndone(t *testing.T) {
	lines := []logLine{changeAt(10, actionAdd, "a:1", ""), changeAt(14, actionRemove, "a:1", "silent")}
	for _, e := range []event{
		{Time: at(11), What: "kill", Where: "control-4"},
		{Time: at(11), What: "pause", Where: "control-4"},
		{Time: at(11), What: "terminate", Where: "control-4"},
		{Time: at(11), What: "kill all"},
	} {
		if got := undoneChanges(lines, []event{e}, testMachines); len(got) != 0 {
			t.Errorf("%s: undone %+v", e.What, got)
		}
	}
	other := event{Time: at(11), What: "kill", Where: "control-2"}
	if got := undoneChanges(lines, []event{other}, testMachines); len(got) != 1 {
		t.Errorf("another member killed: undone %+v", got)
	}
}

func TestPromotions(t *testing.T) {
	events := []event{
		{Time: at(0), What: "start", Where: "control-1"},
		{Time: at(1), What: "round"},
		{Time: at(2), What: "start", Where: "control-4"},
		{Time: at(2.2), What: "resume", Where: "control-2"},
		{Time: at(6), What: "kill", Where: "control-4"},
		{Time: at(6), What: "empty", Where: "control-4"},
		{Time: at(7), What: "start", Where: "control-4"},
		{Time: at(8), What: "kill", Where: "control-1"},
		{Time: at(9), What: "start", Where: "control-1"}, // with its disk
		{Time: at(12), What: "kill all"},
		{Time: at(13), What: "start", Where: "control-4"},
	}
	lines := []logLine{changeAt(2.5, actionPromote, "a:1", ""), changeAt(14, actionPromote, "a:1", "")}
	got := promotions(lines, events, map[string]string{"control-4": "a:1"})
	if len(got) != 2 || got[0].Never || !got[0].WasPaused || got[0].After != 500*time.Millisecond || !got[1].Never {
		t.Errorf("promotions %+v", got)
	}
}
