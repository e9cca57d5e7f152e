package trainer

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"time"
)

// Report holds what a trainer measured. The counts from Doubled to Wrong are
// broken promises.
type Report struct {
	Steps    int            `json:"steps"`   // finished
	Whole    int            `json:"whole"`   // finished with every sample
	Late     int            `json:"late"`    // finished after the deadline
	Failed   int            `json:"failed"`  // given up
	Pulls    int            `json:"pulls"`   // answered
	Skipped  int            `json:"skipped"` // pulls that answered for another cursor
	Samples  int            `json:"samples"` // delivered
	Tokens   int            `json:"tokens"`
	Idle     time.Duration  `json:"idle"` // waiting for samples
	Busy     time.Duration  `json:"busy"` // training
	Ages     map[int]int    `json:"ages"` // samples by age in versions
	Errors   map[string]int `json:"errors"`
	Doubled  int            `json:"doubled"`  // delivered again
	Missing  int            `json:"missing"`  // not delivered by the end of a step
	Foreign  int            `json:"foreign"`  // of no group that was asked for
	Damaged  int            `json:"damaged"`  // text and digest differ
	Bare     int            `json:"bare"`     // without a version
	Stale    int            `json:"stale"`    // older than the bound
	Wrong    int            `json:"wrong"`    // text of another request
	Backward int            `json:"backward"` // cursors that went back
}

func newReport() Report {
	return Report{Ages: make(map[int]int), Errors: make(map[string]int)}
}

// Broken returns the number of broken promises.
func (r Report) Broken() int {
	return r.Doubled + r.Missing + r.Foreign + r.Damaged + r.Bare + r.Stale + r.Wrong + r.Backward
}

// place names a sample of a step.
type place struct {
	group int
	index int
}

// checker checks the samples of one step.
type checker struct {
	settings Settings
	report   *Report
	seen     map[place]bool
}

func newChecker(settings Settings, report *Report) *checker {
	return &checker{settings: settings, report: report, seen: make(map[place]bool)}
}

func (c *checker) sample(sample Sample, newest uint64) {
	groups := c.settings.Groups
	at := place{sample.Group, sample.Index}
	if at.group < 0 || at.group >= len(groups) || at.index < 0 || at.index >= groups[at.group].Samples {
		c.report.Foreign++
		return
	}
	if c.seen[at] {
		c.report.Doubled++
		return
	}
	c.seen[at] = true
	c.report.Samples++
	c.report.Tokens += sample.Tokens
	sum := sha256.Sum256([]byte(sample.Text))
	if sample.Digest != hex.EncodeToString(sum[:]) {
		c.report.Damaged++
	}
	if c.settings.Check != nil && c.settings.Check(groups[at.group], sample) != nil {
		c.report.Wrong++
	}
	c.age(sample, newest)
}

// age measures a sample by the oldest version that it names.
func (c *checker) age(sample Sample, newest uint64) {
	if len(sample.Versions) == 0 {
		c.report.Bare++
		return
	}
	age := uint64(0)
	if oldest := slices.Min(sample.Versions); oldest < newest {
		age = newest - oldest
	}
	c.report.Ages[int(age)]++
	if age > c.settings.Bound {
		c.report.Stale++
	}
}

// finish counts what a step that was said to be done did not deliver.
func (c *checker) finish() {
	want := 0
	for _, group := range c.settings.Groups {
		want += group.Samples
	}
	c.report.Steps++
	c.report.Missing += want - len(c.seen)
	if len(c.seen) == want {
		c.report.Whole++
	}
}
