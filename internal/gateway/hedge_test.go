package gateway

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/guavastack/guavastack/internal/core/catalog"
	"github.com/guavastack/guavastack/internal/core/hedge"
)

const (
	// usualTime is the time to the first byte that the servers of these tests have while the gateway learns it, before the request under test.
	usualTime = 20 * time.Millisecond
	// trainingRequests is the number of requests from which the gateway learns usualTime.
	trainingRequests = 100
)

// hedgeTest is a fleet of two servers whose gateway has learned usualTime. The answers of the request under test are those of its first and its
// second send.
type hedgeTest struct {
	*virtualFleet
	mu      sync.Mutex
	scripts []func(r *http.Request) []part
	sent    int
}

// trainingID is the prefix of the ids of the requests from which the gateway learns.
const trainingID = "training"

// startHedgeTest returns a fleet of three servers that has learned the times of a path. A request after this gets the scripts in the order of its sends.
func startHedgeTest(t *testing.T, path string, scripts ...func(r *http.Request) []part) *hedgeTest {
	h := &hedgeTest{scripts: scripts}
	h.virtualFleet = newVirtualFleet(t, 3, 0.2, func(_ int, r *http.Request) []part {
		if strings.HasPrefix(r.Header.Get("X-Id"), trainingID) {
			if strings.HasPrefix(r.URL.Path, "/resume/") {
				return events(r, usualTime, "id: 1\n\n")
			}
			return whole(r, usualTime, 200, seal, "training")
		}
		h.mu.Lock()
		defer h.mu.Unlock()
		h.sent++
		return h.scripts[min(h.sent, len(h.scripts))-1](r)
	})
	for range trainingRequests {
		if a := h.doAs(t.Context(), trainingID, http.MethodGet, path); a.status != 200 {
			t.Fatalf("training request: status %d", a.status)
		}
	}
	h.gw.usage.Flush(context.Background())
	time.Sleep(2 * h.gw.cfg.UsageWindow) // the request under test is counted in a window of its own
	return h
}

// ask sends the request under test.
func (h *hedgeTest) ask(ctx context.Context, path string) virtualAnswer {
	return h.doAs(ctx, "asked", http.MethodGet, path)
}

func says(after time.Duration, status int, extra, body string) func(r *http.Request) []part {
	return func(r *http.Request) []part { return whole(r, after, status, extra, body) }
}

func streams(after time.Duration, pieces ...string) func(r *http.Request) []part {
	return func(r *http.Request) []part { return events(r, after, pieces...) }
}

// breaksOff closes the connection without an answer.
func breaksOff(after time.Duration) func(r *http.Request) []part {
	return func(*http.Request) []part { return []part{{after, ""}} }
}

func neverAnswers(*http.Request) []part { return nil }

