// Package zonedrain is the replicated list of drained availability zones: gateways send no new work to the servers of a drained zone.
package zonedrain

import (
	"slices"
	"strings"
	"unicode/utf8"

	"github.com/juju/errors"
)

const (
	// MaxZoneBytes is the maximum length of a zone's name.
	MaxZoneBytes = 64
	// maxZones bounds the zones about which orders are recorded. A fleet has a few zones; without a list of known zones, any name is
	// accepted.
	maxZones = 256
)

// ValidateZone returns an error for a name that no zone can have. Text that is not UTF-8 is refused, since its JSON form would be that of
// other names too.
func ValidateZone(name string) error {
	if name == "" || len(name) > MaxZoneBytes || !utf8.ValidString(name) {
		return errors.NotValidf("zone name of %d bytes; expected 1 to %d bytes of UTF-8", len(name), MaxZoneBytes)
	}
	return nil
}

// Drain is a drain in force.
type Drain struct {
	Zone    string `json:"zone"`
	SinceMS int64  `json:"since_ms"` // commit of the order by which it began, milliseconds since 1970
	By      string `json:"by"`       // who gave that order
}

// List is the drains in force, by ascending zone. It is immutable.
type List struct {
	// Revision grows with each drain that begins or ends.
	Revision uint64
	Drains   []Drain
}

// Find returns the drain of a zone, or nil if the zone is not drained. l may be nil.
func (l *List) Find(zone string) *Drain {
	if l == nil {
		return nil
	}
	i, ok := slices.BinarySearchFunc(l.Drains, zone, func(d Drain, zone string) int { return strings.Compare(d.Zone, zone) })
	if !ok {
		return nil
	}
	return &l.Drains[i]
}

// Zones returns the drained zones. l may be nil.
func (l *List) Zones() []string {
	if l == nil {
		return nil
	}
	zones := make([]string, len(l.Drains))
	for i, d := range l.Drains {
		zones[i] = d.Zone
	}
	return zones
}
