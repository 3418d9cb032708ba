package loadgen

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// handlerTransport is an http.RoundTripper that calls a handler directly, so that tests run in virtual time.
type handlerTransport struct{ http.Handler }

func (t handlerTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.Body != nil {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return nil, err
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
	}
	w := httptest.NewRecorder()
	aborted := make(chan bool, 1)
	go func() {
		defer func() { aborted <- recover() != nil }()
		t.ServeHTTP(w, r)
	}()
	select {
	case panicked := <-aborted:
		if panicked && w.Body.Len() == 0 {
			return nil, io.ErrUnexpectedEOF
		}
		return w.Result(), nil
	case <-r.Context().Done():
		return nil, r.Context().Err()
	}
}

func testScenario() Scenario {
	return Scenario{
		Name: "test", Entries: []string{"http://127.0.0.1:1", "http://127.0.0.1:2"}, Seed: 3, DurationS: 10, Model: "m",
		Arrivals:      Arrivals{Kind: ArrivalsConstant, RatePerSecond: 10},
		Classes:       []Class{{Name: "chat", Stream: true, FirstTokenTargetMS: 500, Output: Lengths{Mean: 4}}},
		Organisations: []Organisation{{Name: "a", Key: "key-a"}, {Name: "b", Key: "key-b"}},
	}
}

// runScenario runs a scenario against a handler in virtual time.
func runScenario(t *testing.T, s Scenario, handler http.Handler) *Result {
	t.Helper()
	var result *Result
	synctest.Test(t, func(t *testing.T) {
		var err error
		result, err = Run(t.Context(), s, Options{transport: handlerTransport{handler}})
		if err != nil {
			t.Fatal(err)
		}
	})
	return result
}

// writeEvents streams n tokens. With finishReason the last one has a finish reason; with done, usage and [DONE] follow.
func writeEvents(w io.Writer, n int, finishReason, done bool) {
	for i := range n {
		reason := "null"
		if finishReason && i == n-1 {
			reason = `"stop"`
		}
		_, _ = fmt.Fprintf(w, "data: {\"choices\":[{\"delta\":{\"content\":\"x\"},\"finish_reason\":%s}]}\n\n", reason)
	}
	if done {
		_, _ = fmt.Fprintf(w, "data: {\"choices\":[],\"usage\":{\"completion_tokens\":%d}}\n\ndata: [DONE]\n\n", n)
	}
}

func setStreamHeader(w http.ResponseWriter) { w.Header().Set("Content-Type", "text/event-stream") }

func TestLatencyIsMeasuredFromIntendedTime(t *testing.T) {
	var began time.Time // of the first request; the service stalls for two seconds from then on
	var once sync.Once
	r := runScenario(t, testScenario(), http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		once.Do(func() { began = time.Now() })
		time.Sleep(time.Until(began.Add(2 * time.Second)))
		setStreamHeader(w)
		writeEvents(w, 4, true, true)
	}))
	c := r.Classes[0]
	if c.Arrivals != 99 || c.Outcomes[outcomeComplete] != 99 {
		t.Fatalf("got %d arrivals with outcomes %v, want 99, all complete", c.Arrivals, c.Outcomes)
	}
	if late := c.Arrivals - c.Attained; late < 14 || late > 16 {
		t.Errorf("%d responses missed the target of 500 ms, want 14 to 16: the stall delays 15", late)
	}
	if r.Lateness.Max > 1 {
		t.Errorf("requests were sent up to %v ms late, want at most 1 ms", r.Lateness.Max)
	}
	if c.FirstToken.Max < 1990 {
		t.Errorf("longest time to the first token is %v ms, want at least 1990 ms", c.FirstToken.Max)
	}
}

func TestLateSendIsIncludedInLatency(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSender(testScenario().withDefaults())
		s.promptClient.Transport = handlerTransport{http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			setStreamHeader(w)
			writeEvents(w, 4, true, true)
		})}
		s.started = time.Now().Add(-3 * time.Second)
		out := s.send(t.Context(), request{at: time.Second, prefix: -1})
		if out.firstToken != 2*time.Second || out.total != 2*time.Second || out.lateness != 2*time.Second {
			t.Errorf("got first token %v, total %v, lateness %v, want 2s each", out.firstToken, out.total, out.lateness)
		}
	})
}