// TestFirstSuccessIsRelayed covers the orders in which the answers of two sends arrive.
func TestFirstSuccessIsRelayed(t *testing.T) {
	const ms = time.Millisecond
	halfHead := func(r *http.Request) []part {
		full := events(r, 0, "id: 1\n\n", "data: first\n\n")[0].text
		return []part{{10 * ms, full[:20]}, {300 * ms, full[20:]}}
	}
	halfEvent := func(r *http.Request) []part {
		return []part{{5 * ms, openStream(r, "id: 1\nda")}, {300 * ms, nextChunk("ta: first\n\n") + lastChunk}}
	}
	cases := []struct {
		name          string
		path          string
		first, second func(r *http.Request) []part
		want          string
		status        int
		won, lost     int64
		sends         int
		billed        uint64
	}{
		{"first answers in time", "/safe/x", says(usualTime, 200, seal, "first"), nil, "first", 200, 0, 0, 1, 1},
		{"hedge is faster", "/safe/x", says(500*ms, 200, seal, "first"), says(usualTime, 200, seal, "second"), "second", 200, 1, 0, 2, 1},
		{"answers overtake: the first is late and still faster", "/safe/x", says(30*ms, 200, seal, "first"), says(40*ms, 200, seal, "second"), "first", 200, 0, 1, 2, 1},
		{"first never answers", "/safe/x", neverAnswers, says(usualTime, 200, seal, "second"), "second", 200, 1, 0, 2, 1},
		{"first dies while the hedge runs", "/safe/x", breaksOff(30 * ms), says(50*ms, 200, seal, "second"), "second", 200, 1, 0, 2, 1},
		{"hedge dies", "/safe/x", says(100*ms, 200, seal, "first"), breaksOff(10 * ms), "first", 200, 0, 1, 2, 1},
		{"hedge is not run", "/safe/x", says(100*ms, 200, seal, "first"), says(5*ms, 503, "X-Not-Run: 1\r\n", ""), "first", 200, 0, 1, 2, 1},
		{"first is not run, late", "/safe/x", says(30*ms, 503, "X-Not-Run: 1\r\n", ""), says(50*ms, 200, seal, "second"), "second", 200, 1, 0, 2, 1},
		{"first fails with a body", "/safe/x", says(30*ms, 500, seal, "bad"), says(50*ms, 200, seal, "second"), "second", 200, 1, 0, 2, 1},
		{"unsigned success of the first", "/safe/x", says(30*ms, 200, "", "false"), says(50*ms, 200, seal, "second"), "second", 200, 1, 0, 2, 1},
		{"both fail", "/safe/x", says(30*ms, 500, seal, "bad"), says(50*ms, 500, seal, "worse"), "worse", 500, 0, 0, 2, 1},
		{"an answer about the request is no failure", "/safe/x", says(500*ms, 200, seal, "first"), says(10*ms, 404, "", "none"), "none", 404, 1, 0, 2, 1},
		{"stream: the first is half way in its head", "/resume/x", halfHead, streams(usualTime, "id: 7\n\n", "data: second\n\n"), "id: 7\n\ndata: second\n\n", 200, 1, 0, 2, 1},
		{"stream: the first is half way in its first event", "/resume/x", halfEvent, streams(usualTime, "id: 7\n\n"), "id: 7\n\n", 200, 1, 0, 2, 1},
		{"stream: hedge is not run", "/resume/x", streams(100*ms, "id: 1\n\n"), says(5*ms, 503, "X-Not-Run: 1\r\n", ""), "id: 1\n\n", 200, 0, 1, 2, 1},
		{"stream: hedge breaks off inside its first event", "/resume/x", streams(100*ms, "id: 1\n\n"), func(r *http.Request) []part {
			return []part{{5 * ms, openStream(r, "id: 9\nda")}, {5 * ms, ""}}
		}, "id: 1\n\n", 200, 0, 1, 2, 1},
		{"stream: a complete one without an event", "/resume/x", streams(500 * ms), streams(usualTime), "", 200, 1, 0, 2, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := startHedgeTest(t, c.path, c.first, c.second)
				a := h.ask(t.Context(), c.path)
				if a.status != c.status || a.body != c.want || a.cut {
					t.Errorf("got %+v, want status %d and body %q", a, c.status, c.want)
				}
				if won, lost := h.hedgeCount(className(c.path), hedgeWon), h.hedgeCount(className(c.path), hedgeLost); won != c.won || lost != c.lost {
					t.Errorf("%d won and %d lost, want %d and %d", won, lost, c.won, c.lost)
				}
				sends := h.sendsOf("asked")
				if len(sends) != c.sends {
					t.Fatalf("%d sends, want %d", len(sends), c.sends)
				}
				end := time.Now()
				synctest.Wait()
				for _, send := range sends {
					if closed := send.closed(); closed.IsZero() || closed.After(end) {
						t.Errorf("connection closed at %v, want it closed with the answer, at %v", closed, end)
					}
					if send.request.Header.Get("X-After") != "" || send.request.Header.Get("X-Backup") != "" || send.request.Header.Get("X-From") != "" {
						t.Errorf("headers of a resumed or backed up run: %v", send.request.Header)
					}
				}
				if c.sends == 2 && sends[0].request.Header.Get("X-Server") == sends[1].request.Header.Get("X-Server") {
					t.Error("both sends went to one server")
				}
				if got := h.billed(); got != c.billed {
					t.Errorf("billed %d times, want %d", got, c.billed)
				}
				if err := h.checkNothingLeft(); err != nil {
					t.Error(err)
				}
			})
		})
	}
}

