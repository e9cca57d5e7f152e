package demo

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/hyssopwall/hyssopwall/examples"
	"github.com/hyssopwall/hyssopwall/internal/host/api"
	"github.com/hyssopwall/hyssopwall/internal/host/server"
	"github.com/hyssopwall/hyssopwall/internal/platform/rest"
	"github.com/hyssopwall/hyssopwall/internal/site/document"
	"github.com/hyssopwall/hyssopwall/internal/site/event"
	"github.com/hyssopwall/hyssopwall/internal/standin/caller"
	"github.com/hyssopwall/hyssopwall/internal/standin/engine"
	"github.com/hyssopwall/hyssopwall/internal/standin/load"
	"github.com/hyssopwall/hyssopwall/internal/standin/service"
	"github.com/hyssopwall/hyssopwall/internal/standin/trainer"
)

// Settings configures a run of the demo.
type Settings struct {
	Seconds  int       // length of the workload
	Seed     uint64    // seed of the load
	Progress io.Writer // gets a line each second and one for each fault and phase; nil for none
	// OnReport, when set, gets the report, and the site then runs on until ctx ends.
	OnReport func(Report) error
}

// Deployment is an example site and its workload.
type Deployment struct {
	Name          string
	Document      []byte
	HostsPerZone  int
	Servers       map[string]int   // backend servers of each pool, over all zones
	Scorer        string           // pool of the scoring service
	Model         string           // pool of the engines
	Trainers      []string         // workspaces that train
	Loads         []load.Workspace // callers
	WithdrawKeyOf string           // workspace whose key is withdrawn halfway
}

// Forge returns the deployment of the example site hcm-south.
func Forge() Deployment {
	return Deployment{
		Name: "forge", Document: examples.Forge, HostsPerZone: 2, Model: "quote-llm", Scorer: "quote-scorer",
		Servers:  map[string]int{"quote-llm": 9, "orderbook-app": 4, "quote-scorer": 2},
		Trainers: []string{"quote-training"},
		Loads: []load.Workspace{
			{Name: "clerks", Kind: load.Service, Rate: 40, Service: "orderbook-app/status"},
			{Name: "foremen", Kind: load.Service, Rate: 10, Service: "orderbook-app/status"},
			{Name: "billing", Kind: load.Service, Rate: 10, Service: "orderbook-app/quotes", SendIdempotencyKey: true},
			{Name: "planning", Kind: load.Stream, Rate: 15, Model: "quote-llm"},
			{Name: "estimators", Kind: load.Completion, Rate: 5, Model: "quote-llm"},
			{Name: "audit", Kind: load.Completion, Rate: 3, Model: "quote-llm"},
		},
		WithdrawKeyOf: "audit",
	}
}

// Consortium returns the deployment of the example site dakar.
func Consortium() Deployment {
	return Deployment{
		Name: "consortium", Document: examples.Consortium, HostsPerZone: 3, Model: "assay-models", Scorer: "assay-scorer",
		Servers:  map[string]int{"assay-models": 11, "bureau-app": 6, "assay-scorer": 2},
		Trainers: []string{"assay-dakar", "assay-thies"},
		Loads: []load.Workspace{
			{Name: "bureau", Kind: load.Service, Rate: 20, Service: "bureau-app/receipts", SendIdempotencyKey: true},
			{Name: "registry", Kind: load.Service, Rate: 40, Service: "bureau-app/stamps"},
			{Name: "house-ndiaye", Kind: load.Stream, Rate: 8, Model: "assay-models"},
			{Name: "house-fall", Kind: load.Completion, Rate: 8, Model: "assay-models"},
			{Name: "house-sow", Kind: load.Completion, Rate: 4, Model: "assay-models"},
			{Name: "house-diop", Kind: load.Completion, Rate: 3, Model: "assay-models"},
		},
		WithdrawKeyOf: "house-diop",
	}
}

// The size of a demo step, and the maximum age of its samples in weights versions.
const (
	stepGroups  = 8  // prompts of a step
	stepSamples = 8  // of each prompt
	stepTokens  = 64 // of each sample
	stepBound   = 2  // weights versions
)