func TestResponseOutcomes(t *testing.T) {
	tests := []struct {
		name    string
		handle  http.HandlerFunc
		outcome string
	}{
		{"complete response", func(w http.ResponseWriter, _ *http.Request) { setStreamHeader(w); writeEvents(w, 4, true, true) }, outcomeComplete},
		{"no [DONE] event", func(w http.ResponseWriter, _ *http.Request) { setStreamHeader(w); writeEvents(w, 4, true, false) }, outcomeIncomplete},
		{"no finish reason", func(w http.ResponseWriter, _ *http.Request) { setStreamHeader(w); writeEvents(w, 4, false, true) }, outcomeIncomplete},
		{"fewer tokens than in the usage object", func(w http.ResponseWriter, _ *http.Request) {
			setStreamHeader(w)
			writeEvents(w, 3, false, false)
			var b bytes.Buffer
			writeEvents(&b, 4, true, true)
			events := strings.SplitN(b.String(), "\n\n", 4)
			_, _ = io.WriteString(w, strings.Join(events[3:], ""))
			_, _ = io.WriteString(w, "data: {\"choices\":[],\"usage\":{\"completion_tokens\":9}}\n\n")
		}, outcomeIncomplete},
		{"error event", func(w http.ResponseWriter, _ *http.Request) {
			setStreamHeader(w)
			writeEvents(w, 2, false, false)
			_, _ = io.WriteString(w, "data: {\"error\":{\"code\":\"broken\",\"verdict\":\"ran\"}}\n\n")
		}, outcomeInterrupted},
		{"malformed event", func(w http.ResponseWriter, _ *http.Request) {
			setStreamHeader(w)
			_, _ = io.WriteString(w, "data: {\"choices\": oops\n\n")
		}, outcomeInterrupted},
		{"refused", func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusServiceUnavailable)
			_, _ = io.WriteString(w, `{"error":{"code":"queue_full","verdict":"not_run"}}`)
		}, outcomeRefused},
		{"no response", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, outcomeError},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := runScenario(t, testScenario(), tt.handle)
			if c := r.Classes[0]; c.Outcomes[tt.outcome] != c.Arrivals {
				t.Errorf("got outcomes %v, want all %s", c.Outcomes, tt.outcome)
			}
			if tt.outcome == outcomeRefused && (r.Verdicts["not_run"] != 99 || r.Codes["queue_full"] != 99) {
				t.Errorf("got verdicts %v and codes %v, want 99 not_run and 99 queue_full", r.Verdicts, r.Codes)
			}
		})
	}
}

func TestCallerDisconnects(t *testing.T) {
	s := testScenario()
	s.Classes[0].LeaveShare, s.Classes[0].LeaveAfterMS = 1, 50
	r := runScenario(t, s, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }))
	if c := r.Classes[0]; c.Outcomes[outcomeDisconnected] != c.Arrivals {
		t.Errorf("got outcomes %v, want all left", c.Outcomes)
	}
}

func TestKeysAndClassesAreSent(t *testing.T) {
	var mu sync.Mutex
	seen := make(map[string]int)
	runScenario(t, testScenario(), http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		seen[r.Header.Get("Authorization")+r.Header.Get("X-Guavastack-Class")]++
		seen[r.URL.Host]++
		setStreamHeader(w)
		writeEvents(w, 4, true, true)
	}))
	if seen["Bearer key-achat"]+seen["Bearer key-bchat"] != 99 || seen["127.0.0.1:1"] != 50 || seen["127.0.0.1:2"] != 49 {
		t.Errorf("got keys, classes and hosts %v, want 99 keys with class chat, and hosts used 50 and 49 times", seen)
	}
}

// orderService is a service that counts the arrivals of each body. handle replies to the nth call and returns the number of
// arrivals to count for it.
type orderService struct {
	mu       sync.Mutex
	calls    int
	arrivals map[string]int
	handle   func(n int, w http.ResponseWriter) (arrives int)
}

func (o *orderService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if r.URL.Path == "/arrivals" {
		_ = json.NewEncoder(w).Encode(o.arrivals)
		return
	}
	body, _ := io.ReadAll(r.Body)
	sum := sha256.Sum256(body)
	o.calls++
	o.arrivals[hex.EncodeToString(sum[:])] += o.handle(o.calls, w)
	_, _ = io.WriteString(w, "{}")
}

