package event

import (
	"fmt"
	"strings"
)

// Page returns the catalog as a page of Markdown.
func Page() string {
	var page strings.Builder
	page.WriteString("# Events\n\nThe numbered events that hyssopwall logs. This page is generated from the catalog in\n" +
		"internal/site/event; `hyssopwall events` shows the same. No event carries a key, a\nprompt or the text of an answer.\n\n" +
		"| Event | Severity | Text | Cause | What to do |\n|---|---|---|---|---|\n")
	cell := strings.NewReplacer("|", "\\|", "\n", " ")
	for _, e := range Catalog() {
		fmt.Fprintf(&page, "| %s | %s | %s | %s | %s |\n", e.Number, e.Severity,
			cell.Replace(e.Text), cell.Replace(e.Cause), cell.Replace(e.Action))
	}
	return page.String()
}