// className returns the name of the test route of a path.
func className(path string) string { return strings.Split(path, "/")[1] }

// TestBothAnswerAtTheSameMoment guards against two answers that both count: the caller gets exactly one, and the other connection ends.
func TestBothAnswerAtTheSameMoment(t *testing.T) {
	for range 50 {
		synctest.Test(t, func(t *testing.T) {
			const at = 100 * time.Millisecond
			var began time.Time
			together := func(body string) func(r *http.Request) []part {
				return func(r *http.Request) []part { return whole(r, time.Until(began.Add(at)), 200, seal, body) }
			}
			h := startHedgeTest(t, "/safe/x", together("first"), together("second"))
			began = time.Now()
			a := h.ask(t.Context(), "/safe/x")
			if (a.body != "first" && a.body != "second") || a.took != at {
				t.Errorf("got %+v, want one of the answers after %v", a, at)
			}
			if err := h.checkNothingLeft(); err != nil {
				t.Error(err)
			}
		})
	}
}

// TestCheckOfTheLoserDelaysNoAnswer guards against a winner that waits for the check whether the server of a failed answer without a length has
// ended.
func TestCheckOfTheLoserDelaysNoAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		unframed := func(r *http.Request) []part {
			return []part{{30 * time.Millisecond, "HTTP/1.1 500 X\r\nX-Id: " + r.Header.Get("X-Id") + "\r\n\r\nbad"}, {0, ""}}
		}
		h := startHedgeTest(t, "/safe/x", unframed, says(usualTime, 200, seal, "second"))
		a := h.ask(t.Context(), "/safe/x")
		sends := h.sendsOf("asked")
		if len(sends) != 2 || a.body != "second" {
			t.Fatalf("got %+v with %d sends, want the second answer of 2 sends", a, len(sends))
		}
		if late := sends[1].at.Sub(sends[0].at); a.took != late+usualTime {
			t.Errorf("answered after %v, want %v after the second send at %v", a.took, usualTime, late)
		}
		if err := h.checkNothingLeft(); err != nil {
			t.Error(err)
		}
	})
}

// TestBothConnectionsCloseWhenTheRequestEnds covers the ends of a request while two servers work on it.
func TestBothConnectionsCloseWhenTheRequestEnds(t *testing.T) {
	cases := []struct {
		name    string
		end     func(h *hedgeTest, cancel func())
		status  int
		verdict string
	}{
		{"caller gone", func(_ *hedgeTest, cancel func()) { time.Sleep(100 * time.Millisecond); cancel() }, 200, ""},
		{"deadline", func(*hedgeTest, func()) {}, 504, "may_have_run"},
		{"shutdown", func(h *hedgeTest, _ func()) { time.Sleep(100 * time.Millisecond); h.gw.abort() }, 504, "may_have_run"},
	}
	for _, path := range []string{"/safe/x", "/resume/x"} {
		for _, c := range cases {
			t.Run(c.name+path, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					h := startHedgeTest(t, path, neverAnswers)
					ctx, cancel := context.WithCancel(t.Context())
					defer cancel()
					go c.end(h, cancel)
					a := h.ask(ctx, path)
					end := time.Now()
					if a.status != c.status || a.verdict != c.verdict || a.cut != (c.name == "caller gone") {
						t.Errorf("got %+v, want status %d, verdict %q", a, c.status, c.verdict)
					}
					sends := h.sendsOf("asked")
					if len(sends) != 2 {
						t.Fatalf("%d sends, want 2", len(sends))
					}
					synctest.Wait()
					for _, send := range sends {
						if closed := send.closed(); closed.IsZero() || closed.After(end) {
							t.Errorf("connection closed at %v, want it closed with the request, at %v", closed, end)
						}
					}
					if err := h.checkNothingLeft(); err != nil {
						t.Error(err)
					}
				})
			})
		}
	}
}

