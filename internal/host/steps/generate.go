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

// attemptTimeout is the timeout of one generation of a step.
const attemptTimeout = 10 * time.Minute

// queueFraction is the number of generations that a home is offered beyond its free slots,
// as a fraction of its slots. They wait in its queue, so that a slot that becomes free is
// used at once.
const queueFraction = 0.25

// HomeRunner lists the homes of pools and runs tasks at a chosen one.
type HomeRunner interface {
	// Homes returns one summary for each home of a pool in this zone, and one
	// for each other zone.
	Homes(pool string) []route.Summary
	// RunAt runs a task at a home host or in a zone named by a summary.
	RunAt(ctx context.Context, host string, task forward.Task, sink func(forward.Item) error) error
}

// Generator runs the generations of one workspace's steps at the homes of engines.
// MaxSampleAge returns the maximum age of a sample of a model in weights versions.
type Generator struct {
	Workspace    string
	Homes        HomeRunner
	Weights      step.Weights
	MaxSampleAge func(model string) uint64
}

// Engines returns one entry for each home host, and for each other zone, that can take
// generations of a model. FreeSlots includes those of queueFraction.
func (g *Generator) Engines(model string) []step.Engine {
	var engines []step.Engine
	for _, s := range g.Homes.Homes(model) {
		free := s.Slots + int(float64(s.Slots)*queueFraction) - s.Running
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

// Generate runs one assignment at the home it names and returns the sample. It calls
// progress after every event; the argument tokens is the number of events so far.
func (g *Generator) Generate(ctx context.Context, assignment step.Assignment, progress func(tokens int, versions []uint64)) (sample.Sample, error) {
	request := assignment.Request
	task := forward.Task{
		ID: request.ID, Workspace: g.Workspace, Pool: request.Model, Route: request.Model,
		TimeLeft: attemptTimeout, Idempotent: true, Engine: &request, MinVersion: g.minVersion(request.Model),
	}
	collector := sample.Collector{Request: request}
	tokens := 0
	err := g.Homes.RunAt(ctx, assignment.Engine, task, func(item forward.Item) error {
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
		return sample.Sample{}, generateError(err)
	}
	return collector.Sample()
}

// minVersion returns the oldest weights version of a model whose samples are at most
// MaxSampleAge versions older than the newest.
func (g *Generator) minVersion(model string) uint64 {
	newest, maxAge := g.Weights.Newest(model), g.MaxSampleAge(model)
	if newest <= maxAge {
		return 0
	}
	return newest - maxAge
}

// generateError returns an *engine.RefusedError for a generation that certainly did not
// run, and any other error unchanged.
func generateError(err error) error {
	var failure *forward.Error
	if errors.As(err, &failure) && failure.Ran == "no" {
		return &engine.RefusedError{Code: failure.Code, RetryAfter: failure.RetryAfter}
	}
	return err
}
