package config_test

import (
	"net/netip"
	"strings"
	"testing"

	"github.com/guavastack/guavastack/internal/config"
)

// memberFile returns the settings file of a control member with control.discover.
func memberFile(listen, join string) string {
	return `{"id": "m", "zone": "a", "control_port": 7340,
  "control_members": ["10.1.0.1:8229", "10.2.0.1:8229", "10.3.0.1:8229"],
  "control": {"group": 1, "discover": true, "join": ` + join + `, "listen": "` + listen + `", "data": "/d"}}`
}

func TestDiscoverSelectsInitialMembers(t *testing.T) {
	cases := []struct {
		name    string
		listen  string
		join    string
		initial bool
		members int
	}{
		{"listed member at the first start", "10.2.0.1:7340", "false", true, 3},
		{"unlisted member at the first start", "10.4.0.1:7340", "false", false, 0},
		{"listed member that joins", "10.2.0.1:7340", "true", false, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			cfg, problems := config.Parse("f", []byte(memberFile(tc.listen, tc.join)))
			if err := problems.Err(); err != nil {
				t.Fatal(err)
			}
			if cfg.ControlMembers[0] != "10.1.0.1:7340" {
				t.Errorf("got control members %v, want control_port 7340 in all", cfg.ControlMembers)
			}
			if cfg.Control.Join == tc.initial || len(cfg.Control.Peers) != tc.members {
				t.Errorf("got join %v, initial members %v, want no join and 3 members for a listed member at the first start, else join and none", cfg.Control.Join, cfg.Control.Peers)
			}
			if cfg.Control.Member != config.MemberID(netip.MustParseAddrPort(tc.listen)) {
				t.Errorf("got member id %d, want the id of the listen address", cfg.Control.Member)
			}
		})
	}
}

func TestMemberIDsDiffer(t *testing.T) {
	seen := make(map[uint64]string)
	for _, address := range []string{"10.1.0.1:1", "10.1.0.2:1", "10.0.1.1:1", "1.0.1.10:1", "10.1.0.1:2", "[2001:db8::1]:1", "[2001:db8::2]:1"} {
		id := config.MemberID(netip.MustParseAddrPort(address))
		if other, ok := seen[id]; ok || id == 0 {
			t.Errorf("id of %s: got %d, want one that is neither zero nor the id of another address; other address: %q", address, id, other)
		}
		seen[id] = address
	}
}

func TestParseReportsGatewayProblems(t *testing.T) {
	const file = `{
  "id": "g", "zone": "a", "control_members": [],
  "control_port": 70000,
  "metrics_listen": "nowhere",
  "gateway": {
    "listen": "here",
    "retry_ratio": 3,
    "routing": "best"
  }
}`
	_, problems := config.Parse("f", []byte(file))
	text := problems.Error()
	for _, want := range []string{"f:3: control_port", "f:4: metrics_listen", "f:6: gateway.listen", "f:7: gateway.retry_ratio", "f:8: gateway.routing", "control_members: missing"} {
		if !strings.Contains(text, want) {
			t.Errorf("problems lack %q; got\n%s", want, text)
		}
	}
}
