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

// Change is one field that differs between two documents. Field is a path of
// names; a member of a list is called by its name, where all members have one,
// and by its place otherwise. From is empty for a field that is new, and To
// for one that is gone.
type Change struct {
	Field string          `json:"field"`
	From  json.RawMessage `json:"from,omitempty"`
	To    json.RawMessage `json:"to,omitempty"`
}

// Diff returns the fields in which two documents differ, ordered by path. A
// whole member that comes or goes is one change. Comments and the order of
// named members are no difference. An empty body is an empty document.
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
	return compare(changes, "", a, b)
}

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

// compare appends the changes below a path.
func compare(changes []Change, path string, a, b any) ([]Change, error) {
	if reflect.DeepEqual(a, b) {
		return changes, nil
	}
	left, ok := members(a)
	right, also := members(b)
	if !ok || !also {
		return change(changes, path, a, b)
	}
	names := slices.Collect(maps.Keys(left))
	for name := range right {
		if _, both := left[name]; !both {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, compareNames)
	for _, name := range names {
		var err error
		at := path + "/" + escape(name)
		x, had := left[name]
		y, has := right[name]
		switch {
		case had && has:
			changes, err = compare(changes, at, x, y)
		case had:
			changes, err = change(changes, at, x, nil)
		default:
			changes, err = change(changes, at, nil, y)
		}
		if err != nil {
			return nil, err
		}
	}
	return changes, nil
}

// compareNames orders places in a list by number and other names by letters.
func compareNames(a, b string) int {
	x, errX := strconv.Atoi(a)
	y, errY := strconv.Atoi(b)
	if errX == nil && errY == nil {
		return x - y
	}
	return strings.Compare(a, b)
}

func escape(name string) string {
	return strings.NewReplacer("~", "~0", "/", "~1").Replace(name)
}

func change(changes []Change, path string, a, b any) ([]Change, error) {
	one := Change{Field: path}
	var err error
	if a != nil {
		if one.From, err = json.Marshal(a); err != nil {
			return nil, err
		}
	}
	if b != nil {
		if one.To, err = json.Marshal(b); err != nil {
			return nil, err
		}
	}
	return append(changes, one), nil
}

// members returns the members of an object or a list by name.
func members(value any) (map[string]any, bool) {
	switch value := value.(type) {
	case map[string]any:
		return value, true
	case []any:
		return listed(value), true
	default:
		return nil, false
	}
}

func listed(list []any) map[string]any {
	byName := make(map[string]any, len(list))
	for _, member := range list {
		object, _ := member.(map[string]any)
		name, _ := object["name"].(string)
		if _, twice := byName[name]; name == "" || twice {
			return placed(list)
		}
		byName[name] = member
	}
	return byName
}

func placed(list []any) map[string]any {
	byPlace := make(map[string]any, len(list))
	for i, member := range list {
		byPlace[strconv.Itoa(i)] = member
	}
	return byPlace
}
