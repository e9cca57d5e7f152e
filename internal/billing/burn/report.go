package burn

import (
	"cmp"
	"slices"
	"time"
)

// The burn rates at which a pair of windows raises an alarm.
const (
	FastBurnThreshold = 7.2 // of 5m and 1h: a tenth of the 3d budget in an hour
	SlowBurnThreshold = 1.0 // of 6h and 3d: the complete budget in 3d
)

// Alarm is the urgency with which an operator has to look at an objective.
type Alarm string

// The alarms, the least urgent first.
const (
	NoAlarm   Alarm = ""
	SlowAlarm Alarm = "slow" // during the working day
	FastAlarm Alarm = "fast" // immediately
)

// Rate is the burn rate of one window with its numbers of events.
type Rate struct {
	Window string  `json:"window"`
	Burn   float64 `json:"burn"`
	Good   uint64  `json:"good"`
	Bad    uint64  `json:"bad"`
}

// Point is the burn rate of one bucket, for plots.
type Point struct {
	At   time.Time `json:"at"` // start of the bucket
	Burn float64   `json:"burn"`
	Good uint64    `json:"good"`
	Bad  uint64    `json:"bad"`
}

// Quantiles are the quantiles of the durations of the last hour in seconds. Count
// is the number of durations.
type Quantiles struct {
	Count  uint64  `json:"count"`
	Median float64 `json:"p50"`
	P95    float64 `json:"p95"`
	P99    float64 `json:"p99"`
}

// Line holds the figures of one objective of one workspace. Left is the share of
// the budget of the longest window that is left, negative when overspent. Times is
// nil for objectives without durations.
type Line struct {
	Route   string     `json:"route,omitempty"` // empty for all
	Measure string     `json:"measure"`
	Target  float64    `json:"target"`
	Within  string     `json:"within,omitempty"`
	Left    float64    `json:"left"`
	Alarm   Alarm      `json:"alarm,omitempty"`
	Rates   []Rate     `json:"rates"`
	Times   *Quantiles `json:"times,omitempty"`
	Minutes []Point    `json:"minutes,omitempty"` // of the last hour
	Hours   []Point    `json:"hours,omitempty"`   // of the last three days
}

// Workspace holds the lines of one workspace, the worst first (rule 6).
type Workspace struct {
	Workspace string `json:"workspace"`
	Lines     []Line `json:"lines"`
}

// Report holds the figures of all workspaces, the worst-served first (rule 6).
// Dropped is the sum of Recorder.Dropped of the hosts.
type Report struct {
	At         time.Time   `json:"at"`
	Hosts      []string    `json:"hosts"`
	Dropped    uint64      `json:"dropped,omitempty"`
	Workspaces []Workspace `json:"workspaces"`
}

// Report returns the merged figures of all added hosts.
func (m *Merged) Report(now time.Time) Report {
	return reportOf(m.series, now, slices.Clone(m.hosts), m.dropped)
}

// Report returns the figures of this host.
func (r *Recorder) Report(now time.Time, host string) Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	return reportOf(r.series, now, []string{host}, r.dropped)
}

// WithoutPoints returns a copy of the report without the points for plots.
func (r Report) WithoutPoints() Report {
	short := r
	short.Workspaces = slices.Clone(r.Workspaces)
	for i := range short.Workspaces {
		lines := slices.Clone(short.Workspaces[i].Lines)
		for j := range lines {
			lines[j].Minutes, lines[j].Hours = nil, nil
		}
		short.Workspaces[i].Lines = lines
	}
	return short
}

