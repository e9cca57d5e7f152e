package trainer

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"time"
)

// Report holds the measurements of a trainer. The counts from Doubled to Backward
// are violations of the delivery guarantees.
type Report struct {
	Steps       int            `json:"steps"`    // finished
	Whole       int            `json:"whole"`    // finished with all samples
	Late        int            `json:"late"`     // finished after the deadline
	Failed      int            `json:"failed"`   // abandoned after an error or a cursor that moved back
	Pulls       int            `json:"pulls"`    // answered, without the one that acknowledges the last chunk
	Skipped     int            `json:"skipped"`  // pulls answered for another cursor
	Samples     int            `json:"samples"`  // delivered, without doubled and foreign ones
	Tokens      int            `json:"tokens"`   // of Samples
	Idle        time.Duration  `json:"idle"`     // from opening each step to its end, without training
	Busy        time.Duration  `json:"busy"`     // training
	Ages        map[int]int    `json:"ages"`     // number of samples by age in versions
	Errors      map[string]int `json:"errors"`   // number of failed calls by error code
	Doubled     int            `json:"doubled"`  // delivered again
	Missing     int            `json:"missing"`  // not delivered by the end of a step
	Foreign     int            `json:"foreign"`  // outside the requested groups
	Damaged     int            `json:"damaged"`  // digest does not match text
	Unversioned int            `json:"bare"`     // without weights versions
	Stale       int            `json:"stale"`    // older than Settings.Bound
	Wrong       int            `json:"wrong"`    // rejected by Settings.Check
	Backward    int            `json:"backward"` // cursors that moved back
}

func newReport() Report {
	return Report{Ages: make(map[int]int), Errors: make(map[string]int)}
}

// Violations returns the number of violations of the delivery guarantees.
func (r Report) Violations() int {
	return r.Doubled + r.Missing + r.Foreign + r.Damaged + r.Unversioned + r.Stale + r.Wrong + r.Backward
}

// sampleKey identifies a sample of a step.
type sampleKey struct {
	group int
	index int
}

// checker verifies the samples of one step and counts violations in report.
type checker struct {
	settings Settings
	report   *Report
	seen     map[sampleKey]bool
}

func newChecker(settings Settings, report *Report) *checker {
	return &checker{settings: settings, report: report, seen: make(map[sampleKey]bool)}
}

// add checks a sample against the newest weights version known at its pull.
func (c *checker) add(sample Sample, newest uint64) {
	groups := c.settings.Groups
	key := sampleKey{sample.Group, sample.Index}
	if key.group < 0 || key.group >= len(groups) || key.index < 0 || key.index >= groups[key.group].Samples {
		c.report.Foreign++
		return
	}
	if c.seen[key] {
		c.report.Doubled++
		return
	}
	c.seen[key] = true
	c.report.Samples++
	c.report.Tokens += sample.Tokens
	sum := sha256.Sum256([]byte(sample.Text))
	if sample.Digest != hex.EncodeToString(sum[:]) {
		c.report.Damaged++
	}
	if c.settings.Check != nil && c.settings.Check(groups[key.group], sample) != nil {
		c.report.Wrong++
	}
	c.checkAge(sample, newest)
}

// checkAge counts a sample by its age, which is that of its oldest version.
func (c *checker) checkAge(sample Sample, newest uint64) {
	if len(sample.Versions) == 0 {
		c.report.Unversioned++
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

// finish counts a step that the service reported as done, and its missing samples.
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