// TestWhatALoserSaidCounts guards against lost notices: a server that answered that it leaves, asks for a pause or states a limit did so,
// whichever answer is relayed.
func TestWhatALoserSaidCounts(t *testing.T) {
	for name, extra := range map[string]string{"leaves": "X-Leaves: 1\r\n", "pause": "X-Pause: 60s\r\n", "limit": "X-Limit: 1\r\n"} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				// The head of the first arrives, but not its first event.
				first := func(r *http.Request) []part {
					return []part{{5 * time.Millisecond, strings.Replace(openStream(r), "X-Seal", extra+"X-Seal", 1)}}
				}
				h := startHedgeTest(t, "/resume/x", first, streams(usualTime, "id: 1\n\n"))
				if a := h.ask(t.Context(), "/resume/x"); a.body != "id: 1\n\n" {
					t.Fatalf("got %+v", a)
				}
				server := h.sendsOf("asked")[0].request.Header.Get("X-Server")
				limited := false
				for _, state := range h.gw.servers.States() {
					limited = limited || state.ID == server && state.RateLimit > 0
				}
				if h.gw.servers.TakesWork(server) && !limited {
					t.Error("what the server said is not known")
				}
				if err := h.checkNothingLeft(); err != nil {
					t.Error(err)
				}
			})
		})
	}
}

// TestLoserIsNoFailure guards against servers that are set aside since hedges at them lost.
func TestLoserIsNoFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newVirtualFleet(t, 3, 0.2, func(server int, r *http.Request) []part {
			if server == 0 && strings.HasPrefix(r.Header.Get("X-Id"), "r") {
				return whole(r, 200*time.Millisecond, 200, seal, "x")
			}
			return whole(r, usualTime, 200, seal, "x")
		})
		for range trainingRequests {
			f.doAs(t.Context(), trainingID, http.MethodGet, "/safe/x")
		}
		f.doMany(300, 20*time.Millisecond, http.MethodGet, "/safe/x")
		if f.hedgeCount("safe", hedgeWon) == 0 {
			t.Fatal("no hedge won")
		}
		for _, state := range f.gw.servers.States() {
			if state.Failures != 0 {
				t.Errorf("server %s has %v failures", state.ID, state.Failures)
			}
		}
		if n := f.counter(metricCrashes); n != 0 {
			t.Errorf("%d crashes were recorded", n)
		}
		if err := f.checkNothingLeft(); err != nil {
			t.Error(err)
		}
	})
}

// percentile returns the pth percentile of the times of answers.
func percentile(answers []virtualAnswer, p int) time.Duration {
	var times []time.Duration
	for _, a := range answers {
		times = append(times, a.took)
	}
	slices.Sort(times)
	return times[min(len(times)*p/100, len(times)-1)]
}

// spread is a time to the first byte between 15 and 25 ms that differs from request to request.
func spread(r *http.Request) time.Duration {
	sum := 0
	for _, b := range []byte(r.Header.Get("X-Id")) {
		sum = sum*31 + int(b)
	}
	return 15*time.Millisecond + time.Duration(sum%10)*time.Millisecond
}

