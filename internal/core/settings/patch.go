package settings

import (
	"encoding/json"

	"github.com/juju/errors"
)

// mergePatch returns node after an RFC 7396 merge patch: null removes, objects merge, all else replaces.
func mergePatch(node Node, patch []byte) ([]byte, error) {
	data, err := json.Marshal(node)
	if err != nil {
		return nil, err
	}
	var target, change any
	if err := json.Unmarshal(data, &target); err != nil {
		return nil, err
	}
	if err := json.Unmarshal(patch, &change); err != nil {
		return nil, err
	}
	if _, ok := change.(map[string]any); !ok {
		return nil, errors.NotValidf("a patch that is not an object")
	}
	return json.Marshal(merge(target, change))
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
