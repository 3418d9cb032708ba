package settings

import (
	"encoding/json"

	"github.com/juju/errors"
	"github.com/tailscale/hujson"

	"github.com/guavastack/guavastack/internal/core/strict"
)

// mergePatch returns node after an RFC 7396 merge patch: null removes, objects merge, all else replaces.
func mergePatch(node Node, patch string) (string, error) {
	data, err := json.Marshal(node)
	if err != nil {
		return "", err
	}
	if problems := strict.CheckNesting(patch); len(problems) > 0 {
		return "", problems
	}
	plain, err := hujson.Standardize([]byte(patch))
	if err != nil {
		return "", err
	}
	var target, change any
	if err := json.Unmarshal(data, &target); err != nil {
		return "", err
	}
	if err := json.Unmarshal(plain, &change); err != nil {
		return "", err
	}
	if _, ok := change.(map[string]any); !ok {
		return "", errors.NotValidf("a patch that is not an object")
	}
	merged, err := json.Marshal(merge(target, change))
	return string(merged), err
}

func merge(target, patch any) any {
	changes, ok := patch.(map[string]any)
	if !ok {
		return patch
	}
	object, ok := target.(map[string]any)
	if !ok {
		object = make(map[string]any)
	}
	for name, v := range changes {
		if v == nil {
			delete(object, name)
			continue
		}
		object[name] = merge(object[name], v)
	}
	return object
}