// TestOneSlowServerOfTen compares the slowest answers with and without hedges: of a server that is always slow, which the health check sets
// aside, and of ten that stop for a moment one after the other.
func TestOneSlowServerOfTen(t *testing.T) {
	const requests = 3000
	cases := []struct {
		name   string
		isSlow func(server int, since time.Duration) bool
		factor time.Duration
		// limits of the 99th percentile
		without, with time.Duration
	}{
		{"always slow, 50 times", func(server int, _ time.Duration) bool { return server == 0 }, 50, 0, 60 * time.Millisecond},
		{"always slow, 5 times", func(server int, _ time.Duration) bool { return server == 0 }, 5, 0, 60 * time.Millisecond},
		{"in turn for a second, 15 times", func(server int, since time.Duration) bool { return int(since/time.Second)%10 == server }, 15, 200 * time.Millisecond, 150 * time.Millisecond},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			slowest := make(map[float64]time.Duration)
			for _, ratio := range []float64{0, 0.2} {
				synctest.Test(t, func(t *testing.T) {
					began := time.Now()
					f := newVirtualFleet(t, 10, ratio, func(server int, r *http.Request) []part {
						took := spread(r)
						if c.isSlow(server, time.Since(began)) {
							took *= c.factor
						}
						return whole(r, took, 200, seal, "x")
					})
					f.doMany(200, 10*time.Millisecond, http.MethodGet, "/safe/x")
					before := f.sendCount()
					answers := f.doMany(requests, 10*time.Millisecond, http.MethodGet, "/safe/x")
					slowest[ratio] = percentile(answers, 99)
					extra := f.sendCount() - before - requests
					if float64(extra) > ratio*requests {
						t.Errorf("%d extra sends for %d requests, want at most the share %v", extra, requests, ratio)
					}
					if err := f.checkNothingLeft(); err != nil {
						t.Error(err)
					}
					t.Logf("ratio %v: p50 %v, p95 %v, p99 %v, longest %v, %d extra sends", ratio, percentile(answers, 50), percentile(answers, 95), slowest[ratio], percentile(answers, 100), extra)
				})
			}
			if slowest[0] < c.without || slowest[0.2] > c.with {
				t.Errorf("p99 %v without and %v with hedges, want at least %v and at most %v", slowest[0], slowest[0.2], c.without, c.with)
			}
		})
	}
}

// Guards against hedges that make the cause of slow answers worse: more work for servers that are all slow, full or failing.
func TestHedgesDoNotAmplify(t *testing.T) {
	cases := []struct {
		name   string
		answer func(r *http.Request) []part // after the training requests
		reason string                       // expected for hedges that were not allowed
		extra  float64                      // upper limit of sends beyond the first, as a share of the requests
	}{
		{"all slow", func(r *http.Request) []part { return whole(r, 20*spread(r), 200, seal, "x") }, "most_slow", 0.1},
		{"at capacity", func(r *http.Request) []part { return whole(r, 4*spread(r), 200, seal+"X-Load: 64/3/64\r\n", "x") }, "at_capacity", 0.1},
		{"all fail late", func(r *http.Request) []part { return whole(r, 4*spread(r), 500, seal, "bad") }, "", 0.2},
		{"all refuse late", func(r *http.Request) []part { return whole(r, 4*spread(r), 503, "X-Not-Run: 1\r\n", "") }, "", 0.2},
		{"all break off late", func(r *http.Request) []part { return []part{{4 * spread(r), ""}} }, "", 0.2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			const requests = 2000
			synctest.Test(t, func(t *testing.T) {
				f := newVirtualFleet(t, 10, 0.1, func(_ int, r *http.Request) []part {
					if strings.HasPrefix(r.Header.Get("X-Id"), trainingID) {
						return whole(r, spread(r), 200, seal, "x")
					}
					return c.answer(r)
				})
				for range 500 {
					f.doAs(t.Context(), trainingID, http.MethodGet, "/safe/x")
				}
				before := f.sendCount()
				f.doMany(requests, 10*time.Millisecond, http.MethodGet, "/safe/x")
				extra := f.sendCount() - before - requests
				started := f.hedgeCount("safe", hedgeStarted)
				if float64(extra) > c.extra*requests || float64(started) > 0.1*requests {
					t.Errorf("%d extra sends, %d hedges for %d requests, want at most the shares %v and 0.1", extra, started, requests, c.extra)
				}
				if c.reason != "" && f.noHedgeCount("safe", c.reason) == 0 {
					t.Errorf("no hedge was refused for the reason %q", c.reason)
				}
				if err := f.checkNothingLeft(); err != nil {
					t.Error(err)
				}
				t.Logf("%d extra sends, %d hedges for %d requests", extra, started, requests)
			})
		})
	}
}

