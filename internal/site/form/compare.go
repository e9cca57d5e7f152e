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

// checkTypes compares the parsed file with the type T and reports every unknown or
// duplicate field of a struct and every value that T can't hold. Duplicate keys of maps
// are not reported. Null is accepted only for a string, number or boolean, and leaves the
// zero value.
func checkTypes[T any](report *Report) {
	checkValue(report, "", &report.root, reflect.TypeFor[T]())
}

// checkValue checks the value at pointer against the type target.
func checkValue(report *Report, pointer string, value *hujson.Value, target reflect.Type) {
	if reflect.PointerTo(target).Implements(reflect.TypeFor[encoding.TextUnmarshaler]()) {
		checkText(report, pointer, value, target)
		return
	}
	switch target.Kind() {
	case reflect.Pointer:
		checkValue(report, pointer, value, target.Elem())
	case reflect.Struct:
		checkStruct(report, pointer, value, target)
	case reflect.Slice:
		checkSlice(report, pointer, value, target)
	case reflect.Map:
		checkMap(report, pointer, value, target)
	default:
		checkLiteral(report, pointer, value, target)
	}
}

// checkText checks a value whose type implements encoding.TextUnmarshaler.
func checkText(report *Report, pointer string, value *hujson.Value, target reflect.Type) {
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

func checkStruct(report *Report, pointer string, value *hujson.Value, target reflect.Type) {
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
			report.Add(at, "is not a known field", suggestFix(name, fields))
		case seen[name]:
			report.Add(at, "appears twice", "remove one")
		default:
			checkValue(report, at, &member.Value, field)
		}
		seen[name] = true
	}
}

func checkSlice(report *Report, pointer string, value *hujson.Value, target reflect.Type) {
	array, ok := value.Value.(*hujson.Array)
	if !ok {
		report.Add(pointer, "is not a list", "write [ ... ]")
		return
	}
	for i := range array.Elements {
		checkValue(report, pointer+"/"+strconv.Itoa(i), &array.Elements[i], target.Elem())
	}
}

func checkMap(report *Report, pointer string, value *hujson.Value, target reflect.Type) {
	object, ok := value.Value.(*hujson.Object)
	if !ok {
		report.Add(pointer, "is not an object", "write { ... }")
		return
	}
	for i := range object.Members {
		member := &object.Members[i]
		checkValue(report, pointer+"/"+escape(memberName(member)), &member.Value, target.Elem())
	}
}

// checkLiteral checks that a value can be decoded into a type without members.
func checkLiteral(report *Report, pointer string, value *hujson.Value, target reflect.Type) {
	raw := value.Clone()
	raw.Standardize()
	if err := json.Unmarshal(raw.Pack(), reflect.New(target).Interface()); err != nil {
		report.Add(pointer, "is not a "+kindName(target.Kind()), "correct the value")
	}
}

// kindName returns the name of a JSON type for a message.
func kindName(kind reflect.Kind) string {
	switch kind {
	case reflect.String:
		return "string"
	case reflect.Bool:
		return "boolean"
	case reflect.Float32, reflect.Float64:
		return "number"
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		return "non-negative whole number"
	default:
		return "whole number"
	}
}

// memberName returns the key of an object member.
func memberName(member *hujson.ObjectMember) string {
	literal, _ := member.Name.Value.(hujson.Literal)
	return literal.String()
}

// fieldsOf returns the types of a struct's fields by the JSON names in their tags. It
// leaves out fields without such a name, embedded structs included.
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

// suggestFix suggests a known field that equals name except for case, or that begins with
// name or is its beginning. If several do, it suggests any of them; if none does, it lists
// all known fields.
func suggestFix(name string, fields map[string]reflect.Type) string {
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

// escape escapes a name for a JSON pointer.
func escape(name string) string {
	return strings.NewReplacer("~", "~0", "/", "~1").Replace(name)
}
