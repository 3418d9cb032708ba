package main

import (
	"context"
	"net"
	"net/http"
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
	members := c.Names(localcluster.RoleControl)
	for _, name := range members {
		c.must(c.Configure(name, func(s map[string]any) { s["operators"] = c.operatorAddress(name) }))
		c.Kill(name)
	}
	for _, name := range members {
		c.must(c.Start(name))
	}
	c.must(c.WaitReady(members...))
	order := func(at []string, path string) {
		t.Helper()
		i := 0
		c.waitUntil("acknowledgement of "+path, func() bool {
			i++
			return c.orderDrain(at[i%len(at)], path) == http.StatusOK
		})
	}
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
