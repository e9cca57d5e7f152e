package demo

import (
	"bytes"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/standin/load"
	"github.com/hyssopwall/hyssopwall/internal/standin/platform"
	"github.com/hyssopwall/hyssopwall/internal/standin/trainer"
)

// maxWithdrawalTime is the time within which every host must reject a withdrawn key.
const maxWithdrawalTime = 5 * time.Second

// Promise is a guarantee of hyssopwall to its users, with the number of checks and of
// violations in a run.
type Promise struct {
	Text    string `json:"text"`
	Checked int    `json:"checked"`
	Broken  int    `json:"broken"`
}

// Report holds the measurements of a run of the demo. Hosts is the number of hosts that run
// at its end, and Weights the newest weights version of the deployment's model.
// WithdrawalTime is zero if the withdrawal was not submitted or some host still accepted
// the key at the end.
type Report struct {
	Deployment     string           `json:"deployment"`
	Hosts          int              `json:"hosts"`
	Trainers       []trainer.Report `json:"trainers"`
	Load           load.Report      `json:"load"`
	Weights        uint64           `json:"weights"`
	WithdrawalTime time.Duration    `json:"withdrawn"` // until every host rejected the withdrawn key
	Usage          Usage            `json:"usage"`
	Spending       Spending         `json:"spending"`
	Calls          map[string]int   `json:"calls"`  // calls to the platform, by kind
	Events         map[string]int   `json:"events"` // logged events, by number, such as HW4001
	Promises       []Promise        `json:"promises"`
}

// Broken returns the number of violations of all promises.
func (r Report) Broken() int {
	broken := 0
	for _, p := range r.Promises {
		broken += p.Broken
	}
	return broken
}

// report collects the measurements and checks the promises.
func (r *demoRun) report() Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	report := Report{
		Deployment: r.deployment.Name, Hosts: len(r.site.Hosts()), Trainers: r.trainers, Load: r.load,
		Weights: r.site.Platform.Newest(r.deployment.Model), WithdrawalTime: r.withdrawal.took,
		Calls: make(map[string]int), Events: r.events.byName(),
	}
	for _, call := range []platform.Call{platform.Get, platform.Put, platform.List, platform.Watch, platform.Servers, platform.Hosts, platform.Newest, platform.Report} {
		report.Calls[string(call)] = r.site.Platform.Calls(call)
	}
	report.Usage = Usage{Served: r.served(), Reported: r.reported()}
	report.Spending = r.spending(report.Usage.Served.Samples)
	report.Promises = r.promises(report)
	return report
}

// promises checks all promises against the report and the simulated systems.
func (r *demoRun) promises(report Report) []Promise {
	all := samplePromises(report.Trainers)
	answered, wrong := 0, 0
	for _, line := range report.Load.Lines {
		answered += line.Answered
		wrong += line.Wrong
	}
	all = append(all,
		Promise{Text: "Every caller gets the whole answer to its own request", Checked: answered, Broken: wrong},
		r.atMostOncePromise(), r.hiddenKeysPromise(), r.withdrawalPromise(),
		r.usagePromise(),
		Promise{Text: "No usage window is reported with different figures", Checked: len(r.site.Platform.Reports()), Broken: len(r.site.Platform.ReportViolations())},
		Promise{Text: "Orders come from one process only", Checked: len(r.site.Platform.Orders()), Broken: r.site.Platform.StaleOrders()},
	)
	return all
}

// samplePromises checks the promises about samples and steps, over all trainers.
func samplePromises(reports []trainer.Report) []Promise {
	var sum trainer.Report
	for _, report := range reports {
		sum.Samples += report.Samples
		sum.Steps += report.Steps
		sum.Unversioned += report.Unversioned
		sum.Stale += report.Stale
		sum.Doubled += report.Doubled + report.Backward
		sum.Missing += report.Missing + report.Failed
		sum.Damaged += report.Damaged + report.Foreign + report.Wrong
	}
	return []Promise{
		{Text: "Every sample names the weight versions that produced it", Checked: sum.Samples, Broken: sum.Unversioned},
		{Text: "No sample is older than the bound", Checked: sum.Samples, Broken: sum.Stale},
		{Text: "Every sample is delivered once", Checked: sum.Samples + sum.Doubled, Broken: sum.Doubled},
		{Text: "Every sample is the whole answer to its own prompt", Checked: sum.Samples, Broken: sum.Damaged},
		{Text: "Every step is whole", Checked: sum.Steps, Broken: sum.Missing},
	}
}

