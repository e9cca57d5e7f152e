package rest_test

import (
	"bytes"
	"encoding/json"
	"net"
	"reflect"
	"testing"

	"github.com/hyssopwall/hyssopwall/internal/platform/rest"
)

// readParts reads a JSON object that arrived in parts. It returns false if it is none.
func readParts(parts net.Buffers) (map[string]any, bool) {
	reader := rest.Parts{Unread: parts}
	got := map[string]any{}
	err := reader.Members(func(name string) error {
		text, err := reader.Value()
		if err != nil {
			return err
		}
		var value any
		if err := json.Unmarshal(text, &value); err != nil {
			return err
		}
		got[name] = value
		return nil
	})
	return got, err == nil && reader.End() == nil
}

// FuzzParts compares the reading of a text in parts with that of the whole text.
func FuzzParts(f *testing.F) {
	for _, text := range []string{
		`{}`, `{"a":1}`, ` { "a" : [ 1 , "x" , null ] , "b\\\"" : {"c":"\\u0041]"} } `, `{"a":[1 2]}`, `{"a":1 2}`, `{"a"}`, `{"a":}`,
		`{"a":[}`, `{"a":]}`, `[1]`, `{"a":1}x`, `{"a":"`, `{"a":"\\`, `{"a":1,}`, `{,}`, `{"a":1,"a":[true,false]}`, `{"a":tru e}`, `{"a":-0.5e3}`, ``, `null`,
	} {
		f.Add([]byte(text), uint16(3), uint16(7))
	}
	f.Fuzz(func(t *testing.T, raw []byte, first, second uint16) {
		var want map[string]any
		valid := json.Unmarshal(raw, &want) == nil && bytes.HasPrefix(bytes.TrimSpace(raw), []byte("{"))
		at := min(int(first), len(raw))
		next := min(at+int(second), len(raw))
		got, ok := readParts(net.Buffers{bytes.Clone(raw[:at]), nil, bytes.Clone(raw[at:next]), bytes.Clone(raw[next:])})
		if ok != valid {
			t.Fatalf("%q: read %t, want %t", raw, ok, valid)
		}
		if ok && !reflect.DeepEqual(got, want) {
			t.Fatalf("%q: got %v, want %v", raw, got, want)
		}
	})
}
