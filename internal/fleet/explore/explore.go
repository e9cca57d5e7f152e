// Package explore is a model checker for protocols. From an initial state it
// explores the steps that a model allows, until it has seen all states within
// the limits or one that violates an invariant. Models run the production
// decision code. Only tests use this package.
package explore

import (
	"fmt"
	"strings"
)

// Step is a transition of a model: its label and the state that follows. If
// MakeState is set, it computes that state when it is needed.
type Step[S any] struct {
	Label     string
	State     S
	MakeState func() S
}

// target returns the state that follows the step.
func (s Step[S]) target() S {
	if s.MakeState != nil {
		return s.MakeState()
	}
	return s.State
}

// Model is a protocol to explore.
type Model[S any, K comparable] struct {
	Initial S
	// Next returns the possible steps from a state.
	Next func(S) []Step[S]
	// Key returns the part of a state that determines its future. States with
	// equal keys are treated as the same state. Walk uses it only to count states;
	// for Walk it may be nil.
	Key func(S) K
	// Check returns an error for a state that violates an invariant.
	Check func(S) error
}

// Report is the result of an exploration.
type Report struct {
	States      int // states with different keys, zero without a Key
	Transitions int // steps taken, including those to states that were already seen
	Depth       int // depth of the last state whose steps Search took, or length of the longest walk
	// Exhaustive reports whether every reachable state was seen. It is false for walks
	// and for a search that stopped at its limit.
	Exhaustive bool
	// Violation is the error of a state that violates an invariant, nil if none
	// was found.
	Violation error
	// Path contains the labels of the steps to the state of Violation.
	Path []string
}

func (r Report) String() string {
	extent := "bounded"
	if r.Exhaustive {
		extent = "exhaustive"
	}
	text := fmt.Sprintf("%s: %d states, %d transitions, depth %d", extent, r.States, r.Transitions, r.Depth)
	if r.Violation != nil {
		text += fmt.Sprintf("; broken: %v after\n  %s", r.Violation, strings.Join(r.Path, "\n  "))
	}
	return text
}

// node is a visited state; from is the index of its predecessor, -1 for none.
type node[S any] struct {
	state S
	from  int
	label string
	depth int
}

// Search visits up to limit states, breadth first, so that the path to a
// violation is one of the shortest.
func Search[S any, K comparable](model Model[S, K], limit int) Report {
	nodes := []node[S]{{state: model.Initial, from: -1}}
	seen := map[K]struct{}{model.Key(model.Initial): {}}
	report := Report{States: 1}
	if err := model.Check(model.Initial); err != nil {
		report.Violation = err
		return report
	}
	for at := 0; at < len(nodes); at++ {
		current := nodes[at]
		report.Depth = current.depth
		for _, step := range model.Next(current.state) {
			report.Transitions++
			state := step.target()
			key := model.Key(state)
			if _, ok := seen[key]; ok {
				continue
			}
			seen[key] = struct{}{}
			nodes = append(nodes, node[S]{state: state, from: at, label: step.Label, depth: current.depth + 1})
			report.States++
			if err := model.Check(state); err != nil {
				report.Violation = err
				report.Path = path(nodes)
				return report
			}
			if report.States >= limit {
				return report
			}
		}
		var zero S
		nodes[at].state = zero // frees the state: only its label is still needed
	}
	report.Exhaustive = true
	return report
}

// path returns the labels from the initial state to the last node.
func path[S any](nodes []node[S]) []string {
	var labels []string
	for at := len(nodes) - 1; nodes[at].from >= 0; at = nodes[at].from {
		labels = append([]string{nodes[at].label}, labels...)
	}
	return labels
}
