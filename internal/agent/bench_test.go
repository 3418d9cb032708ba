package agent

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/guavastack/guavastack/internal/backend"
	"github.com/guavastack/guavastack/internal/core/verdict"
	"github.com/guavastack/guavastack/internal/link"
	"github.com/guavastack/guavastack/internal/standin/engine"
	"github.com/guavastack/guavastack/proto/linkpb"
)

// chunkBytes is the typical size of a chat stream event that carries one token.
const chunkBytes = 170

// constantBackend answers every request with a fixed number of equal chunks, without a server behind it.
type constantBackend struct {
	backend.Backend
	chunks int
	chunk  []byte
	pause  time.Duration // between chunks
}

func (f *constantBackend) Do(_ context.Context, _ *backend.Request, sink backend.Sink) (backend.Usage, error) {
	if err := sink.Head(200, nil); err != nil {
		return backend.Usage{}, err
	}
	for range f.chunks {
		if f.pause > 0 {
			time.Sleep(f.pause)
		}
		if err := sink.Data(f.chunk, 1); err != nil {
			return backend.Usage{}, err
		}
	}
	return backend.Usage{}, nil
}

// grantingHandler is a link.Handler that discards events and grants credit for their bytes.
type grantingHandler struct {
	call  *link.Call
	ready chan struct{}
	done  chan bool
	first func()
}

func (c *grantingHandler) Started(*linkpb.Started)   {}
func (c *grantingHandler) Load(string, *linkpb.Load) {}
func (c *grantingHandler) Event(e *linkpb.Event) {
	if c.first != nil {
		c.first()
		c.first = nil
	}
	<-c.ready
	c.call.Grant(uint32(len(e.Data)))
}
func (c *grantingHandler) End(e *linkpb.End)           { c.done <- !e.Stopped }
func (c *grantingHandler) Refused(*linkpb.Refused)     { c.done <- false }
func (c *grantingHandler) Lost(verdict.Verdict, error) { c.done <- false }
func newGrantingHandler() *grantingHandler {
	return &grantingHandler{ready: make(chan struct{}), done: make(chan bool, 1)}
}

func (c *grantingHandler) run(b testing.TB, p *link.Pool, addr string, s *linkpb.Submit) {
	call, err := p.Submit(context.Background(), addr, s, c)
	if err != nil {
		b.Error(err)
		return
	}
	c.call = call
	close(c.ready)
	if !<-c.done {
		b.Error("got an incomplete answer, want a complete one")
	}
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// relay transfers about b.N tokens in parallel streams and reports tokens per second of CPU time, tokens per second,
// and allocations per token.
func relay(b *testing.B, addr string, streams int, tokens int, s func(id string) *linkpb.Submit) {
	p := newPool(b, "bench", nil)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	b.ResetTimer()
	start, cpu := time.Now(), cpuTime()
	var wg sync.WaitGroup
	rounds := max(b.N/(streams*tokens), 1)
	for i := range streams {
		wg.Go(func() {
			for k := range rounds {
				newGrantingHandler().run(b, p, addr, s(fmt.Sprintf("r%d-%d", i, k)))
			}
		})
	}
	wg.Wait()
	b.StopTimer()
	runtime.ReadMemStats(&after)
	n := float64(rounds * streams * tokens)
	b.ReportMetric(n/(cpuTime()-cpu).Seconds(), "tokens/core-s")
	b.ReportMetric(n/time.Since(start).Seconds(), "tokens/s")
	b.ReportMetric(float64(after.Mallocs-before.Mallocs)/n, "allocs/token")
}

// BenchmarkRelay measures link and agent, with both ends in one process over TCP and a backend of negligible cost.
func BenchmarkRelay(b *testing.B) {
	for _, streams := range []int{1, 16, 256} {
		b.Run(fmt.Sprint(streams), func(b *testing.B) {
			const tokens = 1000
			relayConstant(b, streams, &constantBackend{chunks: tokens, chunk: make([]byte, chunkBytes)})
		})
	}
}

// BenchmarkRelayPaced measures streams whose tokens arrive one at a time, so that few are joined into one event.
func BenchmarkRelayPaced(b *testing.B) {
	relayConstant(b, 64, &constantBackend{chunks: 300, chunk: make([]byte, chunkBytes), pause: 10 * time.Millisecond})
}

func relayConstant(b *testing.B, streams int, f *constantBackend) {
	a, err := New(Config{
		ID: "a", Listen: "127.0.0.1:0",
		Backend: BackendConfig{Kind: KindEngine, URL: serveHTTP(b, engine.New(engine.Config{})), Slots: streams},
	})
	if err != nil {
		b.Fatal(err)
	}
	f.Backend = a.backend
	a.backend = f
	serveAgent(b, a)
	relay(b, a.Addr().String(), streams, f.chunks, func(id string) *linkpb.Submit { return chat(id, "1") })
}

// BenchmarkRelayEngine measures the relay with the stand-in engine over HTTP in the same process.
func BenchmarkRelayEngine(b *testing.B) {
	const streams, tokens = 64, 1000
	a := startAgent(b, Config{Backend: BackendConfig{
		Kind: KindEngine, URL: serveHTTP(b, engine.New(engine.Config{Slots: streams})), Slots: streams,
	}})
	relay(b, a.Addr().String(), streams, tokens, func(id string) *linkpb.Submit { return chat(id, fmt.Sprint(tokens)) })
}

// cannedEngine answers every request with the same stream, so that the engine's own cost is small.
func cannedEngine(tokens int) http.Handler {
	text := []byte(expectedBody(chat("canned", fmt.Sprint(tokens))))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodPost {
			fmt.Fprint(w, "{}")
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = w.Write(text)
	})
}

