package steps

import (
	"context"
	"errors"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/backend/engine"
	"github.com/hyssopwall/hyssopwall/internal/entry/route"
	"github.com/hyssopwall/hyssopwall/internal/host/forward"
	"github.com/hyssopwall/hyssopwall/internal/rollout/sample"
	"github.com/hyssopwall/hyssopwall/internal/rollout/step"
)

// attemptTimeout bounds one generation of a step.
const attemptTimeout = 10 * time.Minute

// queueAhead is the part of a home's slots that a step may have waiting there,
// so that a slot that becomes free is taken at once.
const queueAhead = 0.25

// HomeRunner runs tasks at chosen homes.
type HomeRunner interface {
	// Homes returns the summaries of the homes of a pool, those of other
	// zones taken together per zone.
	Homes(pool string) []route.Summary
	// RunAt runs a task at a home host or in a zone named by a summary.
	RunAt(ctx context.Context, host string, task forward.Task, sink func(forward.Item) error) error
}

// Generator runs the work of one workspace's steps at the homes of engines.
type Generator struct {
	Workspace string
	Homes     HomeRunner
	Weights   step.Weights
	Bound     func(model string) uint64
}

// Engines returns one entry for each home host that can take new work.
func (g *Generator) Engines(model string) []step.Engine {
	var engines []step.Engine
	for _, s := range g.Homes.Homes(model) {
		free := s.Slots + int(float64(s.Slots)*queueAhead) - s.Running
		if s.Slots == 0 || free <= 0 {
			continue
		}
		engines = append(engines, step.Engine{
			Name: s.Host, Zone: s.Zone, Version: s.NewestVersion, FreeSlots: free,
			Speed: float64(s.Rate) / float64(s.Slots), Wait: s.WaitOf(g.Workspace),
		})
	}
	return engines
}

// Generate runs one work to its end at the chosen home.
func (g *Generator) Generate(ctx context.Context, work step.Assignment, progress func(tokens int, versions []uint64)) (sample.Sample, error) {
	request := work.Request
	task := forward.Task{
		ID: request.ID, Workspace: g.Workspace, Pool: request.Model, Route: request.Model,
		TimeLeft: attemptTimeout, Idempotent: true, Engine: &request, MinVersion: g.least(request.Model),
	}
	collector := sample.Collector{Request: request}
	tokens := 0
	err := g.Homes.RunAt(ctx, work.Engine, task, func(item forward.Item) error {
		if item.Event == nil {
			return nil
		}
		tokens++
		if err := collector.Add(*item.Event); err != nil {
			return err
		}
		progress(tokens, collector.Versions())
		return nil
	})
	if err != nil {
		return sample.Sample{}, outcome(err)
	}
	return collector.Sample()
}

// least is the oldest version whose samples are fresh enough now.
func (g *Generator) least(model string) uint64 {
	newest, bound := g.Weights.Newest(model), g.Bound(model)
	if newest <= bound {
		return 0
	}
	return newest - bound
}

// outcome tells a refusal before any work from a failure.
func outcome(err error) error {
	var failure *forward.Error
	if errors.As(err, &failure) && failure.Ran == "no" {
		return &engine.RefusedError{Code: failure.Code, RetryAfter: failure.RetryAfter}
	}
	return err
}
