package usage

import (
	"slices"
)

// Audit recomputes the lines of sealed windows from the counters that the
// windows list, and reports for each window whether its lines match. The result
// is ordered by window, and so is the argument afterwards. The windows must
// start with the first one ever sealed, which Audit does not check, and have no
// gap, for which it returns a *GapError.
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
