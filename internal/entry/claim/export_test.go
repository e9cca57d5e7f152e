package claim

import (
	"fmt"
	"strings"
)

// Dump returns the parts of a table by which the model recognizes a state. The
// records of a key are taken to differ only in their attempt.
func (t *Table) Dump() string {
	var b strings.Builder
	fmt.Fprint(&b, t.currentView, t.minEpoch, t.joining)
	for _, r := range t.rows {
		fmt.Fprint(&b, r.record.Attempt, r.ungranted, r.stored)
	}
	return b.String()
}
