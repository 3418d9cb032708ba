package catalog_test

import (
	"testing"

	"github.com/guavastack/guavastack/internal/core/catalog"
)

// TestRankOrdersOrganisationsBeforeRoutes compares the ranks of organisations with and without their own priority.
func TestRankOrdersOrganisationsBeforeRoutes(t *testing.T) {
	c := validCatalog()
	for i := range c.Routes {
		c.Routes[i].Priority = i
	}
	c.Organisations = []catalog.Organisation{
		{Name: "first", Priority: 0, HasPriority: true},
		{Name: "second", Priority: 1, HasPriority: true},
		{Name: "plain"},
	}
	x := catalog.NewIndex(c)
	rank := func(organisation, route int) int { return x.Rank(&c.Organisations[organisation], &c.Routes[route]) }
	cases := []struct {
		name         string
		higher, less int
	}{
		{"route among equals", rank(0, 0), rank(0, 1)},
		{"route among equals, again", rank(1, 1), rank(1, 2)},
		{"organisation before route", rank(0, 2), rank(1, 0)},
		{"an organisation without a priority has its route's", rank(0, 2), rank(2, 1)},
		{"an organisation without a priority ranks below one with a higher priority", rank(1, 2), rank(2, 2)},
	}
	for _, tc := range cases {
		if tc.higher >= tc.less {
			t.Errorf("%s: rank %d, want one before %d", tc.name, tc.higher, tc.less)
		}
	}
	if x.Ranks() != 7 {
		t.Errorf("%d ranks, want 7", x.Ranks())
	}
	if got, want := x.Rank(nil, &c.Routes[1]), rank(2, 1); got != want {
		t.Errorf("public request: rank %d, want %d", got, want)
	}
}
