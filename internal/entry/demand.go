package entry

import (
	"sort"
	"sync"

	"github.com/guavastack/guavastack/proto/controlpb"
)

// demandMeter counts what organisations ask for between two reports, granted or not.
type demandMeter struct {
	mu   sync.Mutex
	byID map[string]*controlpb.Demand
}

func newDemandMeter() *demandMeter { return &demandMeter{byID: make(map[string]*controlpb.Demand)} }

func (d *demandMeter) of(organisation string) *controlpb.Demand {
	c := d.byID[organisation]
	if c == nil {
		c = &controlpb.Demand{Organisation: organisation}
		d.byID[organisation] = c
	}
	return c
}

// arrived counts one request.
func (d *demandMeter) arrived(organisation string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.of(organisation)
	c.Requests++
	c.Running++
}

// left says that a request is over.
func (d *demandMeter) left(organisation string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.of(organisation).Running--
}

// tokens counts delivered tokens.
func (d *demandMeter) tokens(organisation string, n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.of(organisation).Tokens += uint64(n)
}

// collect returns the demand since the last call.
func (d *demandMeter) collect() []*controlpb.Demand {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []*controlpb.Demand
	for org, c := range d.byID {
		out = append(out, &controlpb.Demand{
			Organisation: org, Requests: c.Requests, Tokens: c.Tokens, Running: c.Running,
		})
		if c.Running == 0 {
			delete(d.byID, org)
			continue
		}
		c.Requests, c.Tokens = 0, 0
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Organisation < out[j].Organisation })
	return out
}
