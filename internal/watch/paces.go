package watch

import (
	"sync/atomic"

	"github.com/guavastack/guavastack/internal/core/route"
	"github.com/guavastack/guavastack/internal/lanemsg"
	"github.com/guavastack/guavastack/proto/controlpb"
)

// paceSource returns what this process knows of the pace of backend servers.
type paceSource struct {
	f atomic.Pointer[func() []route.PaceReport]
}

// SetPaces sets the function that returns what this process knows of the pace of the services' servers.
func (c *Client) SetPaces(f func() []route.PaceReport) { c.paces.f.Store(&f) }

// addTo adds the paces to a request.
func (p *paceSource) addTo(q *controlpb.WatchRequest) {
	if f := p.f.Load(); f != nil {
		q.Paces = lanemsg.FromPaces((*f)())
	}
}
