package watch

import (
	"github.com/guavastack/guavastack/internal/core/settings"
	"github.com/guavastack/guavastack/internal/core/zonedrain"
	"github.com/guavastack/guavastack/proto/controlpb"
)

// receivedDrains is a received list of the drains of availability zones.
type receivedDrains struct {
	version settings.Version // epoch and revision
	list    *zonedrain.List
}

// ZoneDrains returns the newest received list of the drains of availability zones. It is kept while no control member can be reached.
func (c *Client) ZoneDrains() *zonedrain.List { return c.drains.Load().list }

// applyZoneDrains stores the list of drains if it is newer than the current one, so that a lagging member cannot revert it.
func (s *session) applyZoneDrains(u *controlpb.WatchUpdate) bool {
	if u.ZoneDrains == nil {
		return false
	}
	version := settings.Version{Epoch: u.ZoneDrains.Epoch, Version: u.ZoneDrains.Revision}
	if !s.client.drains.Load().version.Less(version) {
		return false
	}
	list := &zonedrain.List{Revision: version.Version}
	for _, d := range u.ZoneDrains.Drains {
		list.Drains = append(list.Drains, zonedrain.Drain{Zone: d.Zone, SinceMS: d.SinceMs, By: d.OrderedBy})
	}
	s.client.drains.Store(&receivedDrains{version: version, list: list})
	return true
}
