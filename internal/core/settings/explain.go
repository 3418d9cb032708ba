package settings

import "github.com/juju/errors"

// Origin is the origin of one effective value.
type Origin struct {
	Field string `json:"field"`
	Value string `json:"value"`
	Node  string `json:"node"` // path of the node that sets it; the root is empty
	From  string `json:"from"` // "defaults", "class", "limits" (a cap of the node) or "built_in"
}

// Explain returns the origin of each effective value of a class of an organisation, in the order of the fields. It returns
// nil if there is no such organisation or class.
func (t *Tree) Explain(organisation, className string) []Origin {
	effective, err := t.Class(organisation, className)
	if err != nil {
		return nil
	}
	origins := make([]Origin, len(fields))
	for i, f := range fields {
		origins[i] = Origin{Field: f.name, Value: f.format(&effective), From: "built_in"}
	}
	for _, path := range lineage(organisation) {
		n, _ := t.nodes.get(path)
		own, ok := n.spec.Classes[className]
		for i, f := range fields {
			if n.spec.Defaults != nil && f.isSet(n.spec.Defaults) {
				origins[i].Node, origins[i].From = path, "defaults"
			}
			if ok && f.isSet(&own) {
				origins[i].Node, origins[i].From = path, "class"
			}
		}
	}
	t.explainCaps(organisation, effective, origins)
	return origins
}

// explainCaps sets the origin of each limit that a node's cap lowers below the value set for the class.
func (t *Tree) explainCaps(organisation string, effective Class, origins []Origin) {
	for i, f := range fields {
		if f.lockName() != "limits" {
			continue
		}
		uncapped, err := t.uncappedLimit(organisation, effective.Name, f)
		if err == nil && uncapped == origins[i].Value {
			continue
		}
		for _, bound := range t.Caps(organisation) {
			if f.format(&Class{Limits: bound.Limits}) == origins[i].Value {
				origins[i].Node, origins[i].From = bound.Node, "limits"
				break
			}
		}
	}
}

// uncappedLimit returns the value of a limit before caps apply.
func (t *Tree) uncappedLimit(organisation, className string, f field) (string, error) {
	c := Class{}
	for _, path := range lineage(organisation) {
		n, ok := t.nodes.get(path)
		if !ok {
			return "", errors.NotFoundf("organisation %q", path)
		}
		if n.spec.Defaults != nil && f.isSet(n.spec.Defaults) {
			f.apply(&c, n.spec.Defaults)
		}
		if own, ok := n.spec.Classes[className]; ok && f.isSet(&own) {
			f.apply(&c, &own)
		}
	}
	return f.format(&c), nil
}

// lineage returns the paths from the root down to path.
func lineage(path string) []string {
	list := []string{""}
	for i := range path {
		if path[i] == '/' {
			list = append(list, path[:i])
		}
	}
	if path != "" {
		list = append(list, path)
	}
	return list
}
