package command

import "github.com/hyssopwall/hyssopwall/internal/site/document"

// schemaCommand is "schema".
type schemaCommand struct{}

// Run prints the JSON Schema of the document.
func (schemaCommand) Run(streams Streams) error {
	schema, err := document.Schema()
	if err != nil {
		return err
	}
	_, err = streams.Out.Write(schema)
	return err
}
