package usage

import (
	"slices"
)

// Audit recomputes the lines of sealed windows from the counters that they
// list, and reports for each whether they are the ones that were reported. The
// windows follow each other without a gap, the first ever sealed first; it
// returns a *GapError otherwise.
func Audit(sealed []SealedWindow) ([]bool, error) {
	if len(sealed) == 0 {
		return nil, nil
	}
	slices.SortFunc(sealed, func(a, b SealedWindow) int { return int(a.Window - b.Window) })
	ledger := NewLedger(sealed[0].Window)
	matches := make([]bool, len(sealed))
	for i, one := range sealed {
		matches[i] = slices.Equal(ledger.lines(one.Counted), one.Lines)
		if err := ledger.Apply(one); err != nil {
			return nil, err
		}
	}
	return matches, nil
}
