package command

import (
	"fmt"
	"maps"
	"slices"

	"github.com/hyssopwall/hyssopwall/internal/standin/engine"
	"github.com/hyssopwall/hyssopwall/internal/standin/fault"
	"github.com/hyssopwall/hyssopwall/internal/standin/platform"
	"github.com/hyssopwall/hyssopwall/internal/standin/service"
)

// faultsCommand lists the faults that can be injected.
type faultsCommand struct{}

// Run prints the kinds of faults of each program, one line for each step at which they
// can be injected.
func (*faultsCommand) Run(env environment) error {
	for _, program := range []struct {
		name    string
		catalog fault.Catalog
	}{
		{"platform", platform.Catalog()},
		{"engine", engine.Catalog()},
		{"service", service.Catalog()},
	} {
		for _, step := range slices.Sorted(maps.Keys(program.catalog)) {
			if _, err := fmt.Fprintln(env.out, program.name, step, program.catalog[step]); err != nil {
				return err
			}
		}
	}
	return nil
}
