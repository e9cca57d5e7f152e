package rest_test

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"testing"

	"github.com/hyssopwall/hyssopwall/internal/platform/rest"
)

// members returns the members of an object that rest.Members finds, and their names in order.
func members(raw string) (found map[string]json.RawMessage, names []string, err error) {
	found = map[string]json.RawMessage{}
	err = rest.Members([]byte(raw), func(name string, value json.RawMessage) error {
		found[name], names = value, append(names, name)
		return nil
	})
	return found, names, err
}

// elements returns the elements of an array that rest.Elements finds.
func elements(raw string) (found []string, err error) {
	err = rest.Elements([]byte(raw), func(value json.RawMessage) error {
		found = append(found, string(value))
		return nil
	})
	return found, err
}

// Guards against a list that can't be read because one of its values is nested deeply.
func TestSplitDeepValues(t *testing.T) {
	deep := strings.Repeat(`[{"a":`, 1_000_000) + "1" + strings.Repeat("}]", 1_000_000)
	found, err := elements(`[ 1 , ` + deep + `, "x]\"" ]`)
	if err != nil || !slices.Equal(found, []string{"1", deep, `"x]\""`}) {
		t.Errorf("got %d elements, %v", len(found), err)
	}
	parts, names, err := members(`{"a":` + deep + `,"b\n" : [ ], "c":-1e400}`)
	if err != nil || !slices.Equal(names, []string{"a", "b\n", "c"}) || string(parts["a"]) != deep || string(parts["c"]) != "-1e400" {
		t.Errorf("got members %q, %v", names, err)
	}
}

func TestSplitRefusesIncompleteText(t *testing.T) {
	for _, raw := range []string{
		"", "[", "]", "[1", "[1,", "[1,]", "[,1]", "[1 2]", "[1]]", `["x]`, `["x\"]`, "[1}", "[[1]", "{}", "1", "[:]",
	} {
		if found, err := elements(raw); err == nil {
			t.Errorf("%q: got elements %q", raw, found)
		}
	}
	for _, raw := range []string{"", "{", `{"a"}`, `{"a":}`, `{"a":1,}`, `{1:2}`, `{"a":1 "b":2}`, "[]", `{"a":1}x`, `{"a" 1}`} {
		if found, _, err := members(raw); err == nil {
			t.Errorf("%q: got members %q", raw, found)
		}
	}
}

// FuzzSplit compares the parts of arbitrary text with those that encoding/json finds, and
// checks that no text causes a panic.
func FuzzSplit(f *testing.F) {
	for _, seed := range []string{`[1,[2,"]"],{"a":null}]`, `{"a":[1,2],"b":{"c":"}"},"":true}`, `null`, `[}`, `"\`, `{"a`, `[[]]x`} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, raw string) {
		list, listErr := elements(raw)
		object, names, objectErr := members(raw)
		if !json.Valid([]byte(raw)) {
			return
		}
		var wantList []json.RawMessage
		if json.Unmarshal([]byte(raw), &wantList) == nil && strings.TrimSpace(raw) == raw {
			if listErr != nil || !slices.EqualFunc(list, wantList, func(a string, b json.RawMessage) bool { return a == string(b) }) {
				t.Fatalf("%q: got elements %q, %v", raw, list, listErr)
			}
		}
		var wantObject map[string]json.RawMessage
		if json.Unmarshal([]byte(raw), &wantObject) == nil && wantObject != nil {
			if objectErr != nil || !maps.EqualFunc(object, wantObject, func(a, b json.RawMessage) bool { return string(a) == string(b) }) {
				t.Fatalf("%q: got members %q, %v", raw, names, objectErr)
			}
		}
	})
}
