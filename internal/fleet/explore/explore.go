// Package explore searches the interleavings of a protocol: from a first state
// it takes every step that a model allows, breadth first, until it has seen
// all states within the bounds or one that breaks an invariant. Models run the
// product's own decision code; only tests use this package.
package explore

import (
	"fmt"
	"strings"
)

// Step is one move of a model: what happened, and the state after it. Make,
// when set, makes the state when it is needed.
type Step[S any] struct {
	Label     string
	State     S
	MakeState func() S
}

func (s Step[S]) to() S {
	if s.MakeState != nil {
		return s.MakeState()
	}
	return s.State
}

// Model is a protocol under search. States that have the same Key are the
// same; K is a comparable part of the state that determines its future.
type Model[S any, K comparable] struct {
	Initial S
	Next    func(S) []Step[S]
	Key     func(S) K
	// Check returns an error for a state that breaks an invariant.
	Check func(S) error
}

// Report is the outcome of a search.
type Report struct {
	States      int
	Transitions int
	Depth       int
	// Exhaustive says that every reachable state was seen.
	Exhaustive bool
	// Violation is the invariant that a state broke, nil if none.
	Violation error
	// Path holds the labels of the steps to the broken state.
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

type node[S any] struct {
	state S
	from  int
	label string
	depth int
}

// Search looks at no more than limit states, breadth first, so that a path to
// a broken state is one of the shortest.
func Search[S any, K comparable](model Model[S, K], limit int) Report {
	nodes := []node[S]{{state: model.Initial, from: -1}}
	seen := map[K]struct{}{model.Key(model.Initial): {}}
	report := Report{States: 1}
	if err := model.Check(model.Initial); err != nil {
		report.Violation = err
		return report
	}
	for at := 0; at < len(nodes); at++ {
		here := nodes[at]
		report.Depth = here.depth
		for _, step := range model.Next(here.state) {
			report.Transitions++
			state := step.to()
			key := model.Key(state)
			if _, ok := seen[key]; ok {
				continue
			}
			seen[key] = struct{}{}
			nodes = append(nodes, node[S]{state: state, from: at, label: step.Label, depth: here.depth + 1})
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
		nodes[at].state = zero // a visited state is only needed for its label
	}
	report.Exhaustive = true
	return report
}

func path[S any](nodes []node[S]) []string {
	var labels []string
	for at := len(nodes) - 1; nodes[at].from >= 0; at = nodes[at].from {
		labels = append([]string{nodes[at].label}, labels...)
	}
	return labels
}
