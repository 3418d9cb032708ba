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

// weight changes one setting, and returns the version of the change.
func (c *cluster) weight(value string) string {
	c.t.Helper()
	var version string
	c.until("change to "+value, func() bool {
		patch := `{"classes":{"fast":{"weight":` + value + `}}}`
		r, err := c.Admin().PatchOrganisation(context.Background(), "camurca", patch, adminclient.Options{IfMatch: "*", ChangeID: "weight " + value})
		version = r.Version
		return err == nil
	})
	return version
}

// explained returns the effective weight as operators see it.
func (c *cluster) explained() string {
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

// TestMemberWithLostDiskIsReplaced loses the disk of a member, replaces the member and then loses another one for good:
// the group goes on by the replaced member's vote.
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
	c.must(os.RemoveAll(c.Data(victim)))
	c.weight("2")

	admin := c.AdminOf(leader)
	c.until("removal of the lost member", func() bool { return admin.RemoveMember(ctx, number) == nil })
	c.must(admin.AddMember(ctx, adminapi.Member{ID: number, Address: c.LinkAddress(victim)}))
	c.must(c.Configure(victim, func(s map[string]any) { s["join"] = true }))
	c.restart(victim)
	c.until("promotion of the new member", func() bool { return admin.PromoteMember(ctx, number) == nil })

	c.Kill(other)
	c.weight("3")
	if got := c.explained(); got != "3" {
		t.Errorf("weight %s, want 3", got)
	}
	if r := c.chat("entry-1", 3); !r.ok {
		t.Errorf("request after the repair: %+v", r)
	}
}

// TestBlankDiskNeverVotesUnderTheOldName starts a member with a blank disk in its old place, while another one is down:
// the group must not count its vote.
func TestBlankDiskNeverVotesUnderTheOldName(t *testing.T) {
	c := newCluster(t, 1)
	members := c.Names(localcluster.RoleControl)
	for _, name := range members {
		c.Kill(name)
	}
	c.must(os.RemoveAll(c.Data(members[2])))
	c.must(c.Start(members[1]))
	c.must(c.Start(members[2]))
	// One old voter and one blank disk are no quorum. Each question waits for a quorum for about a second.
	for range 3 {
		st, err := c.AdminOf(members[1]).Status(context.Background(), "", 0)
		if err == nil && st.Confirmed {
			t.Fatal("a blank disk voted under the old name")
		}
	}
	// Once the third is back, the two old members are a quorum.
	c.must(c.Start(members[0]))
	c.until("a quorum of the old members", func() bool {
		st, err := c.AdminOf(members[0]).Status(context.Background(), "", 0)
		return err == nil && st.Confirmed
	})
	c.weight("4")
}

// TestRestoreFromBackup loses the whole control group and restores it from a backup: entries take the new epoch, also
// those that had applied later versions of the old one.
func TestRestoreFromBackup(t *testing.T) {
	c := newCluster(t, 1)
	c.weight("2")
	data, err := c.Admin().Backup(context.Background())
	c.must(err)
	file := filepath.Join(t.TempDir(), "backup")
	c.must(os.WriteFile(file, data, 0o600))
	lost := c.weight("3")

	members := c.Names(localcluster.RoleControl)
	for _, name := range members {
		c.Kill(name)
		c.must(os.RemoveAll(c.Data(name)))
	}
	if out, err := command("group", "restore", "--config", c.File(members[0]), file).CombinedOutput(); err != nil {
		t.Fatalf("restore: %v\n%s", err, out)
	}
	c.restart(members[0])
	if got := c.explained(); got != "2" {
		t.Errorf("weight %s after the restore, want 2", got)
	}
	version := c.weight("5")
	if version <= lost {
		t.Errorf("version %s after the restore is not above %s before", version, lost)
	}
	c.until("the new epoch in every process", func() bool {
		st, err := c.AdminOf(members[0]).Status(context.Background(), version, 0)
		return err == nil && st.InForce && len(st.Processes) == 2
	})
	if r := c.chat("entry-2", 3); !r.ok {
		t.Errorf("request after the restore: %+v", r)
	}
}