// BenchmarkRelayCanned measures the relay with an engine that sends a prepared stream over HTTP.
func BenchmarkRelayCanned(b *testing.B) {
	const streams, tokens = 64, 1000
	a := startAgent(b, Config{Backend: BackendConfig{Kind: KindEngine, URL: serveHTTP(b, cannedEngine(tokens)), Slots: streams}})
	relay(b, a.Addr().String(), streams, tokens, func(id string) *linkpb.Submit { return chat(id, "1") })
}

// BenchmarkShortRequests measures requests of one token each, so its metrics per token are per request.
func BenchmarkShortRequests(b *testing.B) {
	const streams = 64
	a := startAgent(b, Config{Backend: BackendConfig{Kind: KindEngine, URL: serveHTTP(b, cannedEngine(1)), Slots: streams}})
	relay(b, a.Addr().String(), streams, 1, func(id string) *linkpb.Submit { return chat(id, "1") })
}

// BenchmarkFirstToken compares the time to the first event through link and agent with that of a direct call of the
// engine, at 200 requests per second.
func BenchmarkFirstToken(b *testing.B) {
	url := serveHTTP(b, engine.New(engine.Config{}))
	b.Run("direct", func(b *testing.B) {
		reportFirstToken(b, func(string) time.Duration { return timeDirectCall(b, url) })
	})
	b.Run("agent", func(b *testing.B) {
		a := startAgent(b, Config{Backend: BackendConfig{Kind: KindEngine, URL: url}})
		p := newPool(b, "bench", nil)
		reportFirstToken(b, func(id string) time.Duration {
			start := time.Now()
			var first time.Duration
			c := newGrantingHandler()
			c.first = func() { first = time.Since(start) }
			c.run(b, p, a.Addr().String(), chat(id, "1"))
			return first
		})
	})
}

// reportFirstToken reports the median and the 99th percentile of the durations that call returns.
func reportFirstToken(b *testing.B, call func(id string) time.Duration) {
	call("warm")
	times := make([]time.Duration, b.N)
	pace := time.NewTicker(5 * time.Millisecond)
	defer pace.Stop()
	for i := range times {
		<-pace.C
		times[i] = call(fmt.Sprint("r", i))
	}
	slices.Sort(times)
	b.ReportMetric(float64(times[len(times)/2].Microseconds()), "us-median")
	b.ReportMetric(float64(times[len(times)*99/100].Microseconds()), "us-p99")
}

// timeDirectCall returns the time to the first line of a streamed answer from the engine at url, without link and agent.
func timeDirectCall(b *testing.B, url string) time.Duration {
	s := chat("direct", "1")
	start := time.Now()
	resp, err := http.Post(url+s.Path, "application/json", bytes.NewReader(s.Body))
	if err != nil {
		b.Fatal(err)
	}
	defer resp.Body.Close()
	reader := bufio.NewReader(resp.Body)
	if _, err := reader.ReadString('\n'); err != nil {
		b.Fatal(err)
	}
	first := time.Since(start)
	_, _ = io.Copy(io.Discard, reader)
	return first
}

// BenchmarkAtRest measures the CPU and memory use of an idle agent with one open link.
func BenchmarkAtRest(b *testing.B) {
	a := startAgent(b, Config{Backend: BackendConfig{Kind: KindEngine, URL: serveHTTP(b, engine.New(engine.Config{}))}})
	p := newPool(b, "bench", nil)
	newGrantingHandler().run(b, p, a.Addr().String(), chat("warm", "1"))
	cpu, start := cpuTime(), time.Now()
	time.Sleep(3 * time.Second)
	b.ReportMetric((cpuTime()-cpu).Seconds()/time.Since(start).Seconds()*100, "%core")
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	b.ReportMetric(float64(m.HeapInuse+m.StackInuse)/(1<<20), "MiB")
}

// BenchmarkResume measures the time from closing the TCP connection to the next event of the answer.
func BenchmarkResume(b *testing.B) {
	a := startAgent(b, Config{Backend: BackendConfig{
		Kind: KindEngine, URL: serveHTTP(b, engine.New(engine.Config{TokenInterval: time.Millisecond})),
	}})
	conns := make(chan net.Conn, 1)
	p := newPool(b, "bench", func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, addr)
		if err == nil {
			conns <- conn
		}
		return conn, err
	})
	times := make([]time.Duration, b.N)
	for i := range times {
		r := newRecorder()
		var cutAt time.Time
		r.onEvent = func(n int) {
			switch n {
			case 5:
				cutAt = time.Now()
				(<-conns).Close()
			case 6:
				times[i] = time.Since(cutAt)
			}
		}
		submit(b, p, a.Addr().String(), chat(fmt.Sprint("r", i), "20"), r)
		if o := <-r.done; o.end == nil {
			b.Fatal(o)
		}
	}
	slices.Sort(times)
	b.ReportMetric(float64(times[len(times)/2].Microseconds()), "us-median")
	b.ReportMetric(float64(times[len(times)*99/100].Microseconds()), "us-p99")
}