func TestOrdersAreComparedWithArrivals(t *testing.T) {
	tests := []struct {
		name   string
		handle func(n int, w http.ResponseWriter) int
		want   OrdersResult
	}{
		{"each once", func(int, http.ResponseWriter) int { return 1 }, OrdersResult{Answered: 99}},
		{"one lost", func(n int, _ http.ResponseWriter) int { return min(1, n-1) }, OrdersResult{Answered: 99, Lost: 1}},
		{"one duplicated", func(n int, _ http.ResponseWriter) int { return 1 + n/99 }, OrdersResult{Answered: 99, Duplicated: 1}},
		{"refused", func(_ int, w http.ResponseWriter) int {
			w.Header().Set("X-Guavastack-Verdict", "not_run")
			w.WriteHeader(http.StatusBadRequest)
			return 0
		}, OrdersResult{NotRun: 99}},
		{"arrived with verdict not_run", func(_ int, w http.ResponseWriter) int {
			w.Header().Set("X-Guavastack-Verdict", "not_run")
			w.WriteHeader(http.StatusBadRequest)
			return 1
		}, OrdersResult{NotRun: 99, FalseNotRun: 99}},
		{"may have run", func(_ int, w http.ResponseWriter) int {
			w.Header().Set("X-Guavastack-Verdict", "may_have_run")
			w.WriteHeader(http.StatusBadGateway)
			return 1
		}, OrdersResult{Unknown: 99}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := testScenario()
			s.Orders = &Orders{Share: 1, ArrivalURLs: []string{"http://127.0.0.1:9/arrivals"}}
			r := runScenario(t, s, &orderService{arrivals: make(map[string]int), handle: tt.handle})
			tt.want.Placed, tt.want.Compared = 99, true
			if r.Orders != tt.want {
				t.Errorf("got %+v, want %+v", r.Orders, tt.want)
			}
		})
	}
}

func TestKeyedOrdersAreRetriedWithSameKey(t *testing.T) {
	s := testScenario()
	s.DurationS = 1
	s.Orders = &Orders{Share: 1, KeyedShare: 1, Resends: 2}
	var mu sync.Mutex
	keys := make(map[string]int)
	r := runScenario(t, s, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		key := r.Header.Get("Idempotency-Key")
		keys[key]++
		if keys[key] < 3 {
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, "{}")
	}))
	if r.Orders.Answered != 9 || len(keys) != 9 {
		t.Errorf("got %+v and %d keys, want 9 answered and 9 keys", r.Orders, len(keys))
	}
}

func TestSchedule(t *testing.T) {
	s := testScenario()
	s.DurationS = 100
	count := func(a Arrivals) (n int, in func(from, to time.Duration) int) {
		s.Arrivals = a
		all := slices.Collect(schedule(s.withDefaults()))
		if again := slices.Collect(schedule(s.withDefaults())); !reflect.DeepEqual(all, again) {
			t.Error("the same scenario and seed gave different requests")
		}
		return len(all), func(from, to time.Duration) int {
			n := 0
			for _, r := range all {
				if r.at >= from && r.at < to {
					n++
				}
			}
			return n
		}
	}
	if n, _ := count(Arrivals{Kind: ArrivalsPoisson, RatePerSecond: 50}); n < 4700 || n > 5300 {
		t.Errorf("Poisson: got %d arrivals, want 4700 to 5300", n)
	}
	_, in := count(Arrivals{Kind: ArrivalsBurst, RatePerSecond: 10, Burst: Burst{AtS: 50, ForS: 10, RatePerSecond: 200}})
	if before, burst := in(0, 50*time.Second), in(50*time.Second, 60*time.Second); before < 420 || before > 580 || burst < 1850 || burst > 2150 {
		t.Errorf("got %d arrivals before and %d in the burst, want 420 to 580 and 1850 to 2150", before, burst)
	}
	_, in = count(Arrivals{Kind: ArrivalsCurve, Curve: []Point{{0, 0}, {100, 100}}})
	if first, second := in(0, 50*time.Second), in(50*time.Second, 100*time.Second); second < 2*first || second > 4*first {
		t.Errorf("curve: got %d arrivals in the first half and %d in the second, want 2 to 4 times as many in the second", first, second)
	}
}

