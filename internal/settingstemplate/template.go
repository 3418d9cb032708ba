// Package settingstemplate fills in the settings templates of deploy as the platform does, limited to the syntax that they use. Tests
// and the runner of real processes render settings with it.
package settingstemplate

import (
	"encoding/json"
	"fmt"
	"maps"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/juju/errors"
)

// Fields are the values that are filled into a template. A value may be Fields itself; names with dots lead into it.
type Fields map[string]any

var (
	sectionTag = regexp.MustCompile(`\{\{([#^])([A-Za-z0-9_.]+)\}\}`)
	valueTag   = regexp.MustCompile(`\{\{([A-Za-z0-9_.]+)(\|json)?\}\}`)
)

// Render fills in values, values as JSON, and sections for a value that is present or absent. A section for a table of type
// map[string]string is repeated for each of its keys, in ascending order: {{@}} is the key, and {{,}} a comma except after the last one.
// Render returns an error for a section without an end.
func Render(template string, f Fields) (string, error) {
	template, err := renderSections(template, f)
	if err != nil {
		return "", err
	}
	var failed error
	out := valueTag.ReplaceAllStringFunc(template, func(tag string) string {
		m := valueTag.FindStringSubmatch(tag)
		text, err := f.format(m[1], m[2] != "")
		if err != nil {
			failed = err
		}
		return text
	})
	return out, errors.Trace(failed)
}

func renderSections(template string, f Fields) (string, error) {
	for {
		at := sectionTag.FindStringSubmatchIndex(template)
		if at == nil {
			return template, nil
		}
		kind, name := template[at[2]:at[3]], template[at[4]:at[5]]
		inner, rest, ok := strings.Cut(template[at[1]:], "{{/"+name+"}}")
		if !ok {
			return "", errors.NotValidf("template: section %s without an end", name)
		}
		table, isTable := f.get(name).(map[string]string)
		switch {
		case f.isPresent(name) != (kind == "#"):
			inner = ""
		case isTable && kind == "#":
			inner = repeatForKeys(inner, table)
		}
		template = template[:at[0]] + inner + rest
	}
}

// repeatForKeys returns the text of a section once for each key of a table.
func repeatForKeys(text string, table map[string]string) string {
	var out strings.Builder
	for i, key := range slices.Sorted(maps.Keys(table)) {
		comma := ","
		if i == len(table)-1 {
			comma = ""
		}
		out.WriteString(strings.NewReplacer("{{@}}", key, "{{,}}", comma).Replace(text))
	}
	return out.String()
}

// get returns the value of a name with dots, or nil.
func (f Fields) get(name string) any {
	var at any = f
	for part := range strings.SplitSeq(name, ".") {
		switch v := at.(type) {
		case Fields:
			at = v[part]
		case []int:
			i, err := strconv.Atoi(part)
			if err != nil || i >= len(v) {
				return nil
			}
			at = v[i]
		default:
			return nil
		}
	}
	return at
}

func (f Fields) isPresent(name string) bool {
	switch v := f.get(name).(type) {
	case nil:
		return false
	case bool:
		return v
	case map[string]string:
		return len(v) > 0
	default:
		return true
	}
}

func (f Fields) format(name string, asJSON bool) (string, error) {
	v := f.get(name)
	if asJSON {
		data, err := json.Marshal(v)
		return string(data), err
	}
	if v == nil {
		return "", nil
	}
	return fmt.Sprint(v), nil
}
