package config

import (
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
