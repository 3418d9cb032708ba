package main

import (
	"encoding/json"
	"os"
	"testing"

	"github.com/tailscale/hujson"

	"github.com/guavastack/guavastack/internal/settingstemplate"
)

// settingsFile is what the test looks at of rendered settings.
type settingsFile struct {
	ControlMembers []string `json:"control_members"`
	Control        *struct {
		Join      bool   `json:"join"`
		Tolerance int    `json:"fault_tolerance"`
		Data      string `json:"data"`
	} `json:"control"`
	Relay *struct{} `json:"relay"`
}

func renderedSettings(t *testing.T, s *system, m *machine, role string) settingsFile {
	t.Helper()
	template, err := os.ReadFile("../../deploy/" + role + ".json.tmpl")
	if err != nil {
		t.Fatal(err)
	}
	text, err := settingstemplate.Render(string(template), s.settings(m))
	if err != nil {
		t.Fatal(err)
	}
	data, err := hujson.Standardize([]byte(text))
	if err != nil {
		t.Fatalf("%v: %s", err, text)
	}
	var out settingsFile
	if err := json.Unmarshal(data, &out); err != nil {
		t.Fatalf("%v: %s", err, data)
	}
	return out
}

func newTestSystem(t *testing.T, o Overrides) *system {
	t.Helper()
	s, err := newSystem(NewPlan(1, o), program{}, &record{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		s.close()
		s.deleteFiles()
	})
	return s
}

func TestSettingsOfMembersAndRelays(t *testing.T) {
	s := newTestSystem(t, Overrides{Members: 5, Tolerance: 2, SeedList: SeedsListed})
	first := renderedSettings(t, s, s.member(1), roleControl)
	if first.Control == nil || first.Relay != nil || first.Control.Join || first.Control.Tolerance != 2 || first.Control.Data == "" {
		t.Errorf("first start: %+v", first)
	}
	if len(first.ControlMembers) != seedCount {
		t.Errorf("seeds %v", first.ControlMembers)
	}
	if next := renderedSettings(t, s, s.addMember(6), roleControl); next.Control == nil || !next.Control.Join {
		t.Errorf("successor: %+v", next)
	}
	if relay := renderedSettings(t, s, s.instances[0], roleControl); relay.Control != nil || relay.Relay == nil {
		t.Errorf("relay: %+v", relay)
	}
	renderedSettings(t, s, s.instances[0], roleGateway)
}

func TestSeedsOfTheFirstStartStay(t *testing.T) {
	s := newTestSystem(t, Overrides{Members: 3, SeedList: SeedsFirst})
	before := s.seeds()
	s.member(1).removed = s.member(1).added.Add(-listLag)
	if after := s.seeds(); len(before) != seedCount || len(after) != seedCount || after[0] != before[0] {
		t.Errorf("seeds %v, then %v", before, after)
	}
}

func TestListedSeedsFollowTheOperator(t *testing.T) {
	s := newTestSystem(t, Overrides{Members: 3, SeedList: SeedsListed})
	before := s.seeds()
	s.member(1).removed = s.member(1).added.Add(-listLag)
	if after := s.seeds(); len(after) != seedCount-1 || after[0] != before[1] {
		t.Errorf("seeds %v, then %v", before, after)
	}
}