// The interval between new weights versions, and the timeout of starting the site.
const (
	publishInterval = 2 * time.Second
	startTimeout    = 30 * time.Second
)

// demoRun is a demo in progress.
type demoRun struct {
	deployment Deployment
	settings   Settings
	site       *Site
	events     *eventCounter

	mu         sync.Mutex
	trainers   []trainer.Report
	load       load.Report
	withdrawal withdrawal
}

// Run starts the site of a deployment, runs its workload, waits for the usage reports and
// returns the report. If settings.OnReport is set, Run passes the report to it and, unless
// it fails, returns only when ctx ends.
func Run(ctx context.Context, deployment Deployment, settings Settings) (Report, error) {
	r := &demoRun{deployment: deployment, settings: settings, events: newEventCounter()}
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	var err error
	r.site, err = Start(startCtx, Options{
		Document: deployment.Document, HostsPerZone: deployment.HostsPerZone, Servers: deployment.Servers,
		Scorers: map[string]bool{deployment.Scorer: true},
		Engine:  engine.Settings{Record: true, Restart: time.Second, LoadTime: 100 * time.Millisecond},
		Service: service.Settings{Record: true},
		Clock:   fastClock(time.Now()),
		Log:     event.Log{Sink: r.events.add},
	})
	if err != nil {
		return Report{}, err
	}
	defer r.site.Close()
	r.logf("%d hosts ready at %s", len(r.site.Hosts()), strings.Join(r.site.URLs(), " "))
	r.runWorkload(ctx)
	r.logf("waiting for the usage reports")
	r.awaitUsage(ctx)
	report := r.report()
	if settings.OnReport == nil {
		return report, nil
	}
	if err := settings.OnReport(report); err != nil {
		return report, err
	}
	<-ctx.Done()
	return report, nil
}

// logf writes a progress line.
func (r *demoRun) logf(format string, values ...any) {
	if r.settings.Progress != nil {
		_, _ = fmt.Fprintf(r.settings.Progress, r.deployment.Name+": "+format+"\n", values...)
	}
}

// runWorkload runs trainers, load, releases of weights and faults concurrently: one engine
// crashes after a third of the time and a key is withdrawn after half of it. Steps in
// progress at the end get half the length more.
func (r *demoRun) runWorkload(ctx context.Context) {
	length := time.Duration(r.settings.Seconds) * time.Second
	ctx, cancel := context.WithTimeout(ctx, length+length/2)
	defer cancel()
	var group sync.WaitGroup
	for _, workspace := range r.deployment.Trainers {
		group.Go(func() { r.train(ctx, workspace, length) })
	}
	group.Go(func() { r.generateLoad(ctx, length) })
	group.Go(func() { r.publish(ctx, length) })
	group.Go(func() { r.crash(ctx, length/3) })
	group.Go(func() { r.withdraw(ctx, length/2) })
	group.Go(func() { r.progress(ctx, length) })
	group.Wait()
}

// key returns the demo key of a workspace.
func (r *demoRun) key(workspace string) string {
	return "demo-" + r.site.Document.Site + "-" + workspace
}