// reportOf returns the report of a set of series.
func reportOf(all map[Key]*series, now time.Time, hosts []string, dropped uint64) Report {
	report := Report{At: now.UTC(), Hosts: hosts, Dropped: dropped, Workspaces: []Workspace{}}
	lines := make(map[string][]Line)
	for key, s := range all {
		lines[key.Workspace] = append(lines[key.Workspace], s.line(key, now))
	}
	for name, workspaceLines := range lines {
		slices.SortFunc(workspaceLines, compareLines)
		report.Workspaces = append(report.Workspaces, Workspace{Workspace: name, Lines: workspaceLines})
	}
	slices.SortFunc(report.Workspaces, func(a, b Workspace) int {
		return cmp.Or(compareRates(a.Lines[0], b.Lines[0]), cmp.Compare(a.Workspace, b.Workspace))
	})
	return report
}

// compareLines orders lines by rule 6, and equal ones by their objectives.
func compareLines(a, b Line) int {
	return cmp.Or(
		compareRates(a, b), cmp.Compare(a.Route, b.Route),
		cmp.Compare(a.Measure, b.Measure), cmp.Compare(a.Within, b.Within),
	)
}

// compareRates orders lines by the higher rate of the two pairs, then by the budget
// left.
func compareRates(a, b Line) int {
	return cmp.Or(cmp.Compare(max(b.fast(), b.slow()), max(a.fast(), a.slow())), cmp.Compare(a.Left, b.Left))
}

// fast and slow return the burn rates of the two pairs (rule 5).
func (l Line) fast() float64 { return min(l.Rates[0].Burn, l.Rates[1].Burn) }
func (l Line) slow() float64 { return min(l.Rates[2].Burn, l.Rates[3].Burn) }

// alarm returns the most urgent alarm that the rates raise.
func (l Line) alarm() Alarm {
	switch {
	case l.fast() >= FastBurnThreshold:
		return FastAlarm
	case l.slow() >= SlowBurnThreshold:
		return SlowAlarm
	default:
		return NoAlarm
	}
}

// line returns the figures of a series.
func (s *series) line(key Key, now time.Time) Line {
	line := Line{Route: key.Route, Measure: string(key.Measure), Target: s.target}
	if key.Within > 0 {
		line.Within = key.Within.String()
	}
	for _, w := range Windows() {
		line.Rates = append(line.Rates, s.rate(w, now))
	}
	line.Left = 1 - line.Rates[len(line.Rates)-1].Burn
	line.Alarm = line.alarm()
	line.Minutes = s.points(fine, now)
	line.Hours = s.points(coarse, now)
	if key.timed() {
		line.Times = s.quantiles(now)
	}
	return line
}

// rate returns the burn rate of a window (rule 2).
func (s *series) rate(w Window, now time.Time) Rate {
	last := levels()[w.level].index(now)
	good, bad := s.levels[w.level].sum(last-int64(w.buckets)+1, last)
	return Rate{Window: w.Name, Burn: s.burn(good, bad), Good: good, Bad: bad}
}

// burn returns the burn rate by rule 3, zero without events.
func (s *series) burn(good, bad uint64) float64 {
	if good+bad == 0 {
		return 0
	}
	return float64(bad) / float64(good+bad) / (1 - s.target)
}

// points returns a point for each bucket of a level, including empty ones.
func (s *series) points(at int, now time.Time) []Point {
	l := levels()[at]
	last := l.index(now)
	points := make([]Point, 0, l.Count)
	for i := last - int64(l.Count) + 1; i <= last; i++ {
		good, bad := s.levels[at].sum(i, i)
		points = append(points, Point{At: time.Unix(0, i*int64(l.Unit)).UTC(), Burn: s.burn(good, bad), Good: good, Bad: bad})
	}
	return points
}

// quantiles returns the quantiles of the merged sketches of the last hour.
func (s *series) quantiles(now time.Time) *Quantiles {
	l := sketchLevel()
	last := l.index(now)
	all := newSketch()
	for at, one := range s.sketches {
		if at > last-int64(l.Count) && at <= last {
			all.merge(one)
		}
	}
	return &Quantiles{
		Count: all.count(), Median: all.quantile(0.5).Seconds(), P95: all.quantile(0.95).Seconds(), P99: all.quantile(0.99).Seconds(),
	}
}