// atMostOncePromise counts the calls with an idempotency key that callers sent, and those
// that services executed more than once.
func (r *demoRun) atMostOncePromise() Promise {
	p := Promise{Text: "A request that must not be repeated runs at most once"}
	for _, workload := range r.deployment.Loads {
		if !workload.SendIdempotencyKey {
			continue
		}
		for _, service := range r.site.Supplier.Services() {
			for _, name := range service.Duplicates() {
				if strings.HasPrefix(name, workload.Name) {
					p.Broken++
				}
			}
		}
		for _, line := range r.load.Lines {
			if line.Workspace == workload.Name {
				p.Checked += line.Sent
			}
		}
	}
	return p
}

// hiddenKeysPromise searches the bytes that each backend server received for the prefix that
// all API keys of the demo share.
func (r *demoRun) hiddenKeysPromise() Promise {
	p := Promise{Text: "No backend server sees a caller's key"}
	secret := []byte("demo-" + r.site.Document.Site)
	check := func(received []byte) {
		p.Checked++
		if bytes.Contains(received, secret) {
			p.Broken++
		}
	}
	for _, engine := range r.site.Supplier.Engines() {
		check(engine.Received())
	}
	for _, service := range r.site.Supplier.Services() {
		check(service.Received())
	}
	return p
}

// withdrawalPromise checks that all hosts rejected the withdrawn key in time.
func (r *demoRun) withdrawalPromise() Promise {
	p := Promise{Text: "A withdrawn key stops working within 5 s", Checked: 1}
	if !r.withdrawal.done || r.withdrawal.took > maxWithdrawalTime {
		p.Broken = 1
	}
	return p
}

// Write writes the report as text: trainers, load, usage, spending, withdrawal time and
// promises.
func (r Report) Write(w io.Writer) error {
	out := &bytes.Buffer{}
	_, _ = fmt.Fprintf(out, "\n%s: %d hosts, weights %d\n\n", r.Deployment, r.Hosts, r.Weights)
	r.writeTrainers(out)
	r.writeLoad(out)
	_, _ = fmt.Fprintf(out, "usage reported: %d requests, %d samples; served: %d requests, %d samples\n",
		r.Usage.Reported.Requests, r.Usage.Reported.Samples, r.Usage.Served.Requests, r.Usage.Served.Samples)
	_, _ = fmt.Fprintf(out, "spending: %.4f for %d backend servers, %.4f for 1000 samples\n",
		r.Spending.Total, r.Spending.Servers, r.Spending.PerThousandSamples)
	_, _ = fmt.Fprintf(out, "key withdrawn everywhere after %s\n\n", r.WithdrawalTime.Round(time.Millisecond))
	_, _ = fmt.Fprintf(out, "%-62s %9s %7s\n", "promise", "checked", "broken")
	for _, p := range r.Promises {
		_, _ = fmt.Fprintf(out, "%-62s %9d %7d\n", p.Text, p.Checked, p.Broken)
	}
	_, err := w.Write(out.Bytes())
	return err
}

// writeTrainers writes a line for each trainer.
func (r Report) writeTrainers(out io.Writer) {
	for i, trainer := range r.Trainers {
		_, _ = fmt.Fprintf(out, "trainer %d: %d steps, %d whole, %d samples, idle %s, training %s, ages %s\n",
			i+1, trainer.Steps, trainer.Whole, trainer.Samples, trainer.Idle.Round(time.Millisecond), trainer.Busy.Round(time.Millisecond), formatAges(trainer.Ages))
	}
}

// formatAges formats the number of samples for each age, in weights versions, as AGE:COUNT
// sorted by age.
func formatAges(counts map[int]int) string {
	var known []int
	for age := range counts {
		known = append(known, age)
	}
	slices.Sort(known)
	parts := make([]string, len(known))
	for i, age := range known {
		parts[i] = fmt.Sprintf("%d:%d", age, counts[age])
	}
	return strings.Join(parts, " ")
}

// writeLoad writes a table with a row for each workspace.
func (r Report) writeLoad(out io.Writer) {
	_, _ = fmt.Fprintf(out, "\n%-16s %7s %7s %7s %10s %10s  %s\n", "workspace", "sent", "good", "wrong", "p50", "p99", "errors")
	for _, line := range r.Load.Lines {
		_, _ = fmt.Fprintf(out, "%-16s %7d %7d %7d %10s %10s  %v\n", line.Workspace, line.Sent, line.Good, line.Wrong,
			line.P50.Round(10*time.Microsecond), line.P99.Round(10*time.Microsecond), line.Errors)
	}
	_, _ = fmt.Fprintf(out, "worst served: %s\n", r.Load.Worst)
}
