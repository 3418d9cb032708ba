package config

import (
	"fmt"
	"testing"
)

// Guards against fair shares that a settings file without the field turns on.
func TestFairShares(t *testing.T) {
	for field, want := range map[string]bool{``: false, `, "fair_shares": false`: false, `, "fair_shares": true`: true} {
		data := fmt.Sprintf(`{"id": "g", "zone": "a", "control_members": ["127.0.0.1:7001"], "gateway": {"listen": "127.0.0.1:8080"%s}}`, field)
		c, problems := Parse("f.json", []byte(data))
		if len(problems) > 0 {
			t.Fatal(problems)
		}
		if c.Gateway.FairShares != want {
			t.Errorf("with %q: %v, want %v", field, c.Gateway.FairShares, want)
		}
	}
	if _, problems := Parse("f.json", []byte(`{"id": "g", "zone": "a", "control_members": ["127.0.0.1:7001"], "gateway": {"listen": "127.0.0.1:8080", "fair_shares": 1}}`)); len(problems) != 1 {
		t.Errorf("a number: %v, want one problem", problems)
	}
}
