package event

import (
	"fmt"
	"strings"
)

// Page returns the catalog as a Markdown document, the contents of docs/EVENTS.md.
func Page() string {
	var page strings.Builder
	page.WriteString("# Events\n\nThe numbered events that hyssopwall logs. This page is generated from the catalog in\n" +
		"internal/site/event; `hyssopwall events` prints the same table. No event contains a\nkey, a prompt or the text of an answer.\n\n" +
		"| Event | Severity | Text | Cause | What to do |\n|---|---|---|---|---|\n")
	escapeCell := strings.NewReplacer("|", "\\|", "\n", " ")
	for _, e := range Catalog() {
		fmt.Fprintf(&page, "| %s | %s | %s | %s | %s |\n", e.Number, e.Severity,
			escapeCell.Replace(e.Text), escapeCell.Replace(e.Cause), escapeCell.Replace(e.Action))
	}
	return page.String()
}
