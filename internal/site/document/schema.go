package document

import (
	"encoding/json"
	"reflect"

	"github.com/invopop/jsonschema"

	"github.com/hyssopwall/hyssopwall/internal/site/form"
)

// durationPattern matches durations such as "90s" or "1h30m".
const durationPattern = `^([0-9]+(\.[0-9]+)?(ns|us|µs|ms|s|m|h))+$|^0$`

// Schema returns the JSON Schema of a document, for forms and editors. It covers
// constraints on single fields; only Decode checks references between fields.
func Schema() ([]byte, error) {
	reflector := jsonschema.Reflector{Mapper: mapType}
	schema := reflector.Reflect(&Document{})
	schema.ID = ""
	schema.Title = "hyssopwall document"
	data, err := json.MarshalIndent(schema, "", "  ")
	if err != nil {
		return nil, err
	}
	return append(data, '\n'), nil
}

// mapType returns the schema of types that are encoded as strings, or nil for the
// default schema.
func mapType(t reflect.Type) *jsonschema.Schema {
	if t == reflect.TypeFor[form.Duration]() {
		return &jsonschema.Schema{Type: "string", Pattern: durationPattern}
	}
	return nil
}
