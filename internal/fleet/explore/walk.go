package explore

import "math/rand/v2"

// Walk takes random walks through a model until one reaches a violation. Each
// walk draws its own weight for every label, some of them small, so that the
// walks differ in what is rare: one process paused for long, many faults, or
// none. Walks reach states that are too deep for Search. The result depends only
// on the model and the arguments.
func Walk[S any, K comparable](model Model[S, K], seed uint64, walks, length int) Report {
	random := rand.New(rand.NewPCG(seed, 0))
	seen := map[K]struct{}{}
	report := Report{}
	for range walks {
		walk(model, random, length, seen, &report)
		if report.Violation != nil {
			break
		}
	}
	report.States = len(seen)
	return report
}

// walk takes one walk of at most length steps and adds it to the report.
func walk[S any, K comparable](model Model[S, K], random *rand.Rand, length int, seen map[K]struct{}, report *Report) {
	state := model.Initial
	weights := map[string]float64{}
	var labels []string
	for depth := 1; depth <= length; depth++ {
		steps := model.Next(state)
		if len(steps) == 0 {
			return
		}
		next := choose(steps, weights, random)
		state = next.target()
		labels = append(labels, next.Label)
		if model.Key != nil {
			seen[model.Key(state)] = struct{}{}
		}
		report.Transitions++
		report.Depth = max(report.Depth, depth)
		if err := model.Check(state); err != nil {
			report.Violation = err
			report.Path = labels
			return
		}
	}
}

// choose draws a step with the weights of the walk. It draws a weight for a label
// that has none yet.
func choose[S any](steps []Step[S], weights map[string]float64, random *rand.Rand) Step[S] {
	sum := 0.0
	for _, step := range steps {
		if weights[step.Label] == 0 {
			weights[step.Label] = weight(random)
		}
		sum += weights[step.Label]
	}
	at := random.Float64() * sum
	for _, step := range steps {
		at -= weights[step.Label]
		if at < 0 {
			return step
		}
	}
	return steps[len(steps)-1]
}

// weight returns a power of two between 1/64 and 1, each with the same
// probability.
func weight(random *rand.Rand) float64 {
	return 1 / float64(uint64(1)<<random.UintN(7))
}
