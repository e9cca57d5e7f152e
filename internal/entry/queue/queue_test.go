package queue_test

import (
	"errors"
	"flag"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hyssopwall/hyssopwall/internal/entry/queue"
	"github.com/hyssopwall/hyssopwall/internal/standin/cases"
)

func TestQueue(t *testing.T) {
	RegisterFailHandler(Fail)
	Expect(flag.Set("rapid.seed", "1")).To(Succeed())
	Expect(flag.Set("rapid.nofailfile", "true")).To(Succeed())
	RunSpecs(t, "Queue Suite")
}

// step pushes Count items, pops Pop items, or calls another command. Items are
// named by workspace and a number that grows.
type step struct {
	At       int // milliseconds
	Push     string
	Count    int
	Tokens   int
	Priority int
	Deadline int // milliseconds from zero, zero for none
	Refused  string
	After    int // least Retry-After in milliseconds

	Pop    int
	Block  string // workspace whose items are not accepted
	Want   string // identifiers popped, in order
	Settle string // identifier popped before
	Whole  bool
	Took   int // milliseconds
	Used   int
	Sweep  bool
	Close  bool
	Shed   string
	Note   string
}

type script struct {
	Config queue.Config
	Steps  []step
}

type player struct {
	q      *queue.Queue
	names  map[string]int
	popped map[string]queue.Item
	shed   string
}

func (p *player) play(s step) {
	now := time.UnixMilli(int64(s.At))
	p.shed = ""
	switch {
	case s.Push != "":
		p.push(now, s)
	case s.Pop > 0:
		Expect(p.pop(now, s)).To(Equal(s.Want), s.Note)
	case s.Settle != "":
		p.q.Settle(now, p.popped[s.Settle], queue.Result{Used: s.Used, Elapsed: time.Duration(s.Took) * time.Millisecond, Complete: s.Whole})
	case s.Sweep:
		p.note(p.q.Sweep(now))
	case s.Close:
		p.note(p.q.Close())
	}
	Expect(p.shed).To(Equal(s.Shed), s.Note)
}

func (p *player) push(now time.Time, s step) {
	for range max(1, s.Count) {
		p.names[s.Push]++
		item := queue.Item{
			ID: fmt.Sprintf("%s%d", s.Push, p.names[s.Push]), Workspace: s.Push, Priority: s.Priority, Tokens: s.Tokens,
		}
		if s.Deadline > 0 {
			item.Deadline = time.UnixMilli(int64(s.Deadline))
		}
		shed, err := p.q.Push(now, item)
		p.note(shed)
		var refused *queue.RefusedError
		if s.Refused == "" {
			Expect(err).NotTo(HaveOccurred(), s.Note)
			continue
		}
		Expect(errors.As(err, &refused)).To(BeTrue(), s.Note)
		Expect(refused.Reason).To(Equal(s.Refused), s.Note)
		Expect(refused.RetryAfter).To(BeNumerically(">=", max(1, s.After)*int(time.Millisecond)), s.Note)
	}
}

func (p *player) pop(now time.Time, s step) string {
	got := ""
	for range s.Pop {
		item, ok, shed := p.q.Pop(now, func(item queue.Item) bool { return item.Workspace != s.Block })
		p.note(shed)
		if ok {
			got += item.ID + " "
			p.popped[item.ID] = item
		}
	}
	return got
}

func (p *player) note(shed []queue.Shed) {
	for _, s := range shed {
		Expect(s.Refusal.RetryAfter).To(BeNumerically(">", 0))
		p.shed += s.ID + " "
	}
}

