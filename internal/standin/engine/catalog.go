package engine

import (
	"slices"

	"github.com/hyssopwall/hyssopwall/internal/standin/fault"
)

// Fault kinds by where they act: before a request takes effect, in a response stream,
// and during a load of weights or of an adapter.
var (
	faultsBeforeEffect = []fault.Kind{fault.Crash, fault.DropBefore, fault.Refuse, fault.Down}
	faultsStream       = []fault.Kind{
		fault.Truncated, fault.Crossed, fault.Corrupt, fault.Doubled,
		fault.Unlabelled, fault.Slow, fault.DropAfter, fault.Crash,
	}
	faultsLoad = []fault.Kind{fault.Refuse, fault.Crash, fault.Delay}
)

// Catalog returns the fault kinds that the stand-in can inject at each step.
func Catalog() fault.Catalog {
	before := slices.Concat([]fault.Kind{fault.Delay}, faultsBeforeEffect)
	catalog := fault.Catalog{Stream: faultsStream, Import: {fault.Refuse}, Load: faultsLoad}
	for _, step := range []fault.Step{Run, State, Cache} {
		catalog[step] = before
	}
	for _, step := range []fault.Step{Cancel, Export, Command} {
		catalog[step] = slices.Concat(before, []fault.Kind{fault.DropAfter})
	}
	catalog[Command] = append(catalog[Command], fault.IgnoreFencing)
	catalog[Cache] = append(slices.Clone(before), fault.Gapped)
	return catalog
}
