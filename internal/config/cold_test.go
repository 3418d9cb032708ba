package config_test

import (
	"strings"
	"testing"

	"github.com/guavastack/guavastack/internal/config"
)

// TestParseReportsColdBounds checks that bounds of cold servers that would allow nothing are reported.
func TestParseReportsColdBounds(t *testing.T) {
	const file = `{
  "id": "g", "zone": "a", "control_members": ["10.0.0.1:1"],
  "gateway": {
    "listen": "127.0.0.1:0",
    "cold_overrun": 0.5,
    "cold_slack": -1
  }
}`
	_, problems := config.Parse("f", []byte(file))
	for _, want := range []string{"f:5: gateway.cold_overrun", "f:6: gateway.cold_slack"} {
		if !strings.Contains(problems.Error(), want) {
			t.Errorf("problems lack %q; got\n%s", want, problems.Error())
		}
	}
}
