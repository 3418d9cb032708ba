package entry

import (
	"sort"
	"sync"

	"github.com/guavastack/guavastack/proto/controlpb"
)

// demandMeter counts the demand of each organisation between two freshness queries, including refused requests.
type demandMeter struct {
	mu             sync.Mutex
	byOrganisation map[string]*controlpb.Demand
}

func newDemandMeter() *demandMeter {
	return &demandMeter{byOrganisation: make(map[string]*controlpb.Demand)}
}

func (d *demandMeter) forOrganisation(organisation string) *controlpb.Demand {
	c := d.byOrganisation[organisation]
	if c == nil {
		c = &controlpb.Demand{Organisation: organisation}
		d.byOrganisation[organisation] = c
	}
	return c
}

// recordArrival counts one request.
func (d *demandMeter) recordArrival(organisation string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.forOrganisation(organisation)
	c.Requests++
	c.Running++
}

// recordEnd records that a request has ended.
func (d *demandMeter) recordEnd(organisation string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.forOrganisation(organisation).Running--
}

// recordTokens counts delivered tokens.
func (d *demandMeter) recordTokens(organisation string, n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.forOrganisation(organisation).Tokens += uint64(n)
}

// collect returns the demand since the last call and the requests now in progress, ordered by organisation.
func (d *demandMeter) collect() []*controlpb.Demand {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []*controlpb.Demand
	for org, c := range d.byOrganisation {
		out = append(out, &controlpb.Demand{
			Organisation: org, Requests: c.Requests, Tokens: c.Tokens, Running: c.Running,
		})
		if c.Running == 0 {
			delete(d.byOrganisation, org)
			continue
		}
		c.Requests, c.Tokens = 0, 0
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Organisation < out[j].Organisation })
	return out
}
