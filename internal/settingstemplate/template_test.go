package settingstemplate

import "testing"

func TestRender(t *testing.T) {
	f := Fields{
		"a": 1, "b": Fields{"c": "x", "d": []int{5, 6}}, "yes": true, "no": false, "list": []string{"p", "q"},
		"table": map[string]string{"y": "2", "x": "1"}, "one": map[string]string{"z": "3"}, "empty": map[string]string{},
	}
	for template, want := range map[string]string{
		"{{a}} {{b.c}} {{b.c|json}} {{b.d.1}}":         `1 x "x" 6`,
		"{{list|json}}{{none}}":                        `["p","q"]`,
		"{{#yes}}1{{/yes}}{{#no}}2{{/no}}":             "1",
		"{{^yes}}1{{/yes}}{{^no}}2{{/no}}":             "2",
		"{{#b.c}}<{{b.c}}>{{/b.c}}{{^none}}3{{/none}}": "<x>3",
		"{{#b}}{{#b.c}}in{{/b.c}}{{/b}}":               "in",
		`[{{#table}}"{{@}}"{{,}}{{/table}}]`:           `["x","y"]`,
		`[{{#one}}"{{@}}"{{,}}{{/one}}]`:               `["z"]`,
		"[{{#empty}}{{@}}{{,}}{{/empty}}]":             "[]",
		"{{^empty}}4{{/empty}}{{^table}}5{{/table}}":   "4",
	} {
		if got, err := Render(template, f); err != nil || got != want {
			t.Errorf("%s: %q, %v; want %q", template, got, err, want)
		}
	}
	if _, err := Render("{{#a}}", f); err == nil {
		t.Error("a section without an end is taken")
	}
}
