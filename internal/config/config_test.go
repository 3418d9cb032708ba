package config

import (
	"slices"
	"strings"
	"testing"
)

const valid = `{
  // one entry
  "id": "entry-1",
  "zone": "a",
  "control_members": ["127.0.0.1:7001"],
  "entry": {"listen": "127.0.0.1:8080", "drain_delay": "2s"},
}`

func TestParseReportsAllProblems(t *testing.T) {
	tests := []struct {
		name string
		data string
		want []string // substrings of the problems, in order
	}{
		{"valid", valid, nil},
		{"syntax", `{"id": `, []string{"f.json:1:"}},
		{"unknown field", strings.Replace(valid, "zone", "zonne", 1), []string{"f.json:4: zonne"}},
		{"duration without unit", strings.Replace(valid, `"2s"`, `2`, 1), []string{"f.json:6: entry.drain_delay"}},
		{"host name as address", strings.Replace(valid, "127.0.0.1:7001", "control:7001", 1), []string{"f.json:5: control_members[0]"}},
		{"no role", `{"id": "x", "zone": "a"}`, []string{"no role"}},
		{
			"several problems",
			"{\"id\": \"a b\",\n\"zone\": \"\",\n\"entry\": {\"listen\": \"here\"}}",
			[]string{"f.json:1: id", "control_members", "f.json:2: zone", "f.json:3: entry.listen"},
		},
		{
			"share of hedged requests above the retry budget",
			`{"id": "g", "zone": "a", "control_members": ["10.0.0.2:7000"], "gateway": {"listen": "10.0.0.1:8080", "hedge_ratio": 0.21}}`,
			[]string{"gateway.hedge_ratio: 0.21; expected 0 (no hedged requests) to 0.2"},
		},
		{
			"negative share of hedged requests",
			`{"id": "g", "zone": "a", "control_members": ["10.0.0.2:7000"], "gateway": {"listen": "10.0.0.1:8080", "hedge_ratio": -0.1}}`,
			[]string{"gateway.hedge_ratio: -0.1; expected"},
		},
		{
			"admin listener without TLS on a non-loopback address",
			`{"id": "c", "zone": "a", "control": {"member": 1, "listen": "10.0.0.1:7001", "data": "d",
			  "admin": {"listen": "10.0.0.1:8081"}, "peers": [{"id": 1, "address": "10.0.0.1:7001"}]}}`,
			[]string{"control.admin.listen"},
		},
		{
			"status listener on a non-loopback address",
			`{"id": "e", "zone": "a", "status_listen": "10.0.0.1:9090", "control_members": ["10.0.0.2:7000"], "entry": {"listen": "10.0.0.1:8080"}}`,
			[]string{"status_listen: 10.0.0.1:9090 is not a loopback address"},
		},
		{
			"negative request limit",
			strings.Replace(valid, `"id"`, `"request_limits": {"unfinished": -1, "rate_grace": "-1s"}, "id"`, 1),
			[]string{"request_limits.unfinished: -1 is negative", "request_limits.rate_grace"},
		},
		{
			"request memory above half of the process's",
			strings.Replace(valid, `"id"`, `"memory_limit_mb": 100, "request_limits": {"memory_mb": 51}, "id"`, 1),
			[]string{"request_limits.memory_mb: 51; expected at most half of memory_limit_mb, which is 100"},
		},
		{
			"memory of an owner above that of all",
			strings.Replace(valid, `"id"`, `"request_limits": {"memory_mb": 10, "owner_memory_mb": 11}, "id"`, 1),
			[]string{"request_limits.owner_memory_mb: 11; expected at most request_limits.memory_mb, which is 10"},
		},
		{
			"peers without the member itself",
			`{"id": "c", "zone": "a", "control": {"member": 2, "listen": "10.0.0.1:7001", "data": "d",
			  "peers": [{"id": 1, "address": "10.0.0.1:7001"}]}}`,
			[]string{"member 2 is not among them"},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, problems := Parse("f.json", []byte(tt.data))
			if len(problems) != len(tt.want) {
				t.Fatalf("got %d problems, want %d:\n%v", len(problems), len(tt.want), problems)
			}
			for i, want := range tt.want {
				if got := problems[i].String(); !strings.Contains(got, want) {
					t.Errorf("problem %d: got %q, want it to contain %q", i, got, want)
				}
			}
		})
	}
}

// TestDerivedRequestLimits checks the limits that follow from the memory and the descriptors of small and large instances. A limit below what
// well-behaved clients need would refuse them.
func TestDerivedRequestLimits(t *testing.T) {
	tests := []struct {
		name        string
		cfg         Config
		descriptors int

		memoryMB, ownerMB, unfinished, connections, largeHeads int
	}{
		{"small", Config{MemoryLimitMB: 112}, 3075, 22, 11, 358, 955, 179},
		{"few descriptors", Config{MemoryLimitMB: 288}, 1024, 57, 28, 921, 480, 460},
		{"many descriptors", Config{MemoryLimitMB: 134}, 12300, 26, 13, 428, 1143, 214},
		{"hardly any descriptors", Config{MemoryLimitMB: 134}, 80, 26, 13, 428, 16, 214},
		{"no memory limit", Config{}, 4096, 512, 256, 8192, 2016, 0},
		{
			"set",
			Config{MemoryLimitMB: 134, RequestLimits: &RequestLimits{MemoryMB: 40, OwnerMemoryMB: 30, Unfinished: 7, Connections: 9, LargeHeads: 3}},
			4096, 40, 30, 7, 9, 3,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := []int{
				tt.cfg.RequestMemoryBytes() >> 20, tt.cfg.OwnerMemoryBytes() >> 20, tt.cfg.MaxUnfinished(), tt.cfg.MaxConnections(tt.descriptors),
				tt.cfg.MaxLargeHeads(),
			}
			if want := []int{tt.memoryMB, tt.ownerMB, tt.unfinished, tt.connections, tt.largeHeads}; !slices.Equal(got, want) {
				t.Errorf("memory, of an owner, unfinished, connections, large heads: got %v, want %v", got, want)
			}
		})
	}
}
