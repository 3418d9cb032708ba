package gateway

import (
	"net/http"
	"slices"
	"testing"

	"github.com/guavastack/guavastack/internal/core/route"
	"github.com/guavastack/guavastack/proto/controlpb"
)

// saidThatItLeaves is the state of a server that said in an answer that it leaves, while the registry still has it as ready.
const saidThatItLeaves = "said that it leaves"

// retire makes the gateway know a state of a server; empty: ready.
func (b *fixture) retire(server *controlpb.BackendServer, state string) {
	switch state {
	case "":
		return
	case saidThatItLeaves:
		b.gw.servers.RecordLeaving(server.Id, server.Incarnation)
		return
	case route.LifecycleGone:
		b.dir.backends = slices.DeleteFunc(slices.Clone(b.dir.backends), func(other *controlpb.BackendServer) bool { return other == server })
	default:
		server.Lifecycle = state
	}
	b.dir.onChange()
}

// TestStreamResumesFromBackupAfterCrash interrupts a stream that must run only once. The server that holds the backup resumes it,
// unless the first server may still be running it or there is no backup.
func TestStreamResumesFromBackupAfterCrash(t *testing.T) {
	const events = "id: 1\n\nid: 2\n\n"
	cases := []struct {
		name      string
		output    string // maximum output tokens
		crashes   bool   // the first server refuses new connections
		hasBackup bool   // the second server has the backup
		fails     bool   // the second server answers with an error
		first     string // what is known of the first server when it breaks off, if it isn't ready
		want      string
		truncated bool
	}{
		{"crash", "300", true, true, false, "", events + "id: 3\n\n", false},
		{"server still accepts connections", "300", false, true, false, "", events, true},
		{"no backup of the run", "300", true, false, false, "", events, true},
		{"short answer to a long prompt", "20", true, true, false, "", events, true},
		{"error from the server with the backup", "300", true, true, true, "", events, true},
		// Guards against a run at two servers (review/2): one that leaves refuses connections and goes on with what it has.
		{"server that leaves refuses connections", "300", true, true, false, route.LifecycleLeaving, events, true},
		{"server that was deregistered refuses connections", "300", true, true, false, route.LifecycleGone, events, true},
		{"server that said that it leaves refuses connections", "300", true, true, false, saidThatItLeaves, events, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var b *fixture
			starts := 0
			script := func(r *http.Request, _ string) string {
				if from := r.Header.Get("X-From"); from != "" {
					if !c.hasBackup {
						return fullAnswer(r, 503, "X-Not-Run: 1\r\n", "")
					}
					if c.fails {
						return fullAnswer(r, 500, seal, "failed")
					}
					if r.Header.Get("X-After") != "2" {
						t.Errorf("resumed after event %q, want 2", r.Header.Get("X-After"))
					}
					return streamStart(r, "id: 3\n\n") + lastChunk
				}
				starts++
				for i, s := range b.servers {
					if !c.crashes || r.Header.Get("X-Server") != b.dir.backends[i].Id {
						continue
					}
					_ = s.lis.Close()
					b.retire(b.dir.backends[i], c.first)
					break
				}
				return streamStart(r, events) + closeAfter
			}
			b = newFixture(t, newBackend(t, script), newBackend(t, script))
			_, body, err := b.do(http.MethodPost, "/stream/x", func(r *http.Request) {
				r.Header.Set("X-Prompt", "700")
				r.Header.Set("X-Output", c.output)
			})
			if body != c.want || (err != nil) != c.truncated {
				t.Errorf("body %q, error %v; want %q, truncated %v", body, err, c.want, c.truncated)
			}
			if starts != 1 {
				t.Errorf("the request was started %d times, want 1", starts)
			}
		})
	}
}
