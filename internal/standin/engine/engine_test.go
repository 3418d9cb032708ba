package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func call(e *Engine, method, path, body string, headers ...string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	w := httptest.NewRecorder()
	e.ServeHTTP(w, r)
	return w
}

func chat(tokens int, words string) string {
	return fmt.Sprintf(`{"model":"standin","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":%q}],"stream_options":{"include_usage":true}}`, tokens, words)
}

func decode(t *testing.T, w *httptest.ResponseRecorder, v any) {
	t.Helper()
	if err := json.Unmarshal(w.Body.Bytes(), v); err != nil {
		t.Fatalf("decode response: %v in %q", err, w.Body)
	}
}

func TestStreamHasUsageAndDone(t *testing.T) {
	w := call(New(Config{}), "POST", "/v1/chat/completions", chat(3, "hello"))
	if strings.Count(w.Body.String(), `"content"`) != 3 || !strings.Contains(w.Body.String(), `"completion_tokens":3`) ||
		!strings.HasSuffix(w.Body.String(), "data: [DONE]\n\n") {
		t.Errorf("got %q, want 3 content events, usage of 3 tokens and [DONE]", w.Body)
	}
}

func TestResumeAfterCancel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := New(Config{TokenInterval: time.Second})
		defer e.Close()
		done := make(chan *httptest.ResponseRecorder)
		go func() {
			done <- call(e, "POST", "/v1/chat/completions", chat(20, "hello"), "X-Request-Id", "r1", "X-Request-Owner", "a/1")
		}()
		time.Sleep(5500 * time.Millisecond) // virtual
		if w := call(e, "POST", "/cancel?id=r1", ""); w.Code != http.StatusNoContent {
			t.Fatal(w.Code)
		}
		part := (<-done).Body.String()
		n := strings.Count(part, "data: ")
		rest := call(e, "GET", fmt.Sprintf("/resume?id=r1&from=%d", n), "").Body.String()
		fresh := New(Config{})
		if want := call(fresh, "POST", "/v1/chat/completions", chat(20, "hello"), "X-Request-Id", "r1").Body.String(); part+rest != want || n == 0 || n == 20 {
			t.Errorf("got %d events before the cancellation, want 1 to 19 that equal the uninterrupted response together with the resumed rest", n)
		}
		var list struct{ Running []Running }
		decode(t, call(e, "GET", "/running?owner=a/", ""), &list)
		if len(list.Running) != 0 {
			t.Errorf("got running requests %v, want none", list.Running)
		}
	})
}

// TestTokenIntervalAndPriority checks that the token interval grows with the batch, and that a free slot goes to the waiting request
// of the highest priority.
func TestTokenIntervalAndPriority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := New(Config{TokenInterval: 10 * time.Millisecond, BatchSlowdown: 1, Slots: 2})
		defer e.Close()
		alone := time.Now()
		call(e, "POST", "/v1/chat/completions", chat(10, "x"))
		single := time.Since(alone)
		finished := make(chan string, 4)
		start := time.Now()
		for _, r := range []struct{ id, priority string }{{"a", "5"}, {"b", "5"}, {"low", "5"}, {"high", "0"}} {
			go func() {
				call(e, "POST", "/v1/chat/completions", chat(10, "x"), "X-Request-Id", r.id, "X-Request-Priority", r.priority)
				finished <- r.id
			}()
			synctest.Wait()
		}
		<-finished
		if both := time.Since(start); both < 2*single-20*time.Millisecond {
			t.Errorf("two requests at a time took %v, want at least 20 ms less than twice the %v of one alone", both, single)
		}
		<-finished
		synctest.Wait()
		e.mu.Lock()
		high, low := e.jobs["high"].generated, e.jobs["low"].generated
		e.mu.Unlock()
		if high < low {
			t.Error("the request of lower priority got a slot before the one of higher priority")
		}
		<-finished
		<-finished
	})
}

func TestPrefixCacheHitsAndEviction(t *testing.T) {
	e := New(Config{CacheBlocks: 4})
	long := strings.Repeat("word ", 64)
	cached := func(words string) int {
		var answer struct{ Usage usage }
		body := fmt.Sprintf(`{"model":"standin","max_tokens":1,"prompt":%q}`, words)
		decode(t, call(e, "POST", "/v1/completions", body), &answer)
		return answer.Usage.Details.CachedTokens
	}
	if n := cached(long); n != 0 {
		t.Errorf("got %d cached tokens for a new prompt, want 0", n)
	}
	if n := cached(long + "more"); n != 64 {
		t.Errorf("got %d cached tokens for a repeated prefix, want 64", n)
	}
	cached(strings.Repeat("other ", 64))
	if n := cached(long); n != 0 {
		t.Errorf("got %d cached tokens after eviction, want 0", n)
	}
}

func TestLoadReportsAreDelayed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := New(Config{TokenInterval: time.Second, LoadReportDelay: 2 * time.Second})
		defer e.Close()
		running := func() int {
			var l loadReport
			decode(t, call(e, "GET", "/load", ""), &l)
			return l.Running
		}
		running()
		go call(e, "POST", "/v1/chat/completions", chat(100, "x"), "X-Request-Id", "r1")
		time.Sleep(time.Second)
		if n := running(); n != 0 {
			t.Errorf("got %d running, want 0: the report is delayed by 2 s", n)
		}
		time.Sleep(3 * time.Second)
		if n := running(); n != 1 {
			t.Errorf("got %d running, want 1", n)
		}
		call(e, "POST", "/cancel?id=r1", "")
	})
}

func TestStaleFencingTokenIsRefusedIfChecked(t *testing.T) {
	for _, checks := range []bool{true, false} {
		e := New(Config{ChecksFencing: checks})
		call(e, "POST", "/orders", `{"kind":"load_model","model":"m2","fencing":5}`)
		old := call(e, "POST", "/orders", `{"kind":"unload_model","model":"m2","fencing":4}`)
		loaded := strings.Contains(call(e, "GET", "/v1/models", "").Body.String(), "m2")
		if (old.Code == http.StatusConflict) != checks || loaded != checks {
			t.Errorf("ChecksFencing %v: got status %d for the stale order, model still loaded %v; want it refused only with ChecksFencing", checks, old.Code, loaded)
		}
	}
}

func TestFaultAffectsGivenNumberOfRequests(t *testing.T) {
	e := New(Config{})
	if w := call(e, "POST", "/faults", `{"kind":"reject","times":1}`); w.Code != http.StatusNoContent {
		t.Fatal(w.Code)
	}
	for _, want := range []int{http.StatusServiceUnavailable, http.StatusOK} {
		if w := call(e, "POST", "/v1/chat/completions", chat(1, "x")); w.Code != want {
			t.Errorf("got status %d, want %d", w.Code, want)
		}
	}
}
