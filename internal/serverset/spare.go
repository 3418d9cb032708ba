package serverset

import (
	"math/rand/v2"
	"time"

	"github.com/guavastack/guavastack/internal/core/route"
)

// Occupancy returns the requests at the ready backend servers of a kind and model and their slots, as reported.
func (s *Set) Occupancy(kind, model string) (busy, slots int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Occupancy(time.Now(), kind, model)
}

// ChooseExtra selects a backend server for work that could be left out, such as a second copy of a request. It is as Choose without the
// servers that are not healthy, state a rate limit, send nothing, report no free slot or belong to another lane.
func (s *Set) ChooseExtra(req route.Request) (route.Backend, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	req.Zone = s.zone
	req.Exclude = s.table.AppendUnfitForExtra(req.Exclude[:len(req.Exclude):len(req.Exclude)], now, &req)
	return s.router.Choose(now, req, rand.Uint64())
}
