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

// Settings configure a run of the demo.
type Settings struct {
	Seconds  int
	Seed     uint64
	Progress io.Writer // a line each second; nil for none
	// OnReport, when set, gets the report, and the site then runs on until ctx ends.
	OnReport func(Report) error
}

// Deployment is one example site and its workload.
type Deployment struct {
	Name          string
	Document      []byte
	HostsPerZone  int // per zone
	Servers       map[string]int
	Scorer        string
	Model         string
	Trainers      []string // workspaces
	Loads         []load.Workspace
	WithdrawKeyOf string // workspace whose key is withdrawn halfway
}

// Forge returns the deployment of the site hcm-south.
func Forge() Deployment {
	return Deployment{
		Name: "forge", Document: examples.Forge, HostsPerZone: 2, Model: "quote-llm", Scorer: "quote-scorer",
		Servers:  map[string]int{"quote-llm": 9, "orderbook-app": 4, "quote-scorer": 2},
		Trainers: []string{"quote-training"},
		Loads: []load.Workspace{
			{Name: "clerks", Kind: load.Service, Rate: 40, Service: "orderbook-app/status"},
			{Name: "foremen", Kind: load.Service, Rate: 10, Service: "orderbook-app/status"},
			{Name: "billing", Kind: load.Service, Rate: 10, Service: "orderbook-app/quotes", Keyed: true},
			{Name: "planning", Kind: load.Stream, Rate: 15, Model: "quote-llm"},
			{Name: "estimators", Kind: load.Completion, Rate: 5, Model: "quote-llm"},
			{Name: "audit", Kind: load.Completion, Rate: 3, Model: "quote-llm"},
		},
		WithdrawKeyOf: "audit",
	}
}

// Consortium returns the deployment of the site dakar.
func Consortium() Deployment {
	return Deployment{
		Name: "consortium", Document: examples.Consortium, HostsPerZone: 3, Model: "assay-models", Scorer: "assay-scorer",
		Servers:  map[string]int{"assay-models": 11, "bureau-app": 6, "assay-scorer": 2},
		Trainers: []string{"assay-dakar", "assay-thies"},
		Loads: []load.Workspace{
			{Name: "bureau", Kind: load.Service, Rate: 20, Service: "bureau-app/receipts", Keyed: true},
			{Name: "registry", Kind: load.Service, Rate: 40, Service: "bureau-app/stamps"},
			{Name: "house-ndiaye", Kind: load.Stream, Rate: 8, Model: "assay-models"},
			{Name: "house-fall", Kind: load.Completion, Rate: 8, Model: "assay-models"},
			{Name: "house-sow", Kind: load.Completion, Rate: 4, Model: "assay-models"},
			{Name: "house-diop", Kind: load.Completion, Rate: 3, Model: "assay-models"},
		},
		WithdrawKeyOf: "house-diop",
	}
}

// The shape of a demo step, and the bound on the age of its samples.
const (
	stepGroups  = 8
	stepSamples = 8
	stepTokens  = 64
	stepBound   = 2
)

// The pace of the run.
const (
	publishEvery  = 2 * time.Second
	startPatience = 30 * time.Second
)

// running is a demo under way.
type running struct {
	deployment Deployment
	settings   Settings
	site       *Site
	events     *counter

	mu       sync.Mutex
	trainers []trainer.Report
	load     load.Report
	withdrew withdrawal
}

