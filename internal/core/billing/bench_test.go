package billing

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"

	"github.com/guavastack/guavastack/internal/core/state"
	"github.com/guavastack/guavastack/proto/controlpb"
)

// counters returns n counters of one window, spread over entries, organisations and classes as in a deployment of the
// design size.
func counters(window uint64, n int) []Counter {
	list := make([]Counter, n)
	for i := range list {
		list[i] = Counter{
			Entry: fmt.Sprint("entry-", i%340), Incarnation: fmt.Sprint("8c7f6f0e-", i%340), Window: window,
			Key:     Key{Organisation: fmt.Sprint("region/group/organisation-", i/340), Class: fmt.Sprint("class-", i%6), Model: fmt.Sprint("model-", i%19)},
			Figures: Figures{Requests: 3, PromptTokens: 4000, CachedTokens: 2000, OutputTokens: 900},
		}
	}
	return list
}

// heapInUse returns the bytes of allocated heap objects. The second garbage collection empties each sync.Pool.
func heapInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func encode(b *testing.B, c Command) state.Command {
	data, err := Encode(c, "bench", 1)
	if err != nil {
		b.Fatal(err)
	}
	var cmd state.Command
	if err := json.Unmarshal(data, &cmd); err != nil {
		b.Fatal(err)
	}
	return cmd
}

var sizes = []int{1000, 10000, 100000}

// BenchmarkRecord measures time, log bytes and memory per counter of one command with n counters on an empty module.
func BenchmarkRecord(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			cmd := encode(b, Command{Record: &Record{Counters: counters(1, n)}})
			before := int64(heapInUse())
			var m *Module
			for b.Loop() {
				m = NewModule()
				if _, err := m.Apply(1, cmd); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(n), "ns/counter")
			b.ReportMetric(float64(len(cmd.Body))/float64(n), "log-B/counter")
			b.ReportMetric(float64(int64(heapInUse())-before)/float64(n), "heap-B/counter")
			runtime.KeepAlive(m)
			runtime.KeepAlive(cmd)
		})
	}
}

// BenchmarkClose measures preparing and applying the close of a window with n counters.
func BenchmarkClose(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			record := encode(b, Command{Record: &Record{Counters: counters(1, n)}})
			advance := encode(b, Command{Advance: &Advance{Window: 1}})
			size := 0
			for b.Loop() {
				b.StopTimer()
				m := NewModule()
				_, _ = m.Apply(1, record)
				_, _ = m.Apply(2, advance)
				b.StartTimer()
				closing, err := m.PrepareClose(1)
				if err != nil {
					b.Fatal(err)
				}
				if _, err := m.Apply(3, encode(b, Command{Close: &closing})); err != nil {
					b.Fatal(err)
				}
				size = len(closing.Report)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(n), "ns/counter")
			b.ReportMetric(float64(size)/float64(n), "report-B/counter")
		})
	}
}

// BenchmarkCollect measures a report of n counters to a collector.
func BenchmarkCollect(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			list := counters(1, n)
			for b.Loop() {
				c := NewCollector(NewModule(), 1)
				c.Report("entry", "1", list)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(n), "ns/counter")
			r := &controlpb.UsageCounter{
				Window: 1, Organisation: list[0].Organisation, Class: list[0].Class, Model: list[0].Model, Requests: 3,
				PromptTokens: 4000, CachedTokens: 2000, OutputTokens: 900,
			}
			b.ReportMetric(float64(r.SizeVT()), "wire-B/counter")
		})
	}
}
