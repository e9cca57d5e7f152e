package platform

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"

	"github.com/hyssopwall/hyssopwall/internal/platform/report"
	"github.com/hyssopwall/hyssopwall/internal/platform/rest"
)

// reportState holds the usage reports and the violations found among them.
type reportState struct {
	all        []report.Report          // including repeats and refused ones
	byID       map[string]report.Report // accepted ones
	violations []string
}

// report accepts a usage report, or refuses it if it breaks a rule.
func (p *Platform) report(r *http.Request) reply {
	var sent report.Report
	if err := json.NewDecoder(r.Body).Decode(&sent); err != nil {
		return malformed(err)
	}
	if err := sent.Check(); err != nil {
		return malformed(err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if reason := p.reports.record(sent); reason != "" {
		return refuse(http.StatusConflict, rest.Problem{Code: "report", Message: reason})
	}
	return ok(rest.None{})
}

// record stores a report. It returns a description of the rule that the report breaks, or
// "" if it breaks none.
func (s *reportState) record(sent report.Report) string {
	s.all = append(s.all, sent)
	if known, repeat := s.byID[sent.ID]; repeat {
		if sameFigures(known, sent) {
			return ""
		}
		return s.violation("report %s came with different figures", sent.ID)
	}
	for id, other := range s.byID {
		if sent.Start.Before(other.End) && other.Start.Before(sent.End) {
			return s.violation("window of report %s overlaps that of %s", sent.ID, id)
		}
	}
	if s.byID == nil {
		s.byID = make(map[string]report.Report)
	}
	s.byID[sent.ID] = sent
	return ""
}

// violation records a broken rule and returns its description.
func (s *reportState) violation(format string, args ...any) string {
	reason := fmt.Sprintf(format, args...)
	s.violations = append(s.violations, reason)
	return reason
}

// sameFigures reports whether two reports have the same window and lines.
func sameFigures(a, b report.Report) bool {
	return a.Start.Equal(b.Start) && a.End.Equal(b.End) && slices.Equal(a.Lines, b.Lines)
}

// Reports returns all well-formed reports received, including repeats and refused ones.
func (p *Platform) Reports() []report.Report {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.reports.all)
}

// ReportViolations describes the reports that broke a rule: other figures under a known
// ID, or a window that overlaps that of another ID.
func (p *Platform) ReportViolations() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.reports.violations)
}
