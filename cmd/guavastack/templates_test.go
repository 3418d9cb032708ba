package main

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/guavastack/guavastack/internal/config"
)

// templateFields are examples of the values that the platform fills into templates. A field that is not listed has no value.
var templateFields = map[string]string{
	"nodeName": "front-trd-a-1", "zone": "trd-a", "ip": "10.1.0.19", "dataDir": "/data/control", "bootstrap": "true",
	"internalPorts.0": "7340", "listen.front": "10.1.0.19:8227", "listen.readiness": "10.1.0.19:8220",
	"listen.control": "10.1.0.19:8229", "limits.memoryMb": "134", "bounds.revokeMs": "5000", "bounds.configApplyMs": "2000", "bounds.graceS": "8",
	"faultTolerance.machines": "2", "bounds.reportWindowS": "5", "bounds.retryBudgetRatio": "0.2", "bounds.leaseMs": "3000", "cloudApi.address": "10.200.0.61:8223",
	"seeds": `["10.1.0.19:8229","10.2.0.36:8229","10.3.0.3:8229"]`,
}

var (
	templateSection = regexp.MustCompile(`(?s)\{\{([#^])([\w.]+)\}\}(.*?)\{\{/([\w.]+)\}\}`)
	templateValue   = regexp.MustCompile(`\{\{([\w.]+)(\|json)?\}\}`)
)

// render expands a template as the platform does, limited to the syntax that the templates in deploy use.
func render(t *testing.T, text string, fields map[string]string) string {
	t.Helper()
	for strings.Contains(text, "{{#") || strings.Contains(text, "{{^") {
		text = templateSection.ReplaceAllStringFunc(text, func(section string) string {
			m := templateSection.FindStringSubmatch(section)
			if m[2] != m[4] {
				// Expand a nested section first.
				inner := strings.LastIndex(section[:strings.LastIndex(section, "{{/")], "{{"+innerOpeningTag(section, m[4]))
				return section[:inner] + render(t, section[inner:], fields)
			}
			value := fields[m[2]]
			if present := value != "" && value != "false"; present == (m[1] == "#") {
				return m[3]
			}
			return ""
		})
	}
	return templateValue.ReplaceAllStringFunc(text, func(placeholder string) string {
		m := templateValue.FindStringSubmatch(placeholder)
		value := fields[m[1]]
		if m[2] != "" && !strings.HasPrefix(value, "[") {
			return `"` + value + `"`
		}
		return value
	})
}

// innerOpeningTag returns the opening tag of a nested section, without its braces.
func innerOpeningTag(section, name string) string {
	if strings.Contains(section, "{{#"+name+"}}") {
		return "#" + name
	}
	return "^" + name
}

// TestRenderedTemplatesAreValidSettings renders the templates in deploy and parses the result as a process does.
func TestRenderedTemplatesAreValidSettings(t *testing.T) {
	without := func(name string) map[string]string {
		fields := make(map[string]string)
		for k, v := range templateFields {
			if k != name {
				fields[k] = v
			}
		}
		return fields
	}
	cases := []struct {
		name, file string
		fields     map[string]string
		check      func(*config.Config) bool
	}{
		{"gateway", "gateway.json.tmpl", templateFields, func(c *config.Config) bool {
			return c.Gateway != nil && c.ControlMembers[1] == "10.2.0.36:7340" && c.Gateway.RetryRatio == 0.2
		}},
		{"bootstrap member", "control.json.tmpl", templateFields, func(c *config.Config) bool {
			return c.Control != nil && !c.Control.Join && len(c.Control.Peers) == 3 && c.Control.Platform != nil && c.Control.FaultTolerance == 2
		}},
		{"joining member", "control.json.tmpl", without("bootstrap"), func(c *config.Config) bool {
			return c.Control != nil && c.Control.Join && len(c.Control.Peers) == 0
		}},
		{"without a stated tolerance", "control.json.tmpl", without("faultTolerance.machines"), func(c *config.Config) bool {
			return c.Control != nil && c.Control.FaultTolerance == 0
		}},
		{"without the platform's API", "control.json.tmpl", without("cloudApi.address"), func(c *config.Config) bool {
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
			rendered := render(t, string(text), tc.fields)
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
