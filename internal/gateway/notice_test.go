package gateway

import (
	"net/http"
	"strconv"
	"testing"
	"time"
)

// TestServerThatSaysItLeavesGetsNoNewWork guards against requests to a server that said in an answer that it leaves, while the registry still
// lists it as ready, as for a gateway that is cut off from the control group.
func TestServerThatSaysItLeavesGetsNoNewWork(t *testing.T) {
	answers := map[string]func(r *http.Request) string{
		"served":  func(r *http.Request) string { return fullAnswer(r, 200, seal+"X-Leaves: 1\r\n", "served") },
		"failed":  func(r *http.Request) string { return fullAnswer(r, 500, seal+"X-Leaves: 1\r\n", "bad") },
		"refused": func(r *http.Request) string { return fullAnswer(r, 503, "X-Not-Run: 1\r\nX-Leaves: 1\r\n", "") },
		"cut": func(r *http.Request) string {
			return "HTTP/1.1 200 OK\r\nX-Id: " + r.Header.Get("X-Id") + "\r\n" + seal + "X-Leaves: 1\r\nContent-Length: 10\r\n\r\nabc" + closeAfter
		},
	}
	for name, leaving := range answers {
		t.Run(name, func(t *testing.T) {
			said := ""
			script := func(r *http.Request, _ string) string {
				if said == "" {
					said = r.Header.Get("X-Server")
					return leaving(r)
				}
				if r.Header.Get("X-Server") == said {
					t.Error("a request reached the server that said that it leaves")
				}
				return fullAnswer(r, 200, seal, "served")
			}
			b := newFixture(t, newBackend(t, script), newBackend(t, script))
			for i := range 20 {
				if _, _, err := b.do(http.MethodPost, "/unsafe/x", func(r *http.Request) { r.Header.Set("X-Id", strconv.Itoa(i)) }); err != nil {
					t.Fatal(err)
				}
				b.dir.onChange() // the registry still lists the server as ready
			}
		})
	}
}

// TestPausedServerGetsNothing guards against requests to a server that asked for a pause. If all are paused, callers learn at once when to
// come back.
func TestPausedServerGetsNothing(t *testing.T) {
	const pause = 40 * time.Second
	paused := func(r *http.Request, _ string) string {
		return fullAnswer(r, 503, "X-Not-Run: 1\r\nX-Pause: "+pause.String()+"\r\n", "")
	}
	servers := []*backend{newBackend(t, paused), newBackend(t, paused)}
	b := newFixture(t, servers...)
	for i := range 20 {
		res, _, err := b.do(http.MethodPost, "/unsafe/x", func(r *http.Request) { r.Header.Set("X-Id", strconv.Itoa(i)) })
		if err != nil {
			t.Fatal(err)
		}
		retry, _ := strconv.ParseFloat(res.Header.Get("Retry-After"), 64)
		if res.StatusCode != http.StatusServiceUnavailable || res.Header.Get(headerVerdict) != "not_run" {
			t.Errorf("status %d, verdict %q; want 503 and not_run", res.StatusCode, res.Header.Get(headerVerdict))
		}
		if back := time.Duration(retry * float64(time.Second)); back < pause/2 || back > 2*pause {
			t.Errorf("Retry-After %v, want what is left of the pause of %v", back, pause)
		}
	}
	for i, s := range servers {
		if n := len(s.requests()); n != 1 {
			t.Errorf("server %d got %d requests, want only the one that it answered with the pause", i, n)
		}
	}
}

// TestStreamIsNotResumedAtServerThatTakesNoWork lets the server with the backup leave, or ask for a pause, before the run breaks off.
func TestStreamIsNotResumedAtServerThatTakesNoWork(t *testing.T) {
	for name, record := range map[string]func(b *fixture, id string){
		"leaves": func(b *fixture, id string) { b.gw.servers.RecordLeaving(id, "1") },
		"paused": func(b *fixture, id string) { b.gw.servers.RecordPause(id, "1", time.Minute) },
	} {
		t.Run(name, func(t *testing.T) {
			var b *fixture
			script := func(r *http.Request, _ string) string {
				if r.Header.Get("X-From") != "" {
					t.Error("the run went on at a server that takes no work")
					return fullAnswer(r, 500, seal, "")
				}
				for i, s := range b.servers {
					if id := b.dir.backends[i].Id; r.Header.Get("X-Server") == id {
						_ = s.lis.Close()
					} else {
						record(b, id)
					}
				}
				return streamStart(r, "id: 1\n\n") + closeAfter
			}
			b = newFixture(t, newBackend(t, script), newBackend(t, script))
			_, body, err := b.do(http.MethodPost, "/stream/x", func(r *http.Request) {
				r.Header.Set("X-Prompt", "700")
				r.Header.Set("X-Output", "300")
			})
			if err == nil || body != "id: 1\n\n" {
				t.Errorf("body %q, error %v; want the stream broken off behind its first event", body, err)
			}
		})
	}
}
