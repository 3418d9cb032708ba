package gateway

import (
	"net/http"
	"testing"
	"time"
)

// TestUnknownRouteAndKeyNeedConfirmedCatalog covers a gateway whose control member has stopped confirming: a route or key that is
// missing from its catalog may have been added since, so that the request is refused as not run; known ones are served.
func TestUnknownRouteAndKeyNeedConfirmedCatalog(t *testing.T) {
	cases := []struct {
		name, path, key string
		confirmed       bool
		status          int
	}{
		{"unknown route", "/none/x", "k", true, 404},
		{"unknown key", "/safe/x", "other", true, 401},
		{"unknown route, not confirmed", "/none/x", "k", false, 503},
		{"unknown key, not confirmed", "/safe/x", "other", false, 503},
		{"known route and key, not confirmed", "/safe/x", "k", false, 200},
		{"public route, not confirmed", "/open/x", "", false, 200},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newBackend(t, func(r *http.Request, _ string) string { return fullAnswer(r, 200, seal, "ok") })
			b := newFixture(t, s)
			b.gw.cfg.CatalogLimit = 2 * time.Second
			if !c.confirmed {
				b.dir.unconfirmed.Store(int64(2 * time.Second))
			}
			res, _, err := b.do(http.MethodGet, c.path, func(r *http.Request) {
				r.Header.Set("X-Key", c.key)
				r.Header.Set("X-Wait-Ms", "100")
			})
			if err != nil {
				t.Fatal(err)
			}
			if res.StatusCode != c.status {
				t.Errorf("status %d, want %d", res.StatusCode, c.status)
			}
			if verdict := res.Header.Get(headerVerdict); c.status == 503 && verdict != "not_run" {
				t.Errorf("verdict %q, want not_run", verdict)
			}
		})
	}
}
