package control_test

import (
	"encoding/json"
	"testing"

	"github.com/guavastack/guavastack/internal/control"
	"github.com/guavastack/guavastack/internal/control/controltest"
	"github.com/guavastack/guavastack/internal/core/settings"
	"github.com/guavastack/guavastack/internal/core/state"
)

// putOrganisation commits an organisation through a member.
func putOrganisation(t *testing.T, m *controltest.Member, name string) {
	t.Helper()
	body, err := json.Marshal(settings.Command{Op: settings.PutNode, Path: name, Node: `{"classes": {"chat": {"tier": 1}}}`})
	if err != nil {
		t.Fatal(err)
	}
	command, err := json.Marshal(state.Command{Module: settings.ModuleName, Body: body})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := m.Propose(t.Context(), command); err != nil {
		t.Fatal(err)
	}
}

// TestTreeIsWhatTheMemberHasApplied guards against reading emptier settings than the member holds: right after its restart and right
// after a command, before the loops of the service have run.
func TestTreeIsWhatTheMemberHasApplied(t *testing.T) {
	member := controltest.New(1).Members[0]
	putOrganisation(t, member, "first")
	service := control.New(control.Config{Group: member, Settings: member.Settings})
	if !service.Tree().HasOrganisation("first") {
		t.Error("settings from before the start of the service are missing")
	}
	putOrganisation(t, member, "second")
	if tree := service.Tree(); !tree.HasOrganisation("second") {
		t.Errorf("organisations %v, want the one committed last among them", tree.Organisations())
	}
}