// TestVerdictOfTwoFailures guards against "not run" while one of two sends may have run the request.
func TestVerdictOfTwoFailures(t *testing.T) {
	const ms = time.Millisecond
	notRunAfter := func(after time.Duration) func(r *http.Request) []part {
		return says(after, 503, "X-Not-Run: 1\r\n", "")
	}
	cases := []struct {
		name          string
		first, second func(r *http.Request) []part
		status        int
		verdict       string
	}{
		{"not run, then broken off", notRunAfter(30 * ms), breaksOff(50 * ms), 502, "may_have_run"},
		{"broken off, then not run", breaksOff(30 * ms), notRunAfter(50 * ms), 502, "may_have_run"},
		{"hedge broken off, then first not run", notRunAfter(80 * ms), breaksOff(10 * ms), 502, "may_have_run"},
		{"hedge not run, then first broken off", breaksOff(80 * ms), notRunAfter(10 * ms), 502, "may_have_run"},
		{"both not run", notRunAfter(30 * ms), notRunAfter(50 * ms), 503, "not_run"},
	}
	for _, path := range []string{"/safe/x", "/resume/x"} {
		for _, c := range cases {
			t.Run(c.name+path, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					h := startHedgeTest(t, path, c.first, c.second)
					a := h.ask(t.Context(), path)
					if a.status != c.status || a.verdict != c.verdict || len(h.sendsOf("asked")) != 2 {
						t.Errorf("got %+v with %d sends, want status %d, verdict %q, 2 sends", a, len(h.sendsOf("asked")), c.status, c.verdict)
					}
					if err := h.checkNothingLeft(); err != nil {
						t.Error(err)
					}
				})
			})
		}
	}
}

// TestRetriesAndHedgesShareTheNumberOfServers covers a route that allows four servers: a hedge counts as one of them, before and after a retry.
func TestRetriesAndHedgesShareTheNumberOfServers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := startHedgeTest(t, "/many/x", says(60*time.Millisecond, 500, seal, "bad"))
		for i := range 4 {
			h.addServer(3 + i)
		}
		a := h.ask(t.Context(), "/many/x")
		if a.status != 500 || len(h.sendsOf("asked")) != 4 || h.hedgeCount("many", hedgeStarted) == 0 {
			t.Errorf("got %+v with %d sends and %d hedges, want status 500, 4 sends, at least 1 hedge", a, len(h.sendsOf("asked")), h.hedgeCount("many", hedgeStarted))
		}
	})
}

// TestHedgeFetchesNothingFromTheLateServer guards against a second server that waits for the first.
func TestHedgeFetchesNothingFromTheLateServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newVirtualFleet(t, 2, 0.2, func(_ int, r *http.Request) []part {
			if r.Header.Get("X-Id") == "asked" {
				return events(r, 300*time.Millisecond, "id: 1\n\n")
			}
			return events(r, usualTime, "id: 1\n\n")
		})
		prompt := func(r *http.Request) {
			r.Header.Set("X-Prompt", "9000")
			r.Header.Set("X-Parts", "1:4000,2:4000,3:1000")
		}
		for range trainingRequests {
			f.doAs(t.Context(), trainingID, http.MethodGet, "/cached/x", prompt)
		}
		f.doAs(t.Context(), "asked", http.MethodGet, "/cached/x", prompt)
		sends := f.sendsOf("asked")
		if len(sends) != 2 {
			t.Fatalf("%d sends, want 2", len(sends))
		}
		if source := sends[1].request.Header.Get("X-Fetch"); source != "" {
			t.Errorf("the hedge fetches from %s, the first send went to %s", source, sends[0].request.Header.Get("X-Server"))
		}
	})
}

