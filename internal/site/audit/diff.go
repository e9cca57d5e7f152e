package audit

import (
	"encoding/json"
	"maps"
	"reflect"
	"slices"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

// Change is one field that differs between two documents. Field is a JSON pointer
// (RFC 6901), except that an element of a list is identified by its "name" if all
// elements have distinct ones, and by its index otherwise. From is empty for an added
// field, and To for a removed one.
type Change struct {
	Field string          `json:"field"`
	From  json.RawMessage `json:"from,omitempty"`
	To    json.RawMessage `json:"to,omitempty"`
}

// Diff returns the fields in which two documents differ, ordered by path, or an empty
// list that is not nil. An added or removed object or list is one change. Comments and the
// order of named list elements are ignored. An empty body is an empty document.
func Diff(from, to []byte) ([]Change, error) {
	a, err := parse(from)
	if err != nil {
		return nil, err
	}
	b, err := parse(to)
	if err != nil {
		return nil, err
	}
	changes := []Change{}
	return appendChanges(changes, "", a, b)
}

// parse decodes HuJSON.
func parse(body []byte) (any, error) {
	if len(body) == 0 {
		return map[string]any{}, nil
	}
	standard, err := hujson.Standardize(slices.Clone(body))
	if err != nil {
		return nil, err
	}
	var value any
	err = json.Unmarshal(standard, &value)
	return value, err
}

// appendChanges appends the changes from a to b, which are the values at path.
func appendChanges(changes []Change, path string, a, b any) ([]Change, error) {
	if reflect.DeepEqual(a, b) {
		return changes, nil
	}
	left, okLeft := members(a)
	right, okRight := members(b)
	if !okLeft || !okRight {
		return appendChange(changes, path, a, b)
	}
	names := slices.Collect(maps.Keys(left))
	for name := range right {
		if _, ok := left[name]; !ok {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, compareNames)
	for _, name := range names {
		var err error
		field := path + "/" + escape(name)
		x, inLeft := left[name]
		y, inRight := right[name]
		switch {
		case inLeft && inRight:
			changes, err = appendChanges(changes, field, x, y)
		case inLeft:
			changes, err = appendChange(changes, field, x, nil)
		default:
			changes, err = appendChange(changes, field, nil, y)
		}
		if err != nil {
			return nil, err
		}
	}
	return changes, nil
}

// compareNames orders list indexes numerically and other names alphabetically.
func compareNames(a, b string) int {
	x, errX := strconv.Atoi(a)
	y, errY := strconv.Atoi(b)
	if errX == nil && errY == nil {
		return x - y
	}
	return strings.Compare(a, b)
}

// escape escapes a name for a JSON pointer.
func escape(name string) string {
	return strings.NewReplacer("~", "~0", "/", "~1").Replace(name)
}

// appendChange appends one change from a to b; nil stands for an absent value.
func appendChange(changes []Change, path string, a, b any) ([]Change, error) {
	c := Change{Field: path}
	var err error
	if a != nil {
		if c.From, err = json.Marshal(a); err != nil {
			return nil, err
		}
	}
	if b != nil {
		if c.To, err = json.Marshal(b); err != nil {
			return nil, err
		}
	}
	return append(changes, c), nil
}

// members returns the members of an object by name or the elements of a list by name or
// index. It reports false for other values.
func members(value any) (map[string]any, bool) {
	switch value := value.(type) {
	case map[string]any:
		return value, true
	case []any:
		return elementsByName(value), true
	default:
		return nil, false
	}
}

// elementsByName returns the elements of a list by their "name", or by index unless all
// have distinct names.
func elementsByName(list []any) map[string]any {
	byName := make(map[string]any, len(list))
	for _, member := range list {
		object, _ := member.(map[string]any)
		name, _ := object["name"].(string)
		if _, duplicate := byName[name]; name == "" || duplicate {
			return elementsByIndex(list)
		}
		byName[name] = member
	}
	return byName
}

// elementsByIndex returns the elements of a list by index.
func elementsByIndex(list []any) map[string]any {
	byIndex := make(map[string]any, len(list))
	for i, member := range list {
		byIndex[strconv.Itoa(i)] = member
	}
	return byIndex
}