// Run runs a deployment and returns its report.
func Run(ctx context.Context, deployment Deployment, settings Settings) (Report, error) {
	r := &running{deployment: deployment, settings: settings, events: newCounter()}
	begin, stop := context.WithTimeout(ctx, startPatience)
	defer stop()
	var err error
	r.site, err = Start(begin, Options{
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
	r.say("%d hosts ready at %s", len(r.site.Hosts()), strings.Join(r.site.URLs(), " "))
	r.work(ctx)
	r.say("waiting for the usage reports")
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

func (r *running) say(format string, values ...any) {
	if r.settings.Progress != nil {
		_, _ = fmt.Fprintf(r.settings.Progress, r.deployment.Name+": "+format+"\n", values...)
	}
}

// work runs the workload and the faults side by side.
func (r *running) work(ctx context.Context) {
	length := time.Duration(r.settings.Seconds) * time.Second
	ctx, stop := context.WithTimeout(ctx, length+length/2)
	defer stop()
	var group sync.WaitGroup
	for _, workspace := range r.deployment.Trainers {
		group.Go(func() { r.train(ctx, workspace, length) })
	}
	group.Go(func() { r.offer(ctx, length) })
	group.Go(func() { r.publish(ctx, length) })
	group.Go(func() { r.crash(ctx, length/3) })
	group.Go(func() { r.withdraw(ctx, length/2) })
	group.Go(func() { r.progress(ctx, length) })
	group.Wait()
}

func (r *running) key(workspace string) string {
	return "demo-" + r.site.Document.Site + "-" + workspace
}

// train works through steps until the length has passed; the step under way is
// finished.
func (r *running) train(ctx context.Context, workspace string, length time.Duration) {
	one := trainer.New(trainer.Settings{
		Client: &caller.Client{Hosts: r.site.URLs(), Key: r.key(workspace)},
		Name:   workspace, Model: r.deployment.Model, Bound: stepBound, Tokens: stepTokens, Score: r.deployment.Scorer,
		Groups: groups(workspace), Training: 200 * time.Millisecond, Newest: r.newest(),
	})
	until := time.Now().Add(length)
	for number := 1; time.Now().Before(until) && ctx.Err() == nil; number++ {
		one.Step(ctx, number)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.trainers = append(r.trainers, one.Report())
}

func groups(workspace string) []trainer.Group {
	var all []trainer.Group
	for i := range stepGroups {
		all = append(all, trainer.Group{Prompt: fmt.Sprintf("%s: order %d of the day, with its history", workspace, i), Samples: stepSamples, Seed: int64(i)})
	}
	return all
}

// newest returns the newest version as a trainer knows it: the one published
// before its last look.
func (r *running) newest() func() uint64 {
	return func() uint64 { return r.site.Platform.Newest(r.deployment.Model) }
}

func (r *running) offer(ctx context.Context, length time.Duration) {
	loads := make([]load.Workspace, len(r.deployment.Loads))
	for i, one := range r.deployment.Loads {
		one.Key = r.key(one.Name)
		loads[i] = one
	}
	report := load.Run(ctx, load.Settings{Hosts: r.site.URLs(), Workspaces: loads, Duration: length, Seed: r.settings.Seed})
	r.mu.Lock()
	defer r.mu.Unlock()
	r.load = report
}

// publish releases new weights at regular times.
func (r *running) publish(ctx context.Context, length time.Duration) {
	ticker := time.NewTicker(publishEvery)
	defer ticker.Stop()
	until := time.After(length)
	for {
		select {
		case <-ctx.Done():
			return
		case <-until:
			return
		case <-ticker.C:
			r.site.Platform.Publish(r.deployment.Model)
		}
	}
}

// crash crashes one engine, which starts again by itself.
func (r *running) crash(ctx context.Context, after time.Duration) {
	if !sleep(ctx, after) {
		return
	}
	for name, one := range r.site.Supplier.Engines() {
		r.say("engine %s crashes", name)
		one.Crash()
		return
	}
}

// withdrawal is what happened to a withdrawn key.
type withdrawal struct {
	done    bool
	stopped time.Duration // until every host refused the key
}

// withdraw submits a document without the key of one workspace and measures
// how long it goes on working anywhere.
func (r *running) withdraw(ctx context.Context, after time.Duration) {
	if !sleep(ctx, after) {
		return
	}
	body, err := without(r.site.Document, r.deployment.WithdrawKeyOf)
	if err != nil {
		return
	}
	began := time.Now()
	if _, err := server.Submit(ctx, r.site.Store, "demo", 1, body); err != nil {
		return
	}
	r.say("key of %s withdrawn", r.deployment.WithdrawKeyOf)
	for _, url := range r.site.URLs() {
		client := &caller.Client{Hosts: []string{url}, Key: r.key(r.deployment.WithdrawKeyOf)}
		for works(ctx, client) {
			if !sleep(ctx, 20*time.Millisecond) {
				return
			}
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.withdrew = withdrawal{done: true, stopped: time.Since(began)}
}

// without returns the document with the keys of one workspace removed.
func without(doc document.Document, workspace string) ([]byte, error) {
	doc.Workspaces = append([]document.Workspace(nil), doc.Workspaces...)
	for i := range doc.Workspaces {
		if doc.Workspaces[i].Name == workspace {
			doc.Workspaces[i].Keys = []document.Key{}
		}
	}
	return json.Marshal(doc)
}

func (r *running) progress(ctx context.Context, length time.Duration) {
	for second := range int(length / time.Second) {
		if !sleep(ctx, time.Second) {
			return
		}
		r.say("%d s, %d events, weights %d", second+1, r.events.total(), r.site.Platform.Newest(r.deployment.Model))
	}
}

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

// works reports whether the host takes the client's key. Any answer but a
// refusal of the key counts as taking it.
func works(ctx context.Context, client *caller.Client) bool {
	_, err := client.Do(ctx, rest.Call{Method: http.MethodGet, Path: "/v1/models"})
	var refused *caller.Error
	if errors.As(err, &refused) {
		return refused.Code != string(api.KeyUnknown)
	}
	return true
}
