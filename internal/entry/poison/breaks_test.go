package poison_test

import (
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopwall/hyssopwall/internal/entry/poison"
	"github.com/hyssopwall/hyssopwall/internal/fleet/wire"
	"github.com/hyssopwall/hyssopwall/internal/standin/cases"
)

// breakCase is one case of testdata/breaks, where the fields of a step are explained.
type breakCase struct {
	Name  string
	Steps []breakStep
}

// breakStep is one event or check at a host.
type breakStep struct {
	At    int
	Host  string
	Break string
	Clear bool
	Gone  []string
	To    []string
	Admit *int
	Send  bool
	Run   string
	Other bool
	Note  string
}

// breakPlay holds the counter of each host, and the servers that have crashed.
type breakPlay struct {
	hosts map[string]*poison.CrashCounter
	gone  []string
}

// host returns the counter of a host.
func (p *breakPlay) host(name string) *poison.CrashCounter {
	if p.hosts[name] == nil {
		p.hosts[name] = &poison.CrashCounter{IsRunning: func(s poison.Server) bool { return !slices.Contains(p.gone, s.Name) }}
	}
	return p.hosts[name]
}

// exchange sends a report to a host and merges its reply.
func (p *breakPlay) exchange(now time.Time, from, to string, report poison.Report) {
	raw, err := wire.Encode(report)
	Expect(err).NotTo(HaveOccurred())
	received, err := wire.Decode[poison.Report](raw)
	Expect(err).NotTo(HaveOccurred())
	if reply := p.host(to).Merge(now, received); len(reply.Breaks) > 0 {
		p.host(from).Merge(now, reply)
	}
}

// step performs one step and checks how long the request is refused.
func (p *breakPlay) step(s breakStep) {
	now := time.Unix(int64(1000+s.At), 0)
	own := p.host(s.Host)
	p.gone = append(p.gone, s.Gone...)
	fp := fingerprint("body")
	if s.Other {
		fp = fingerprint("other body")
	}
	switch {
	case s.Run != "":
		own.Begin(now, fp, poison.Server{Name: s.Run})
		return
	case s.Send:
		trial, refused := own.Admit(now, fp)
		Expect(refused).To(BeNil(), "at %d: %s", s.At, s.Note)
		Expect(trial).NotTo(BeNil(), "at %d: %s", s.At, s.Note)
		for _, to := range s.To {
			p.exchange(now, s.Host, to, *trial)
		}
	case len(s.Gone) > 0:
		for _, report := range own.RecordGone(now) {
			for _, to := range s.To {
				p.exchange(now, s.Host, to, report)
			}
		}
	case s.Break != "":
		report := own.Record(now, fp, poison.Server{Name: s.Break}, now)
		for _, to := range s.To {
			p.exchange(now, s.Host, to, report)
		}
	case s.Clear:
		Expect(own.Clear(fp)).To(BeTrue())
		for _, to := range s.To {
			p.exchange(now, s.Host, to, poison.Report{Request: fp})
		}
	}
	if s.Admit == nil {
		return
	}
	wait := time.Duration(0)
	if refused := own.Check(now, fp); refused != nil {
		wait = refused.RetryAfter
	}
	Expect(wait).To(Equal(time.Duration(*s.Admit)*time.Second), "at %d: %s", s.At, s.Note)
}

var _ = Describe("the crash counter", func() {
	all, err := cases.Load[[]breakCase]("testdata/breaks/*.hujson")
	It("has cases", func() { Expect(err).NotTo(HaveOccurred()) })
	for _, file := range all {
		for _, c := range file.Data {
			It(c.Name, func() {
				play := &breakPlay{hosts: map[string]*poison.CrashCounter{}}
				for _, s := range c.Steps {
					play.step(s)
				}
			})
		}
	}
})