// TestHedgeIsPaidFromTheRetryBudget guards against hedges beside retries that together exceed the budget.
func TestHedgeIsPaidFromTheRetryBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := startHedgeTest(t, "/safe/x", says(500*time.Millisecond, 200, seal, "first"), says(usualTime, 200, seal, "second"))
		for h.gw.budgets.take("app") {
			continue
		}
		if a := h.ask(t.Context(), "/safe/x"); a.body != "first" || len(h.sendsOf("asked")) != 1 {
			t.Errorf("got %+v with %d sends, want the first answer alone", a, len(h.sendsOf("asked")))
		}
		if n := h.noHedgeCount("safe", "retry_budget"); n != 1 {
			t.Errorf("%d hedges refused for the budget, want 1", n)
		}
	})
}

// TestUnfitServersGetNoHedge covers servers that must not get extra work.
func TestUnfitServersGetNoHedge(t *testing.T) {
	cases := map[string]func(h *hedgeTest, id string){
		"leaves":  func(h *hedgeTest, id string) { h.gw.servers.RecordLeaving(id, "1") },
		"paused":  func(h *hedgeTest, id string) { h.gw.servers.RecordPause(id, "1", time.Minute) },
		"limited": func(h *hedgeTest, id string) { h.gw.servers.RecordRateLimit(id, time.Now(), 1000) },
		"leaving": func(h *hedgeTest, id string) { h.retire(id) },
	}
	for name, prepare := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var h *hedgeTest
				first := func(r *http.Request) []part {
					for _, b := range h.dir.backends {
						if b.Id != r.Header.Get("X-Server") {
							prepare(h, b.Id)
						}
					}
					return whole(r, 300*time.Millisecond, 200, seal, "first")
				}
				h = startHedgeTest(t, "/safe/x", first, says(usualTime, 200, seal, "second"))
				if a := h.ask(t.Context(), "/safe/x"); a.body != "first" || len(h.sendsOf("asked")) != 1 {
					t.Errorf("got %+v with %d sends, want the first answer alone", a, len(h.sendsOf("asked")))
				}
				if n := h.noHedgeCount("safe", "no_server"); n != 1 {
					t.Errorf("%d hedges refused for want of a server, want 1", n)
				}
			})
		})
	}
}

// retire makes the registry report a server as leaving.
func (h *hedgeTest) retire(id string) {
	for _, b := range h.dir.backends {
		if b.Id == id {
			b.Lifecycle = "leaving"
		}
	}
	h.dir.onChange()
}

// TestOnlyRepeatableRequestsAreHedged draws routes and the answers of their servers. A request that may run once is at one server at a time
// and never again after it may have run; no request is sent to more servers than its route allows; the caller gets the answer of one server.
func TestOnlyRepeatableRequestsAreHedged(t *testing.T) {
	hedges := int64(0)
	rapid.Check(t, func(rt *rapid.T) {
		r := rapid.SampledFrom(append(slices.Clone(testRoutes), hedgeRoutes...)).Draw(rt, "route")
		path := r.PathPrefix + "x"
		type plan struct {
			kind  int
			after time.Duration
		}
		plans := make([]plan, 6)
		for i := range plans {
			plans[i] = plan{rapid.IntRange(0, 7).Draw(rt, "kind"), time.Duration(rapid.IntRange(0, 200).Draw(rt, "after")) * time.Millisecond}
		}
		gone := time.Duration(rapid.IntRange(0, 400).Draw(rt, "caller gone after")) * time.Millisecond
		var problems []string
		synctest.Test(t, func(t *testing.T) {
			var mu sync.Mutex
			sent := 0
			f := newVirtualFleet(t, 4, 0.2, func(_ int, req *http.Request) []part {
				mu.Lock()
				defer mu.Unlock()
				p := plans[min(sent, len(plans)-1)]
				sent++
				return draw(req, r.Kind.String() == "streaming", sent, p.kind, p.after)
			})
			f.train(&r)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			if gone < 200*time.Millisecond {
				time.AfterFunc(gone, cancel)
			}
			a := f.doAs(ctx, "asked", http.MethodGet, path)
			cancel()
			synctest.Wait() // until the servers have seen which connections were closed
			sends := f.sendsOf("asked")
			problems = append(problems, checkSends(r.IsIdempotent(), max(1, r.MaxAttempts), sends, a)...)
			hedges += f.hedgeCount(r.Name, hedgeStarted)
			if err := f.checkNothingLeft(); err != nil {
				problems = append(problems, err.Error())
			}
		})
		if len(problems) > 0 {
			rt.Fatalf("%s %v: %s", r.Name, plans, strings.Join(problems, "; "))
		}
	})
	if hedges == 0 {
		t.Error("no request was hedged, so that nothing was tested")
	}
}

