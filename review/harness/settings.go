package main

import (
	"encoding/json"
	"fmt"
	"regexp"
	"strconv"
	"strings"
)

// fields are the settings that the platform fills into a template.
type fields map[string]any

var (
	sectionTag = regexp.MustCompile(`\{\{([#^])([A-Za-z0-9_.]+)\}\}`)
	valueTag   = regexp.MustCompile(`\{\{([A-Za-z0-9_.]+)(\|json)?\}\}`)
)

// render fills in the part of the template language that the templates in deploy use: values, values as JSON, and sections that are
// present or absent.
func render(template string, f fields) (string, error) {
	for {
		at := sectionTag.FindStringSubmatchIndex(template)
		if at == nil {
			break
		}
		kind, name := template[at[2]:at[3]], template[at[4]:at[5]]
		end := "{{/" + name + "}}"
		length := strings.Index(template[at[1]:], end)
		if length < 0 {
			return "", fmt.Errorf("template: section %s has no end", name)
		}
		inner := ""
		if f.isPresent(name) == (kind == "#") {
			inner = template[at[1] : at[1]+length]
		}
		template = template[:at[0]] + inner + template[at[1]+length+len(end):]
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
	return out, failed
}

// get returns the value of a name with dots.
func (f fields) get(name string) any {
	var at any = f
	for _, part := range strings.Split(name, ".") {
		switch v := at.(type) {
		case fields:
			at = v[part]
		case []any:
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

func (f fields) isPresent(name string) bool {
	switch v := f.get(name).(type) {
	case nil:
		return false
	case bool:
		return v
	default:
		return true
	}
}

func (f fields) format(name string, asJSON bool) (string, error) {
	v := f.get(name)
	if !asJSON {
		if v == nil {
			return "", nil
		}
		return fmt.Sprint(v), nil
	}
	data, err := json.Marshal(v)
	return string(data), err
}