var _ = Describe("the queue", func() {
	all, err := cases.Load[script]("testdata/*.hujson")
	It("has cases", func() { Expect(err).NotTo(HaveOccurred()) })
	for _, c := range all {
		It(c.Name, func() {
			p := player{q: queue.New(c.Data.Config), names: map[string]int{}, popped: map[string]queue.Item{}}
			for _, s := range c.Data.Steps {
				p.play(s)
			}
		})
	}

	It("gives backlogged workspaces tokens in proportion to their weights", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			got, weights, most := serve(t)
			for a := range got {
				for b := range got {
					// Deficit round robin is fair within a quantum and an item of each.
					diff := float64(got[a])/float64(weights[a]) - float64(got[b])/float64(weights[b])
					if diff > float64(2*queue.DefaultQuantum+2*most) {
						t.Fatalf("%s got %d, %s got %d, weights %v", a, got[a], b, got[b], weights)
					}
				}
			}
		})
	})

	It("learns nothing from an answer that did not wait here", func() {
		q := queue.New(queue.Config{InitialSpeed: 100})
		now := time.Unix(1000, 0)
		for range 100 {
			q.Settle(now, queue.Item{Workspace: "a"}, queue.Result{Used: 200, Elapsed: 10 * time.Second, Complete: true})
		}
		for _, workspace := range []string{"b", "c"} {
			_, err := q.Push(now, queue.Item{ID: workspace, Workspace: workspace, Tokens: 100, Deadline: now.Add(5 * time.Second)})
			Expect(err).NotTo(HaveOccurred())
		}
	})

	It("loses and doubles nothing", func() {
		rapid.Check(GinkgoT(), conserve)
	})
})

// serve runs three workspaces that never run dry, with estimates that are wrong
// by workspace, polls in vain between pops, and returns the true tokens served.
func serve(t *rapid.T) (got, weights map[string]int, most int) {
	names := []string{"a", "b", "c"}
	weights, got = map[string]int{}, map[string]int{}
	factor, size := map[string]int{}, map[string]int{}
	for _, name := range names {
		weights[name] = rapid.IntRange(1, 4).Draw(t, "weight")
		factor[name] = rapid.IntRange(1, 3).Draw(t, "factor")
		size[name] = rapid.IntRange(1, 800).Draw(t, "size")
		most = max(most, size[name]*factor[name])
	}
	q := queue.New(queue.Config{Weights: weights, Capacity: 1 << 20})
	now := time.Unix(0, 0)
	for i := range 600 {
		for _, name := range names {
			_, err := q.Push(now, queue.Item{ID: fmt.Sprint(i), Workspace: name, Tokens: size[name]})
			if err != nil {
				t.Fatal(err)
			}
		}
	}
	for range 500 {
		_, ok, _ := q.Pop(now, func(queue.Item) bool { return false })
		if ok {
			t.Fatal("took an item that was not accepted")
		}
		item, ok, _ := q.Pop(now, nil)
		if !ok {
			t.Fatal("queue ran dry")
		}
		used := item.Tokens * factor[item.Workspace]
		q.Settle(now, item, queue.Result{Used: used, Complete: true})
		got[item.Workspace] += used
	}
	return got, weights, most
}

// conserve checks that every item pushed ends exactly once, in some way.
func conserve(t *rapid.T) {
	q := queue.New(queue.Config{Capacity: 20, InitialSpeed: 100, InitialRate: 500})
	ends := map[string]int{}
	end := func(shed []queue.Shed) {
		for _, s := range shed {
			ends[s.ID]++
		}
	}
	now := time.Unix(0, 0)
	pushed := rapid.IntRange(1, 120).Draw(t, "pushes")
	for i := range pushed {
		now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "gap")) * time.Millisecond)
		item := queue.Item{
			ID: fmt.Sprint(i), Workspace: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "workspace"),
			Tokens: rapid.IntRange(0, 900).Draw(t, "tokens"), Priority: rapid.IntRange(0, 2).Draw(t, "priority"),
			Deadline: now.Add(time.Duration(rapid.IntRange(0, 20000).Draw(t, "deadline")) * time.Millisecond),
		}
		shed, err := q.Push(now, item)
		end(shed)
		if err != nil {
			ends[item.ID]++
		}
		switch rapid.IntRange(0, 4).Draw(t, "then") {
		case 0:
			end(q.Sweep(now))
		case 1, 2:
			got, ok, shed := q.Pop(now, func(i queue.Item) bool { return i.Workspace != "b" })
			end(shed)
			if ok {
				ends[got.ID]++
				q.Settle(now, got, queue.Result{Used: got.Tokens / 2, Elapsed: time.Second, Complete: true})
			}
		case 3:
			if q.Remove(item.Workspace, item.ID) {
				ends[item.ID]++
			}
		}
	}
	end(q.Close())
	for i := range pushed {
		if ends[fmt.Sprint(i)] != 1 {
			t.Fatalf("item %d ended %d times", i, ends[fmt.Sprint(i)])
		}
	}
	if q.Load().Backlog != 0 {
		t.Fatal("a backlog is left in an empty queue")
	}
}
