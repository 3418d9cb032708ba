package main

import (
	"os"
	"path/filepath"
	"slices"
	"testing"

	"github.com/guavastack/guavastack/internal/config"
	"github.com/guavastack/guavastack/internal/settingstemplate"
)

// templateFields returns examples of the values that the platform fills into templates. A field that is not listed has no value.
func templateFields() settingstemplate.Fields {
	return settingstemplate.Fields{
		"nodeName": "front-trd-a-1", "zone": "trd-a", "ip": "10.1.0.19", "dataDir": "/data/control", "bootstrap": true,
		"internalPorts": []int{7340},
		"listen":        settingstemplate.Fields{"front": "10.1.0.19:8227", "readiness": "10.1.0.19:8220", "control": "10.1.0.19:8229"},
		"limits":        settingstemplate.Fields{"memoryMb": 134},
		"bounds": settingstemplate.Fields{
			"revokeMs": 5000, "configApplyMs": 2000, "graceS": 8, "reportWindowS": 5, "retryBudgetRatio": 0.2, "leaseMs": 3000,
		},
		"faultTolerance": settingstemplate.Fields{"machines": 2},
		"cloudApi":       settingstemplate.Fields{"address": "10.200.0.61:8223"},
		"zones":          map[string]string{"trd-a": "trd", "trd-b": "trd", "ber-a": "ber"},
		"seeds":          []string{"10.1.0.19:8229", "10.2.0.36:8229", "10.3.0.3:8229"},
	}
}

// withColdBounds returns the fields of a platform that states the bounds of cold servers.
func withColdBounds() settingstemplate.Fields {
	fields := templateFields()
	bounds := fields["bounds"].(settingstemplate.Fields)
	bounds["coldOverrun"], bounds["coldSlack"] = 1.5, 5
	return fields
}

// TestRenderedTemplatesAreValidSettings renders the templates in deploy and parses the result as a process does.
func TestRenderedTemplatesAreValidSettings(t *testing.T) {
	without := func(name string) settingstemplate.Fields {
		fields := templateFields()
		delete(fields, name)
		return fields
	}
	cases := []struct {
		name, file string
		fields     settingstemplate.Fields
		check      func(*config.Config) bool
	}{
		{"gateway", "gateway.json.tmpl", templateFields(), func(c *config.Config) bool {
			return c.Gateway != nil && c.ControlMembers[1] == "10.2.0.36:7340" && c.Gateway.RetryRatio == 0.2
		}},
		{"gateway with bounds of cold servers", "gateway.json.tmpl", withColdBounds(), func(c *config.Config) bool {
			return c.Gateway != nil && c.Gateway.ColdOverrun == 1.5 && c.Gateway.ColdSlack == 5
		}},
		{"bootstrap member", "control.json.tmpl", templateFields(), func(c *config.Config) bool {
			return c.Control != nil && !c.Control.Join && len(c.Control.Peers) == 3 && c.Control.Platform != nil && c.Control.FaultTolerance == 2
		}},
		{"joining member", "control.json.tmpl", without("bootstrap"), func(c *config.Config) bool {
			return c.Control != nil && c.Control.Join && len(c.Control.Peers) == 0
		}},
		{"zones", "control.json.tmpl", templateFields(), func(c *config.Config) bool {
			return slices.Equal(c.Zones, []string{"ber-a", "trd-a", "trd-b"})
		}},
		{"without a list of zones", "control.json.tmpl", without("zones"), func(c *config.Config) bool {
			return c.Control != nil && len(c.Zones) == 0
		}},
		{"without a stated tolerance", "control.json.tmpl", without("faultTolerance"), func(c *config.Config) bool {
			return c.Control != nil && c.Control.FaultTolerance == 0
		}},
		{"without the platform's API", "control.json.tmpl", without("cloudApi"), func(c *config.Config) bool {
			return c.Control != nil && c.Control.Platform == nil
		}},
		{"without a disk", "control.json.tmpl", without("dataDir"), func(c *config.Config) bool {
			return c.Control == nil && c.Relay != nil && c.Relay.Listen == "10.1.0.19:8229"
		}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			text, err := os.ReadFile(filepath.Join("..", "..", "deploy", tc.file))
			if err != nil {
				t.Fatal(err)
			}
			rendered, err := settingstemplate.Render(string(text), tc.fields)
			if err != nil {
				t.Fatal(err)
			}
			cfg, problems := config.Parse(tc.file, []byte(rendered))
			if err := problems.Err(); err != nil {
				t.Fatalf("got problems %v, want none in\n%s", err, rendered)
			}
			if !tc.check(cfg) {
				t.Errorf("got settings %+v, want those that the check of the case accepts", cfg)
			}
		})
	}
}
