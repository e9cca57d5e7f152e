package claim

import (
	"fmt"
	"strings"
)

// Dump returns a text that is equal for tables that behave alike in the model,
// where the records of a key differ only in their attempt.
func (t *Table) Dump() string {
	var b strings.Builder
	fmt.Fprint(&b, t.currentView, t.minEpoch, t.joining)
	for _, r := range t.rows {
		fmt.Fprint(&b, r.record.Attempt, r.ungranted, r.stored)
	}
	return b.String()
}
