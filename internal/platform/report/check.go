package report

import "github.com/hyssopwall/hyssopwall/internal/fleet/wire"

// Check returns a *wire.FieldError for a report without an ID, with a window that doesn't
// end after its start, or with a line without a workspace.
func (r Report) Check() error {
	switch {
	case r.ID == "":
		return &wire.FieldError{Type: "report.Report", Field: "ID", Reason: "is empty"}
	case !r.End.After(r.Start):
		return &wire.FieldError{Type: "report.Report", Field: "End", Reason: "is not after Start"}
	}
	for _, line := range r.Lines {
		if line.Workspace == "" {
			return &wire.FieldError{Type: "report.Report", Field: "Lines.Workspace", Reason: "is empty"}
		}
	}
	return nil
}