func TestSkewAndLengths(t *testing.T) {
	s := testScenario()
	s.Skew = 1
	s.Arrivals.RatePerSecond = 1000
	s.Classes[0].Output = Lengths{Kind: LengthsLognormal, Mean: 50, Sigma: 1, Max: 400}
	s.Prompts = Prompts{SharedShare: 0.5, Prefixes: 2, PrefixTokens: 10}
	s = s.withDefaults()
	byOrganisation := make([]int, 2)
	shared, above := 0, 0
	for r := range schedule(s) {
		byOrganisation[r.organisation]++
		if r.prefix >= 0 {
			shared++
		}
		if r.outputTokens > 50 {
			above++
		}
		if r.outputTokens > 400 {
			t.Fatalf("got %d output tokens, want at most 400", r.outputTokens)
		}
	}
	total := byOrganisation[0] + byOrganisation[1]
	if share := float64(byOrganisation[0]) / float64(total); share < 0.64 || share > 0.69 {
		t.Errorf("share of the first of two organisations with Zipf exponent 1: got %.3f, want 0.64 to 0.69", share)
	}
	if half := total / 2; shared < half*9/10 || shared > half*11/10 || above < half*9/10 || above > half*11/10 {
		t.Errorf("got %d requests with a shared prefix and %d above the median length, want half of %d each within 10 %%", shared, above, total)
	}
	a, b := s.prompt(request{n: 1, prefix: 0}), s.prompt(request{n: 2, prefix: 0})
	if a == b || a[:40] != b[:40] {
		t.Errorf("got prompts %q and %q, want the same prefix and different ends", a[:60], b[:60])
	}
}

func TestScenarioValidation(t *testing.T) {
	tests := []struct {
		name   string
		change func(*Scenario)
		remote bool
		ok     bool
	}{
		{"unchanged", func(*Scenario) {}, false, true},
		{"remote address", func(s *Scenario) { s.Entries[0] = "http://10.1.2.3:80" }, false, false},
		{"host name instead of an address", func(s *Scenario) { s.Entries[0] = "http://localhost:80" }, false, false},
		{"remote address, allowed", func(s *Scenario) { s.Entries[0] = "http://10.1.2.3:80" }, true, true},
		{"remote arrivals", func(s *Scenario) { s.Orders = &Orders{ArrivalURLs: []string{"http://10.0.0.1/"}} }, false, false},
		{"no rate", func(s *Scenario) { s.Arrivals.RatePerSecond = 0 }, false, false},
		{"unknown arrivals", func(s *Scenario) { s.Arrivals.Kind = "x" }, false, false},
		{"unordered curve", func(s *Scenario) { s.Arrivals = Arrivals{Kind: ArrivalsCurve, Curve: []Point{{1, 1}, {1, 2}}} }, false, false},
		{"unknown lengths", func(s *Scenario) { s.Classes[0].Output.Kind = "x" }, false, false},
	}
	for _, tt := range tests {
		s := testScenario()
		tt.change(&s)
		if err := s.Validate(tt.remote); (err == nil) != tt.ok {
			t.Errorf("%s: got error %v, want one only for an invalid scenario", tt.name, err)
		}
	}
	if _, err := ParseScenario([]byte(`{"name": "x", /* comment */ "duration": 3}`)); err == nil {
		t.Error("unknown field was accepted")
	}
}

func TestReportAndPlot(t *testing.T) {
	r := runScenario(t, testScenario(), http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(20 * time.Millisecond)
		setStreamHeader(w)
		writeEvents(w, 4, true, true)
	}))
	dir := t.TempDir()
	if err := r.Save(filepath.Join(dir, "a.json")); err != nil {
		t.Fatal(err)
	}
	read, err := Open(filepath.Join(dir, "a.json"))
	if err != nil {
		t.Fatal(err)
	}
	var table bytes.Buffer
	if err := WriteReport(&table, []string{"a", "b"}, []*Result{r, read}); err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(strings.Join(strings.Fields(table.String()), " "), "chat: attainment 100.00% 100.00%") {
		t.Errorf("no row with attainment 100.00%% of both results in the table:\n%s", table.String())
	}
	for _, name := range []string{"plot.png", "plot.svg"} {
		path := filepath.Join(dir, name)
		if err := SavePlot(path, []string{"a", "b"}, []*Result{r, read}); err != nil {
			t.Errorf("%s: got error %v, want none", name, err)
			continue
		}
		if info, err := os.Stat(path); err != nil || info.Size() < 1000 {
			t.Errorf("%s: got file %v, error %v, want a file of at least 1000 bytes", name, info, err)
		}
	}
	if err := SavePlot(filepath.Join(dir, "plot.txt"), nil, nil); err == nil {
		t.Error("unknown plot format was accepted")
	}
}
