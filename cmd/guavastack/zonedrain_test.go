package main

import (
	"context"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"testing"

	"github.com/guavastack/guavastack/internal/localcluster"
)

// operatorPort is the port of the members' addresses for operators.
const operatorPort = "7999"

// operatorAddress returns the address of a control member for operators.
func (c *cluster) operatorAddress(member string) string {
	host, _, err := net.SplitHostPort(c.LinkAddress(member))
	c.must(err)
	return net.JoinHostPort(host, operatorPort)
}

// serveOperators restarts the control members with an address for operators, and returns their names.
func (c *cluster) serveOperators() []string {
	c.t.Helper()
	members := c.Names(localcluster.RoleControl)
	for _, name := range members {
		c.must(c.Configure(name, func(s map[string]any) { s["operators"] = c.operatorAddress(name) }))
		c.Kill(name)
	}
	for _, name := range members {
		c.must(c.Start(name))
	}
	c.must(c.WaitReady(members...))
	return members
}

// repeatOrder repeats an operator's call at members in turn until it is acknowledged.
func (c *cluster) repeatOrder(at []string, path string) {
	c.t.Helper()
	i := 0
	c.waitUntil("acknowledgement of "+path, func() bool {
		i++
		return c.orderDrain(at[i%len(at)], path) == http.StatusOK
	})
}

// orderDrain makes one operator's call at a control member and returns its status; 0: none.
func (c *cluster) orderDrain(member, path string) int {
	res, err := c.HTTP.Post("http://"+c.operatorAddress(member)+path, "", nil)
	if err != nil {
		return 0
	}
	_ = res.Body.Close()
	return res.StatusCode
}

// drainedZones returns the zones that a confirmed status lists as drained, and false if no status is confirmed.
func (c *cluster) drainedZones(member string) ([]string, bool) {
	st, err := c.AdminOf(member).Status(context.Background(), "", 0)
	zones := []string{}
	for _, d := range st.Drains {
		zones = append(zones, d.Zone)
	}
	return zones, err == nil && st.Confirmed
}

// TestDrainOutlastsKilledProcesses kills every process right after the acknowledgement of an order, and starts them again on their data. The
// order must be in force, as must the next one, which is given while a member is down.
func TestDrainOutlastsKilledProcesses(t *testing.T) {
	c := newCluster(t, 1)
	members := c.serveOperators()
	order := c.repeatOrder
	killAll := func() {
		for _, name := range c.Names("") {
			c.Kill(name)
		}
		for _, name := range c.Names("") {
			c.must(c.Start(name))
		}
	}
	check := func(want ...string) {
		t.Helper()
		for _, name := range members {
			var got []string
			c.waitUntil("a confirmed status of "+name, func() (ok bool) {
				got, ok = c.drainedZones(name)
				return ok
			})
			if !slices.Equal(got, want) {
				t.Errorf("%s: got drained zones %q, want %q", name, got, want)
			}
		}
	}

	order(members, "/Evacuate.Start/a")
	killAll()
	check("a")
	order(members, "/Evacuate.Start/a") // as an operator repeats it whose answer was lost

	c.Kill(members[0])
	order(members[1:], "/Evacuate.Start/b")
	killAll()
	check("a", "b")

	order(members, "/Evacuate.Finish/a")
	killAll()
	check("b")
	if status := c.orderDrain(members[1], "/Evacuate.Finish/none"); status != http.StatusOK {
		t.Errorf("got status %d for the end of no drain, want 200", status)
	}
}

// TestRestoreFromBackupEndsLaterDrains restores a control group from a backup that was taken before a drain. The entries must follow the
// restored group, though its list of drains has a lower revision than theirs.
func TestRestoreFromBackupEndsLaterDrains(t *testing.T) {
	c := newCluster(t, 1)
	members := c.serveOperators()
	data, err := c.Admin().Backup(context.Background())
	c.must(err)
	file := filepath.Join(t.TempDir(), "backup")
	c.must(os.WriteFile(file, data, 0o600))
	for _, call := range []string{"Start", "Finish", "Start"} {
		c.repeatOrder(members, "/Evacuate."+call+"/a") // the only zone
	}
	for _, entry := range c.Names(localcluster.RoleEntry) {
		c.waitUntil("refusals of "+entry, func() bool { return c.chat(entry, 1).status == http.StatusServiceUnavailable })
	}

	for _, name := range members {
		c.Kill(name)
		c.must(os.RemoveAll(c.DataDir(name)))
	}
	if out, err := guavastackCommand("group", "restore", "--config", c.SettingsFile(members[0]), file).CombinedOutput(); err != nil {
		t.Fatalf("restore: %v\n%s", err, out)
	}
	c.restart(members[0])
	if got, ok := c.drainedZones(members[0]); !ok || len(got) > 0 {
		t.Errorf("got drained zones %q after the restore, confirmed %v; want none", got, ok)
	}
	for _, entry := range c.Names(localcluster.RoleEntry) {
		c.waitUntil("complete responses of "+entry, func() bool { return c.chat(entry, 1).ok })
	}
	c.repeatOrder(members[:1], "/Evacuate.Start/a")
	for _, entry := range c.Names(localcluster.RoleEntry) {
		c.waitUntil("refusals of "+entry+" after the restore", func() bool { return c.chat(entry, 1).status == http.StatusServiceUnavailable })
	}
}
