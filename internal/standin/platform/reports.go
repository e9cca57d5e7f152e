package platform

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"

	"github.com/hyssopwall/hyssopwall/internal/platform/report"
	"github.com/hyssopwall/hyssopwall/internal/platform/rest"
)

type reportState struct {
	all    []report.Report
	byID   map[string]report.Report
	faults []string
}

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
	if reason := p.reports.take(sent); reason != "" {
		return refuse(http.StatusConflict, rest.Problem{Code: "report", Message: reason})
	}
	return ok(rest.None{})
}

// take records a report, and returns why it breaks a rule.
func (s *reportState) take(sent report.Report) string {
	s.all = append(s.all, sent)
	if known, repeat := s.byID[sent.ID]; repeat {
		if sameFigures(known, sent) {
			return ""
		}
		return s.broken("report %s came with different figures", sent.ID)
	}
	for id, other := range s.byID {
		if sent.Start.Before(other.End) && other.Start.Before(sent.End) {
			return s.broken("window of report %s overlaps that of %s", sent.ID, id)
		}
	}
	if s.byID == nil {
		s.byID = make(map[string]report.Report)
	}
	s.byID[sent.ID] = sent
	return ""
}

func (s *reportState) broken(format string, args ...any) string {
	reason := fmt.Sprintf(format, args...)
	s.faults = append(s.faults, reason)
	return reason
}

func sameFigures(a, b report.Report) bool {
	return a.Start.Equal(b.Start) && a.End.Equal(b.End) && slices.Equal(a.Lines, b.Lines)
}

// Reports returns every report that came, repeats and refused ones included.
func (p *Platform) Reports() []report.Report {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.reports.all)
}

// ReportViolations says which reports broke a rule: the same ID or an overlapping
// window with different figures.
func (p *Platform) ReportViolations() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.reports.faults)
}
