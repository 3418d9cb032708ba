package settings_test

import (
	"encoding/json"
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/guavastack/guavastack/internal/core/settings"
)

// Design size of a deployment.
const (
	benchOrganisations = 7500
	benchClasses       = 6
)

// largeModule returns a module with n organisations in groups of 100; one in ten overrides something, each has a key.
func largeModule(b testing.TB, n int) *settings.Module {
	var classes []string
	for i := range benchClasses {
		classes = append(classes, fmt.Sprintf(`"class-%d": {"tier": %d, "limits": {"concurrency": 1000}}`, i, i))
	}
	var groups []string
	for g := 0; g*100 < n; g++ {
		var members []string
		for i := g * 100; i < min(n, g*100+100); i++ {
			node := `{"limits": {"requests_per_minute": 600}}`
			if i%10 == 0 {
				node = `{"defaults": {"weight": 2}, "classes": {"class-1": {"deadline": "20s"}}}`
			}
			members = append(members, fmt.Sprintf(`"org-%d": %s`, i, node))
		}
		groups = append(groups, fmt.Sprintf(`"group-%d": {"organisations": {%s}}`, g, strings.Join(members, ",")))
	}
	document := fmt.Sprintf(`{"classes": {%s}, "organisations": {%s}}`, strings.Join(classes, ","), strings.Join(groups, ","))
	m := settings.NewModule()
	if o := apply(b, m, settings.Command{Op: settings.PutDocument, Document: document}); !o.Accepted {
		b.Fatalf("%+v", o)
	}
	for i := range n {
		apply(b, m, settings.Command{Op: settings.CreateKey, Path: benchPath(i), KeyID: fmt.Sprint("k", i), KeyHash: fmt.Sprintf("%064x", i+1)})
	}
	return m
}

func benchPath(i int) string { return fmt.Sprintf("group-%d/org-%d", i/100, i) }

// BenchmarkClass looks up classes of 100 active organisations, and of all organisations in turn, which misses the CPU
// caches.
func BenchmarkClass(b *testing.B) {
	tree := largeModule(b, benchOrganisations).Tree()
	for _, busy := range []int{100, benchOrganisations} {
		b.Run(fmt.Sprint("organisations=", busy), func(b *testing.B) {
			paths := make([]string, busy)
			for i := range paths {
				paths[i] = benchPath(i * 7919 % benchOrganisations)
			}
			b.ReportAllocs()
			for i := range b.N {
				if _, err := tree.Class(paths[i%busy], "class-3"); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func BenchmarkKeyByHash(b *testing.B) {
	tree := largeModule(b, benchOrganisations).Tree()
	keys := make([]settings.Key, benchOrganisations)
	for i := range keys {
		keys[i], _ = tree.Key(fmt.Sprint("k", i*7919%benchOrganisations))
	}
	now := time.Now()
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		if k, ok := tree.KeyByHash(keys[i%benchOrganisations].Hash); !ok || !k.IsUsable(now) {
			b.Fatal("not found")
		}
	}
}

// BenchmarkTreeMemory reports the memory of a tree as a watcher holds it, and the size of its snapshot.
func BenchmarkTreeMemory(b *testing.B) {
	for _, n := range []int{750, 2500, benchOrganisations} {
		b.Run(fmt.Sprint("organisations=", n), func(b *testing.B) {
			snapshot, err := json.Marshal(largeModule(b, n).Tree())
			if err != nil {
				b.Fatal(err)
			}
			var before, after runtime.MemStats
			b.ResetTimer()
			for range b.N {
				runtime.GC()
				runtime.ReadMemStats(&before)
				tree, err := settings.ParseTree(snapshot)
				if err != nil {
					b.Fatal(err)
				}
				runtime.GC()
				runtime.ReadMemStats(&after)
				runtime.KeepAlive(tree)
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/(1<<20), "MiB/tree")
			}
			b.ReportMetric(float64(len(snapshot))/float64(n), "snapshotB/organisation")
		})
	}
}

// BenchmarkChange measures one accepted change at a replica and the application of its delta at a watcher.
func BenchmarkChange(b *testing.B) {
	for _, c := range []struct {
		name string
		make func(i int) settings.Command
	}{
		{"key", func(i int) settings.Command {
			return settings.Command{Op: settings.ExpireKey, KeyID: fmt.Sprint("k", i%benchOrganisations), ExpiresMS: int64(i + 1)}
		}},
		{"leaf", func(i int) settings.Command {
			return settings.Command{Op: settings.PutNode, Path: benchPath(i % benchOrganisations), Node: `{"defaults": {"weight": 3}}`}
		}},
		{"root", func(int) settings.Command {
			return settings.Command{Op: settings.PatchNode, Path: "", Node: `{"defaults": {"weight": 2}}`}
		}},
	} {
		b.Run(c.name, func(b *testing.B) {
			m := largeModule(b, benchOrganisations)
			watcher := m.Tree()
			bytes := 0
			b.ResetTimer()
			for i := range b.N {
				if o := apply(b, m, c.make(i)); !o.Accepted {
					b.Fatalf("%+v", o)
				}
				deltas, _ := m.DeltasSince(watcher.Version())
				data, _ := json.Marshal(deltas[0])
				bytes += len(data)
				next, problems := watcher.Apply(deltas[0])
				if len(problems) > 0 {
					b.Fatal(problems)
				}
				watcher = next
			}
			b.ReportMetric(float64(bytes)/float64(b.N), "deltaB")
		})
	}
}
