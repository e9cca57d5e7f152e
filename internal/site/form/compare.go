package form

import (
	"encoding"
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

// compare walks the file beside the Go type and reports every unknown field
// and every value whose type does not fit.
func compare[T any](report *Report) {
	compareValue(report, "", &report.root, reflect.TypeFor[T]())
}

func compareValue(report *Report, pointer string, value *hujson.Value, target reflect.Type) {
	if reflect.PointerTo(target).Implements(reflect.TypeFor[encoding.TextUnmarshaler]()) {
		compareText(report, pointer, value, target)
		return
	}
	switch target.Kind() {
	case reflect.Pointer:
		compareValue(report, pointer, value, target.Elem())
	case reflect.Struct:
		compareStruct(report, pointer, value, target)
	case reflect.Slice:
		compareSlice(report, pointer, value, target)
	case reflect.Map:
		compareMap(report, pointer, value, target)
	default:
		compareLiteral(report, pointer, value, target)
	}
}

func compareText(report *Report, pointer string, value *hujson.Value, target reflect.Type) {
	literal, ok := value.Value.(hujson.Literal)
	if !ok || literal.Kind() != '"' {
		report.Add(pointer, "is not a string", "write a string such as \"10s\"")
		return
	}
	parsed, ok := reflect.New(target).Interface().(encoding.TextUnmarshaler)
	if !ok {
		return
	}
	if err := parsed.UnmarshalText([]byte(literal.String())); err != nil {
		report.Add(pointer, err.Error(), "write a string such as \"10s\"")
	}
}

func compareStruct(report *Report, pointer string, value *hujson.Value, target reflect.Type) {
	object, ok := value.Value.(*hujson.Object)
	if !ok {
		report.Add(pointer, "is not an object", "write { ... }")
		return
	}
	fields := fieldsOf(target)
	seen := make(map[string]bool, len(object.Members))
	for i := range object.Members {
		member := &object.Members[i]
		name := memberName(member)
		at := pointer + "/" + escape(name)
		field, known := fields[name]
		switch {
		case !known:
			report.Add(at, "is not a known field", suggestion(name, fields))
		case seen[name]:
			report.Add(at, "stands twice", "remove one")
		default:
			compareValue(report, at, &member.Value, field)
		}
		seen[name] = true
	}
}

func compareSlice(report *Report, pointer string, value *hujson.Value, target reflect.Type) {
	array, ok := value.Value.(*hujson.Array)
	if !ok {
		report.Add(pointer, "is not a list", "write [ ... ]")
		return
	}
	for i := range array.Elements {
		compareValue(report, pointer+"/"+strconv.Itoa(i), &array.Elements[i], target.Elem())
	}
}

func compareMap(report *Report, pointer string, value *hujson.Value, target reflect.Type) {
	object, ok := value.Value.(*hujson.Object)
	if !ok {
		report.Add(pointer, "is not an object", "write { ... }")
		return
	}
	for i := range object.Members {
		member := &object.Members[i]
		compareValue(report, pointer+"/"+escape(memberName(member)), &member.Value, target.Elem())
	}
}

func compareLiteral(report *Report, pointer string, value *hujson.Value, target reflect.Type) {
	raw := value.Clone()
	raw.Standardize()
	if err := json.Unmarshal(raw.Pack(), reflect.New(target).Interface()); err != nil {
		report.Add(pointer, "is not a "+kindName(target.Kind()), "correct the value")
	}
}

func kindName(kind reflect.Kind) string {
	switch kind {
	case reflect.String:
		return "string"
	case reflect.Bool:
		return "boolean"
	case reflect.Float32, reflect.Float64:
		return "number"
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		return "whole number of zero or more"
	default:
		return "whole number"
	}
}

func memberName(member *hujson.ObjectMember) string {
	literal, _ := member.Name.Value.(hujson.Literal)
	return literal.String()
}

func fieldsOf(target reflect.Type) map[string]reflect.Type {
	fields := make(map[string]reflect.Type, target.NumField())
	for field := range target.Fields() {
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		if name != "" && name != "-" {
			fields[name] = field.Type
		}
	}
	return fields
}

func suggestion(name string, fields map[string]reflect.Type) string {
	known := make([]string, 0, len(fields))
	for field := range fields {
		if strings.EqualFold(field, name) || strings.HasPrefix(field, name) || strings.HasPrefix(name, field) {
			return fmt.Sprintf("write %q", field)
		}
		known = append(known, field)
	}
	slices.Sort(known)
	return "use one of " + strings.Join(known, ", ")
}

func escape(name string) string {
	return strings.NewReplacer("~", "~0", "/", "~1").Replace(name)
}
