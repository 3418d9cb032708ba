package main

import (
	"encoding/json"
	"fmt"
	"regexp"
	"sort"
	"strings"
)

// fields are the values that are filled into a settings template. A value may be fields itself; names with dots lead into it.
type fields map[string]any

var (
	sectionTag = regexp.MustCompile(`\{\{([#^])([A-Za-z0-9_.]+)\}\}`)
	valueTag   = regexp.MustCompile(`\{\{([A-Za-z0-9_.]+)(\|json)?\}\}`)
)

// render fills in a template as the deploy page describes it, limited to what the templates of this project use.
func render(text string, f fields) (string, error) {
	for {
		at := sectionTag.FindStringSubmatchIndex(text)
		if at == nil {
			break
		}
		kind, name := text[at[2]:at[3]], text[at[4]:at[5]]
		inner, rest, ok := strings.Cut(text[at[1]:], "{{/"+name+"}}")
		if !ok {
			return "", fmt.Errorf("template: section %s has no end", name)
		}
		value := f.get(name)
		switch {
		case isPresent(value) != (kind == "#"):
			inner = ""
		case kind == "#":
			if table, isTable := value.(map[string]string); isTable {
				inner = repeat(inner, table)
			}
		}
		text = text[:at[0]] + inner + rest
	}
	var failed error
	out := valueTag.ReplaceAllStringFunc(text, func(tag string) string {
		m := valueTag.FindStringSubmatch(tag)
		value := f.get(m[1])
		if m[2] == "" {
			if value == nil {
				return ""
			}
			return fmt.Sprint(value)
		}
		data, err := json.Marshal(value)
		if err != nil {
			failed = err
		}
		return string(data)
	})
	return out, failed
}

// repeat returns the text of a section once for each key of a table, in ascending order.
func repeat(text string, table map[string]string) string {
	keys := make([]string, 0, len(table))
	for key := range table {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	var out strings.Builder
	for i, key := range keys {
		comma := ","
		if i == len(keys)-1 {
			comma = ""
		}
		out.WriteString(strings.NewReplacer("{{@}}", key, "{{,}}", comma).Replace(text))
	}
	return out.String()
}

// get returns the value of a name with dots, or nil.
func (f fields) get(name string) any {
	var at any = f
	for _, part := range strings.Split(name, ".") {
		switch v := at.(type) {
		case fields:
			at = v[part]
		case []int:
			var i int
			if _, err := fmt.Sscan(part, &i); err != nil || i >= len(v) {
				return nil
			}
			at = v[i]
		default:
			return nil
		}
	}
	return at
}

func isPresent(value any) bool {
	switch v := value.(type) {
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
