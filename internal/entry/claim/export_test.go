package claim

import (
	"fmt"
	"strings"
)

// Dump returns everything that decides a table's future, but for its rows'
// bodies.
func (t *Table) Dump() string {
	var b strings.Builder
	fmt.Fprint(&b, t.current, t.floor, t.joining)
	for _, r := range t.rows {
		fmt.Fprint(&b, r.record.Attempt, r.own, r.stored)
	}
	return b.String()
}
