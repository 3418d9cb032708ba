package catalog

import (
	"slices"
	"testing"
)

// TestHomeRegions checks which regions a request may go to by its route and organisation.
func TestHomeRegions(t *testing.T) {
	cases := []struct {
		name                string
		route, organisation []string
		want                []string
		limited             bool
	}{
		{"none", nil, nil, nil, false},
		{"route", []string{"a", "b"}, nil, []string{"a", "b"}, true},
		{"organisation", nil, []string{"b"}, []string{"b"}, true},
		{"both", []string{"a", "b", "c"}, []string{"c", "b"}, []string{"b", "c"}, true},
		{"both, none in common", []string{"a"}, []string{"b"}, nil, true},
	}
	for _, c := range cases {
		got, limited := HomeRegions(&Route{HomeRegions: c.route}, &Organisation{HomeRegions: c.organisation})
		if !slices.Equal(got, c.want) || limited != c.limited {
			t.Errorf("%s: %v, limited %v; want %v, %v", c.name, got, limited, c.want, c.limited)
		}
	}
	if got, limited := HomeRegions(&Route{HomeRegions: []string{"a"}}, nil); !limited || !slices.Equal(got, []string{"a"}) {
		t.Errorf("without an organisation: %v, limited %v; want those of the route", got, limited)
	}
}
