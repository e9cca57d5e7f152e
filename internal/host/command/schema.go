package command

import "github.com/hyssopwall/hyssopwall/internal/site/document"

type schemaCommand struct{}

// Run prints the schema.
func (schemaCommand) Run(streams Streams) error {
	schema, err := document.Schema()
	if err != nil {
		return err
	}
	_, err = streams.Out.Write(schema)
	return err
}
