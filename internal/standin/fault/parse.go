package fault

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Kinds returns all kinds of faults, in the order of their declaration.
func Kinds() []Kind {
	return []Kind{
		Delay, DropBefore, DropAfter, Refuse, Crossed, Truncated, Corrupt, Doubled,
		Crash, IgnoreFencing, Stale, Slow, Down, Limit, Unlabelled, Gapped,
	}
}

// Catalog holds the kinds of faults that a stand-in can inject at each of its steps.
type Catalog map[Step][]Kind

// Check returns a *ParseError for a rule that could never be injected.
func (c Catalog) Check(rule Rule) error {
	text := string(rule.Step) + ":" + string(rule.Kind)
	kinds, found := c[rule.Step]
	if !found {
		return &ParseError{text, fmt.Sprintf("no step %s, only %v", rule.Step, slices.Sorted(maps.Keys(c)))}
	}
	if !slices.Contains(kinds, rule.Kind) {
		return &ParseError{text, fmt.Sprintf("step %s has no kind %s, only %v", rule.Step, rule.Kind, kinds)}
	}
	return nil
}

// ParseError reports an invalid rule. Text is the rule as passed to Parse, or STEP:KIND of
// the rule as passed to Check.
type ParseError struct {
	Text   string
	Reason string
}

func (e *ParseError) Error() string {
	return fmt.Sprintf("fault %q: %s; want STEP:KIND[:COUNT[:DELAY]]", e.Text, e.Reason)
}

// Parse parses a rule of the form STEP:KIND[:COUNT[:DELAY]], such as put:drop-after:3
// or get:delay:0:2s. A count of zero, the default, means no limit. The rule matches every
// subject. Any error is a *ParseError.
func Parse(text string) (Rule, error) {
	parts := strings.Split(text, ":")
	if len(parts) < 2 || len(parts) > 4 || parts[0] == "" {
		return Rule{}, &ParseError{text, "wrong number of parts"}
	}
	rule := Rule{Step: Step(parts[0]), Kind: Kind(parts[1])}
	if !slices.Contains(Kinds(), rule.Kind) {
		return Rule{}, &ParseError{text, "unknown kind " + parts[1]}
	}
	var err error
	if len(parts) > 2 {
		if rule.Count, err = strconv.Atoi(parts[2]); err != nil || rule.Count < 0 {
			return Rule{}, &ParseError{text, "bad count"}
		}
	}
	if len(parts) > 3 {
		if rule.Delay, err = time.ParseDuration(parts[3]); err != nil || rule.Delay < 0 {
			return Rule{}, &ParseError{text, "bad delay"}
		}
	}
	return rule, nil
}
