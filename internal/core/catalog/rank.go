package catalog

import (
	"cmp"
	"slices"
)

// precedence orders requests by the organisation's priority, then by the route's. 0 is the highest.
type precedence struct{ organisation, route int }

// precedenceOf returns the precedence of a request. o is nil on a public route.
func precedenceOf(o *Organisation, r *Route) precedence {
	p := precedence{r.Priority, r.Priority}
	if o != nil && o.HasPriority {
		p.organisation = o.Priority
	}
	return p
}

// ranksOf numbers the distinct precedences of c, from 0 for the highest.
func ranksOf(c *Catalog) map[precedence]int {
	var all []precedence
	for i := range c.Routes {
		r := &c.Routes[i]
		all = append(all, precedenceOf(nil, r))
		for j := range c.Organisations {
			all = append(all, precedenceOf(&c.Organisations[j], r))
		}
	}
	slices.SortFunc(all, func(a, b precedence) int {
		return cmp.Or(cmp.Compare(a.organisation, b.organisation), cmp.Compare(a.route, b.route))
	})
	ranks := make(map[precedence]int)
	for _, p := range slices.Compact(all) {
		ranks[p] = len(ranks)
	}
	return ranks
}

// Rank returns the rank of a request's precedence among those of the catalog, 0 for the highest. o is nil on a public
// route.
func (x *Index) Rank(o *Organisation, r *Route) int { return x.ranks[precedenceOf(o, r)] }

// Ranks returns the number of ranks.
func (x *Index) Ranks() int { return len(x.ranks) }
