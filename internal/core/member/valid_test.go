package member_test

import (
	"math"
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"

	"github.com/guavastack/guavastack/internal/core/member"
)

// Guards against entries of faulty writers that hide a server, never get superseded or attract all work.
func TestDescriptionValidate(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	long := strings.Repeat("x", member.MaxNameBytes+1)
	cases := []struct {
		name   string
		change func(*member.Description)
		valid  bool
	}{
		{"unchanged", func(*member.Description) {}, true},
		{"started a moment ahead of our clock", func(d *member.Description) { d.StartedMS = now.Add(time.Hour).UnixMilli() }, true},
		{"no start stated", func(d *member.Description) { d.StartedMS = 0 }, true},
		{"no slots stated", func(d *member.Description) { d.Slots = 0 }, true},
		{"no id", func(d *member.Description) { d.ID = "" }, false},
		{"long id", func(d *member.Description) { d.ID = long }, false},
		{"no model", func(d *member.Description) { d.Model = "" }, false},
		{"long model", func(d *member.Description) { d.Model = long }, false},
		{"long zone", func(d *member.Description) { d.Zone = long }, false},
		{"start before 1970", func(d *member.Description) { d.StartedMS = -1 }, false},
		{"start in two days", func(d *member.Description) { d.StartedMS = now.Add(48 * time.Hour).UnixMilli() }, false},
		{"last start", func(d *member.Description) { d.StartedMS = math.MaxInt64 }, false},
		{"last sequence", func(d *member.Description) { d.Sequence = math.MaxUint64 }, false},
		{"too many slots", func(d *member.Description) { d.Slots = math.MaxUint32 }, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			d := member.Description{ID: "i", Model: "m", Zone: "z", StartedMS: now.UnixMilli(), Sequence: 1, Slots: 8}
			tc.change(&d)
			if err := d.Validate(now); (err == nil) != tc.valid || err != nil && !errors.Is(err, errors.NotValid) {
				t.Errorf("got error %v, want valid %v", err, tc.valid)
			}
		})
	}
}
