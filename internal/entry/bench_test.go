package entry

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/guavastack/guavastack/internal/agent"
)

// firstToken returns the time until the first event of a streamed answer.
func firstToken(b *fixture, url string, c call) time.Duration {
	start := time.Now()
	resp := b.start(b.t.Context(), url, c)
	r := bufio.NewReader(resp.Body)
	if _, err := r.ReadString('\n'); err != nil {
		b.t.Fatal(err)
	}
	took := time.Since(start)
	_, _ = io.Copy(io.Discard, r)
	_ = resp.Body.Close()
	return took
}

// BenchmarkFirstTokenAdded measures the latency that entry and agent add to the first token, compared with direct calls of
// the same engine. Both kinds alternate at 200 requests a second.
func BenchmarkFirstTokenAdded(b *testing.B) {
	const interval = time.Second / 200
	bn := newFixture(b)
	direct := bn.serveRaw(bn.engine)
	through, plain := hdrhistogram.New(1, 1e7, 3), hdrhistogram.New(1, 1e7, 3)
	c := bn.chat("2")
	tick := time.NewTicker(interval)
	defer tick.Stop()
	b.ResetTimer()
	for range b.N {
		<-tick.C
		_ = through.RecordValue(firstToken(bn, bn.url, c).Microseconds())
		<-tick.C
		_ = plain.RecordValue(firstToken(bn, direct, c).Microseconds())
	}
	b.ReportMetric(float64(plain.ValueAtQuantile(50)), "direct_p50_us")
	b.ReportMetric(float64(through.ValueAtQuantile(50)-plain.ValueAtQuantile(50)), "added_p50_us")
	b.ReportMetric(float64(through.ValueAtQuantile(99)-plain.ValueAtQuantile(99)), "added_p99_us")
}

// floodEngine returns an engine that sends tokens as fast as the connection accepts them.
func floodEngine(tokens int) http.HandlerFunc {
	const event = `data: {"choices":[{"index":0,"delta":{"content":"word "}}]}` + "\n\n"
	return func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/v1/chat/completions" {
			w.Header().Set("Content-Type", "application/json")
			_, _ = io.WriteString(w, `{"object":"list","data":[]}`)
			return
		}
		w.Header().Set("Content-Type", "text/event-stream")
		out := bufio.NewWriterSize(w, 16<<10)
		for range tokens {
			_, _ = out.WriteString(event)
		}
		_, _ = out.WriteString("data: [DONE]\n\n")
		_ = out.Flush()
	}
}

// processorTime returns the CPU time used by this process.
func processorTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkRelay measures the token throughput of 8 concurrent streams. Engine, agent, entry and callers share this
// process, so the figures per core cover all of them.
func BenchmarkRelay(b *testing.B) {
	const tokens, streams = 50_000, 8
	bn := newFixture(b)
	bn.startAgent("flood-1", agent.BackendConfig{
		Kind: agent.KindEngine, URL: bn.serveRaw(floodEngine(tokens)), Model: "flood", Slots: streams,
	})
	c := bn.chat("1")
	c.body = strings.Replace(c.body, `"m"`, `"flood"`, 1)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	cpu := processorTime()
	b.ResetTimer()
	for range b.N {
		var wg sync.WaitGroup
		for range streams {
			wg.Go(func() {
				resp := bn.start(b.Context(), bn.url, c)
				n, err := io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
				if err != nil || n < tokens {
					b.Errorf("got %d bytes, error %v; want at least one byte a token and no error", n, err)
				}
			})
		}
		wg.Wait()
	}
	b.StopTimer()
	used := processorTime() - cpu
	runtime.ReadMemStats(&after)
	total := float64(b.N * tokens * streams)
	b.ReportMetric(total/b.Elapsed().Seconds(), "tokens/s")
	b.ReportMetric(total/used.Seconds(), "tokens/core-s")
	b.ReportMetric(float64(after.Mallocs-before.Mallocs)/total, "allocs/token")
}

// BenchmarkShortRequests measures short requests without streaming from many concurrent callers.
func BenchmarkShortRequests(b *testing.B) {
	bn := newFixture(b)
	bn.client.Transport.(*http.Transport).MaxIdleConnsPerHost = 256
	cpu := processorTime()
	b.SetParallelism(8)
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for i := 0; pb.Next(); i++ {
			resp := bn.start(b.Context(), bn.url, call{path: "/services/stock", body: fmt.Sprint(i)})
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
			if resp.StatusCode != http.StatusOK {
				b.Errorf("got status %d, want 200", resp.StatusCode)
			}
		}
	})
	b.StopTimer()
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "requests/s")
	b.ReportMetric(float64(b.N)/(processorTime()-cpu).Seconds(), "requests/core-s")
}