// train makes the gateway know the usual times of a route, also of one whose requests are never hedged and so not observed.
func (f *virtualFleet) train(r *catalog.Route) {
	f.gw.hedges.mu.Lock()
	defer f.gw.hedges.mu.Unlock()
	service := f.gw.hedges.forService("app")
	for range trainingRequests {
		service.OnRequest(time.Now())
		service.RecordFirst(time.Now(), hedge.ClassOf(r.Name, 0), hedge.Server{ID: "s0", Incarnation: "1"}, usualTime)
		f.gw.budgets.recordRequest("app")
	}
}

// notRunPlan is the kind of answer that says that the request was not run.
const notRunPlan = 2

// draw returns one of several kinds of answers, with the number of the send in their bodies.
func draw(r *http.Request, isStream bool, sent, kind int, after time.Duration) []part {
	r.Header.Set("X-Test-Kind", []string{"served", "failed", "not run", "broken", "hangs", "unsigned", "cut", "slow body"}[kind])
	body := strings.Repeat(string(rune('0'+sent)), 10)
	event := "id: " + body + "\n\n"
	switch kind {
	case 1:
		return whole(r, after, 500, seal, body)
	case notRunPlan:
		return whole(r, after, 503, "X-Not-Run: 1\r\n", "")
	case 3:
		return []part{{after, ""}}
	case 4:
		return nil
	case 5:
		return whole(r, after, 200, "", body)
	case 6:
		if isStream {
			return []part{{after, openStream(r, event)}, {after, ""}}
		}
		return []part{{after, strings.Replace(fullAnswer(r, 200, seal, body), "Content-Length: 10", "Content-Length: 20", 1)}, {after, ""}}
	case 7:
		if isStream {
			return []part{{after, openStream(r, "id: ")}, {after, nextChunk(body + "\n\n")}, {after, lastChunk}}
		}
		full := fullAnswer(r, 200, "Connection: close\r\n"+seal, body)
		return []part{{after, full[:len(full)-5]}, {after, full[len(full)-5:]}}
	default:
		if isStream {
			return events(r, after, event)
		}
		return whole(r, after, 200, seal, body)
	}
}

// checkSends returns what is wrong with the sends of a request and the answer to it.
func checkSends(repeatable bool, maxServers int, sends []*virtualSend, a virtualAnswer) (problems []string) {
	mayHaveRun := 0
	for i, send := range sends {
		if !repeatable && i > 0 {
			before := sends[i-1]
			if before.request.Header.Get("X-Test-Kind") != "not run" || before.closed().IsZero() || before.closed().After(send.at) {
				problems = append(problems, "a request that may run once was sent again before it was known that it did not run")
			}
		}
		if send.request.Header.Get("X-Test-Kind") != "not run" {
			mayHaveRun++
		}
		for _, name := range []string{"X-Backup", "X-From"} {
			if repeatable && send.request.Header.Get(name) != "" {
				problems = append(problems, name+" of a request that may be repeated")
			}
		}
	}
	if !repeatable && mayHaveRun > 1 {
		problems = append(problems, "a request that may run once may have run twice")
	}
	if len(sends) > maxServers {
		problems = append(problems, "sent to more servers than the route allows")
	}
	if a.status == http.StatusOK && len(strings.TrimLeft(a.body, a.body[:min(1, len(a.body))])) > 0 && !strings.HasPrefix(a.body, "id: ") {
		problems = append(problems, "the body "+a.body+" is not of one server")
	}
	if a.verdict == "not_run" && mayHaveRun > 0 {
		problems = append(problems, "not run, though a server may have run it")
	}
	return problems
}