// train runs one step after the other until the length has passed, and completes the step
// in progress by then unless ctx ends before.
func (r *demoRun) train(ctx context.Context, workspace string, length time.Duration) {
	t := trainer.New(trainer.Settings{
		Client: &caller.Client{Hosts: r.site.URLs(), Key: r.key(workspace)},
		Name:   workspace, Model: r.deployment.Model, Bound: stepBound, Tokens: stepTokens, Score: r.deployment.Scorer,
		Groups: stepGroupsOf(workspace), Training: 200 * time.Millisecond, Newest: r.newest(),
	})
	deadline := time.Now().Add(length)
	for number := 1; time.Now().Before(deadline) && ctx.Err() == nil; number++ {
		t.Step(ctx, number)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.trainers = append(r.trainers, t.Report())
}

// stepGroupsOf returns the prompts of a step, each with its number of samples and seed.
func stepGroupsOf(workspace string) []trainer.Group {
	var all []trainer.Group
	for i := range stepGroups {
		all = append(all, trainer.Group{Prompt: fmt.Sprintf("%s: order %d of the day, with its history", workspace, i), Samples: stepSamples, Seed: int64(i)})
	}
	return all
}

// newest returns a function that returns the newest published weights version of the
// deployment's model.
func (r *demoRun) newest() func() uint64 {
	return func() uint64 { return r.site.Platform.Newest(r.deployment.Model) }
}

// generateLoad sends the requests of the deployment's callers and keeps the report.
func (r *demoRun) generateLoad(ctx context.Context, length time.Duration) {
	loads := make([]load.Workspace, len(r.deployment.Loads))
	for i, workload := range r.deployment.Loads {
		workload.Key = r.key(workload.Name)
		loads[i] = workload
	}
	report := load.Run(ctx, load.Settings{Hosts: r.site.URLs(), Workspaces: loads, Duration: length, Seed: r.settings.Seed})
	r.mu.Lock()
	defer r.mu.Unlock()
	r.load = report
}

// publish publishes a new weights version at regular intervals.
func (r *demoRun) publish(ctx context.Context, length time.Duration) {
	ticker := time.NewTicker(publishInterval)
	defer ticker.Stop()
	expired := time.After(length)
	for {
		select {
		case <-ctx.Done():
			return
		case <-expired:
			return
		case <-ticker.C:
			r.site.Platform.Publish(r.deployment.Model)
		}
	}
}

// crash crashes one engine, which then restarts by itself.
func (r *demoRun) crash(ctx context.Context, after time.Duration) {
	if !sleep(ctx, after) {
		return
	}
	for name, target := range r.site.Supplier.Engines() {
		r.logf("crashing engine %s", name)
		target.Crash()
		return
	}
}

// withdrawal is the outcome of withdrawing a key. Done is false if it wasn't submitted or
// some host still accepted the key at the end.
type withdrawal struct {
	done bool
	took time.Duration // until every host rejected the key
}

// withdraw submits a document without the keys of one workspace and measures the time until
// every host rejects its key.
func (r *demoRun) withdraw(ctx context.Context, after time.Duration) {
	if !sleep(ctx, after) {
		return
	}
	body, err := withoutKeys(r.site.Document, r.deployment.WithdrawKeyOf)
	if err != nil {
		return
	}
	submitted := time.Now()
	if _, err := server.Submit(ctx, r.site.Store, "demo", 1, body); err != nil {
		return
	}
	r.logf("keys of workspace %s withdrawn", r.deployment.WithdrawKeyOf)
	for _, url := range r.site.URLs() {
		client := &caller.Client{Hosts: []string{url}, Key: r.key(r.deployment.WithdrawKeyOf)}
		for keyAccepted(ctx, client) {
			if !sleep(ctx, 20*time.Millisecond) {
				return
			}
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.withdrawal = withdrawal{done: true, took: time.Since(submitted)}
}

// withoutKeys returns the encoded document with the keys of one workspace removed.
func withoutKeys(doc document.Document, workspace string) ([]byte, error) {
	doc.Workspaces = append([]document.Workspace(nil), doc.Workspaces...)
	for i := range doc.Workspaces {
		if doc.Workspaces[i].Name == workspace {
			doc.Workspaces[i].Keys = []document.Key{}
		}
	}
	return json.Marshal(doc)
}

// progress logs the number of events and the weights version each second.
func (r *demoRun) progress(ctx context.Context, length time.Duration) {
	for second := range int(length / time.Second) {
		if !sleep(ctx, time.Second) {
			return
		}
		r.logf("%d s: %d events, weights version %d", second+1, r.events.total(), r.site.Platform.Newest(r.deployment.Model))
	}
}

// sleep waits and reports whether ctx was still live at the end of the wait.
func sleep(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// keyAccepted reports whether a host accepts the client's key. Every outcome but the code
// api.KeyUnknown counts as accepted, other errors included.
func keyAccepted(ctx context.Context, client *caller.Client) bool {
	_, err := client.Do(ctx, rest.Call{Method: http.MethodGet, Path: "/v1/models"})
	var refused *caller.Error
	if errors.As(err, &refused) {
		return refused.Code != string(api.KeyUnknown)
	}
	return true
}
