package member

import (
	"time"

	"github.com/juju/errors"
)

// Limits of what a backend server may state of itself. An entry beyond them comes from a faulty writer. Accepted, it could not be
// superseded by the server's own reports, hide another server, or attract all work.
const (
	// MaxNameBytes bounds the id, the model or service and the availability zone.
	MaxNameBytes = 256
	// MaxSequence is the highest sequence, the largest integer that every JSON writer represents exactly.
	MaxSequence = 1<<53 - 1
	// MaxSlots is the highest number of requests that a server runs at a time.
	MaxSlots = 1 << 16
	// MaxStartAhead is how far a start may be ahead of the clock of the instance that reads the report.
	MaxStartAhead = 24 * time.Hour
)

// Description is what a backend server states of itself in a report.
type Description struct {
	ID, Model, Zone string
	StartedMS       int64 // Unix time in milliseconds
	Sequence        uint64
	Slots           uint32
}

// Validate returns an error of kind errors.NotValid that names the first statement that can't be true. now is the time of day.
func (d Description) Validate(now time.Time) error {
	switch {
	case d.ID == "" || len(d.ID) > MaxNameBytes:
		return errors.NotValidf("id of %d bytes", len(d.ID))
	case d.Model == "" || len(d.Model) > MaxNameBytes:
		return errors.NotValidf("model or service of %d bytes", len(d.Model))
	case len(d.Zone) > MaxNameBytes:
		return errors.NotValidf("zone of %d bytes", len(d.Zone))
	case d.StartedMS < 0 || time.UnixMilli(d.StartedMS).After(now.Add(MaxStartAhead)):
		return errors.NotValidf("start at %d ms", d.StartedMS)
	case d.Sequence > MaxSequence:
		return errors.NotValidf("sequence %d", d.Sequence)
	case d.Slots > MaxSlots:
		return errors.NotValidf("%d slots", d.Slots)
	default:
		return nil
	}
}
