package main

import (
	"context"
	"os"
	"path/filepath"
	"testing"

	"github.com/guavastack/guavastack/internal/adminapi"
	"github.com/guavastack/guavastack/internal/adminclient"
	"github.com/guavastack/guavastack/internal/localcluster"
)

// setWeight sets the weight of the class fast, retries until the change is accepted and returns its version.
func (c *cluster) setWeight(value string) string {
	c.t.Helper()
	var version string
	c.waitUntil("change to "+value, func() bool {
		patch := `{"classes":{"fast":{"weight":` + value + `}}}`
		r, err := c.Admin().PatchOrganisation(context.Background(), "camurca", patch, adminclient.Options{IfMatch: "*", ChangeID: "weight " + value})
		version = r.Version
		return err == nil
	})
	return version
}

// effectiveWeight returns the effective weight of the class fast according to the operators' API, or the error's text.
func (c *cluster) effectiveWeight() string {
	e, err := c.Admin().Explain(context.Background(), "camurca", "fast")
	if err != nil {
		return err.Error()
	}
	for _, o := range e.Origins {
		if o.Field == "weight" {
			return o.Value
		}
	}
	return ""
}

// TestMemberWithLostDiskIsReplaced erases the disk of a member, replaces the member and then kills another one: the group
// keeps a quorum only by the vote of the replacement.
func TestMemberWithLostDiskIsReplaced(t *testing.T) {
	c := newCluster(t, 1)
	ctx := context.Background()
	leader := c.leader()
	var victim, other string
	var number uint64
	for i, name := range c.Names(localcluster.RoleControl) {
		switch {
		case name == leader:
		case victim == "":
			victim, number = name, uint64(i+1)
		default:
			other = name
		}
	}
	c.Kill(victim)
	c.must(os.RemoveAll(c.DataDir(victim)))
	c.setWeight("2")

	admin := c.AdminOf(leader)
	c.waitUntil("removal of the lost member", func() bool { return admin.RemoveMember(ctx, number) == nil })
	c.must(admin.AddMember(ctx, adminapi.Member{ID: number, Address: c.LinkAddress(victim)}))
	c.must(c.Configure(victim, func(s map[string]any) { s["join"] = true }))
	c.restart(victim)
	c.waitUntil("promotion of the new member", func() bool { return admin.PromoteMember(ctx, number) == nil })

	c.Kill(other)
	c.setWeight("3")
	if got := c.effectiveWeight(); got != "3" {
		t.Errorf("got weight %s, want 3", got)
	}
	if r := c.chat("entry-1", 3); !r.ok {
		t.Errorf("request after the replacement: got %+v, want a complete response", r)
	}
}

// TestMemberWithBlankDiskDoesNotVote restarts a member on a blank disk under its old id while another member is down. Its vote
// must not count, since the member no longer has the entries and votes that it acknowledged.
func TestMemberWithBlankDiskDoesNotVote(t *testing.T) {
	c := newCluster(t, 1)
	members := c.Names(localcluster.RoleControl)
	for _, name := range members {
		c.Kill(name)
	}
	c.must(os.RemoveAll(c.DataDir(members[2])))
	c.must(c.Start(members[1]))
	c.must(c.Start(members[2]))
	// One member with its log and one with a blank disk are no quorum. Each status request waits about 1 s for a quorum.
	for range 3 {
		st, err := c.AdminOf(members[1]).Status(context.Background(), "", 0)
		if err == nil && st.Confirmed {
			t.Fatal("got a quorum that includes a member with a blank disk")
		}
	}
	// With the third member, two members with their logs are a quorum.
	c.must(c.Start(members[0]))
	c.waitUntil("a quorum of the members with their logs", func() bool {
		st, err := c.AdminOf(members[0]).Status(context.Background(), "", 0)
		return err == nil && st.Confirmed
	})
	c.setWeight("4")
}

// TestRestoreFromBackup erases the control group and restores it from a backup. The entries must apply the new epoch although
// they had applied a later version of the old one.
func TestRestoreFromBackup(t *testing.T) {
	c := newCluster(t, 1)
	c.setWeight("2")
	data, err := c.Admin().Backup(context.Background())
	c.must(err)
	file := filepath.Join(t.TempDir(), "backup")
	c.must(os.WriteFile(file, data, 0o600))
	lost := c.setWeight("3")

	members := c.Names(localcluster.RoleControl)
	for _, name := range members {
		c.Kill(name)
		c.must(os.RemoveAll(c.DataDir(name)))
	}
	if out, err := guavastackCommand("group", "restore", "--config", c.SettingsFile(members[0]), file).CombinedOutput(); err != nil {
		t.Fatalf("restore: %v\n%s", err, out)
	}
	c.restart(members[0])
	if got := c.effectiveWeight(); got != "2" {
		t.Errorf("got weight %s after the restore, want 2", got)
	}
	version := c.setWeight("5")
	if version <= lost {
		t.Errorf("got version %s after the restore, want one above %s", version, lost)
	}
	c.waitUntil("the new epoch in every process", func() bool {
		st, err := c.AdminOf(members[0]).Status(context.Background(), version, 0)
		return err == nil && st.InForce && len(st.Processes) == 2
	})
	if r := c.chat("entry-2", 3); !r.ok {
		t.Errorf("request after the restore: got %+v, want a complete response", r)
	}
}
