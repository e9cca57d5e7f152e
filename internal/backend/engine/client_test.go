package engine_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopwall/hyssopwall/internal/backend/engine"
	"github.com/hyssopwall/hyssopwall/internal/standin/cases"
	standin "github.com/hyssopwall/hyssopwall/internal/standin/engine"
	"github.com/hyssopwall/hyssopwall/internal/standin/fault"
)

func TestEngine(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "engine client")
}

// start starts a simulated engine and returns it with a client.
func start(settings standin.Settings) (*standin.Engine, *engine.Client) {
	settings.Model = "quote-llm"
	if settings.Version == 0 {
		settings.Version = 4
	}
	if settings.Step == 0 {
		settings.Step = 100 * time.Microsecond
	}
	server := standin.New(settings)
	Expect(server.Start("127.0.0.1:0")).To(Succeed())
	DeferCleanup(server.Close)
	return server, &engine.Client{Base: server.URL()}
}

// request returns a valid generation request.
func request(id string) engine.Request {
	return engine.Request{ID: id, Model: "quote-llm", Prompt: "forge a flange", MaxTokens: 32, Seed: 3}
}

// readAll reads a stream to its end.
func readAll(stream engine.Stream) (text string, versions []uint64, last engine.Event, err error) {
	defer func() { _ = stream.Close() }()
	for {
		event, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return text, versions, last, nil
		}
		if err != nil {
			return text, versions, last, err
		}
		text += event.Text
		versions = append(versions, event.Versions...)
		last = event
	}
}

// run runs a generation and reads its stream to the end.
func run(ctx context.Context, client *engine.Client, request engine.Request) (text string, versions []uint64, last engine.Event, err error) {
	stream, err := client.Run(ctx, request)
	if err != nil {
		return "", nil, engine.Event{}, err
	}
	return readAll(stream)
}

// faultCase is a generation during which one fault occurs. Refused is the code of the
// expected RefusedError, Broken the reason of the expected BrokenError.
type faultCase struct {
	Name    string
	Step    fault.Step
	Kind    fault.Kind
	Refused string
	Broken  string
	Bare    bool // no event reports a version
}

var _ = Describe("Client", func() {
	It("reports each fault of a generation", func(ctx SpecContext) {
		files, err := cases.Load[[]faultCase]("testdata/faults.hujson")
		Expect(err).NotTo(HaveOccurred())
		for _, test := range files[0].Data {
			By(test.Name)
			server, client := start(standin.Settings{})
			server.Faults().Add(fault.Rule{Step: test.Step, Kind: test.Kind, Count: 1})
			text, versions, last, err := run(ctx, client, request("r-1"))
			Expect(server.Faults().Injected(test.Step, test.Kind)).To(Equal(1))
			refused, _ := errors.AsType[*engine.RefusedError](err)
			broken, _ := errors.AsType[*engine.BrokenError](err)
			switch {
			case test.Refused != "":
				Expect(refused).NotTo(BeNil(), "%v", err)
				Expect(refused.Code).To(Equal(test.Refused))
				Expect(server.Counts().Started).To(BeZero())
			case test.Broken != "":
				Expect(broken).NotTo(BeNil(), "%v", err)
				Expect(broken.Reason).To(Equal(test.Broken))
				Expect(broken.Sent).To(BeTrue())
				Expect(last.Done).To(BeFalse())
			default:
				Expect(err).NotTo(HaveOccurred())
				want, count := standin.Text("forge a flange", 3, 32)
				Expect(text).To(Equal(want))
				Expect(last.Tokens).To(Equal(count))
				Expect(versions == nil).To(Equal(test.Bare))
			}
		}
	}, SpecTimeout(20*time.Second))

	It("reports each version when the weights change during a generation", func(ctx SpecContext) {
		ticks := make(chan struct{})
		_, client := start(standin.Settings{Ticks: ticks})
		stream, err := client.Run(ctx, request("r-1"))
		Expect(err).NotTo(HaveOccurred())
		ticks <- struct{}{}
		first, err := stream.Next()
		Expect(err).NotTo(HaveOccurred())
		Expect(first.Versions).To(Equal([]uint64{4}))
		Expect(client.Apply(ctx, engine.Command{ID: "c-1", Epoch: 2, Version: 5})).To(Succeed())
		Eventually(func() uint64 { return version(ctx, client) }).Should(Equal(uint64(5)))
		go pump(ctx, ticks)
		text, versions, _, err := readAll(stream)
		Expect(err).NotTo(HaveOccurred())
		want, _ := standin.Text("forge a flange", 3, 32)
		Expect(first.Text + text).To(Equal(want))
		Expect(slices.Max(versions)).To(Equal(uint64(5)))
		Expect(slices.Min(versions)).To(Equal(uint64(4)))
	}, SpecTimeout(10*time.Second))

	It("exports a generation and resumes it with its cache and versions", func(ctx SpecContext) {
		ticks := make(chan struct{})
		_, source := start(standin.Settings{Ticks: ticks})
		_, target := start(standin.Settings{Version: 9})
		stream, err := source.Run(ctx, request("r-1"))
		Expect(err).NotTo(HaveOccurred())
		ticks <- struct{}{}
		first, err := stream.Next()
		Expect(err).NotTo(HaveOccurred())
		resume, err := source.Export(ctx, "r-1")
		Expect(err).NotTo(HaveOccurred())
		Expect(resume.Text).To(Equal(first.Text))
		_, _, last, err := readAll(stream)
		Expect(err).NotTo(HaveOccurred())
		Expect(last.Reason).To(Equal("exported"))

		moved := request("r-2")
		moved.Resume = &resume
		text, versions, _, err := run(ctx, target, moved)
		Expect(err).NotTo(HaveOccurred())
		want, _ := standin.Text("forge a flange", 3, 32)
		Expect(resume.Text + text).To(Equal(want))
		Expect(versions).To(ContainElements(uint64(4), uint64(9)))
		damaged := resume
		damaged.Cache = []byte("no cache")
		moved.Resume = &damaged
		_, _, _, err = run(ctx, target, moved)
		Expect(err).To(Equal(&engine.RefusedError{Code: "cache", RetryAfter: 50 * time.Millisecond}))
	}, SpecTimeout(10*time.Second))

	It("gets a refusal for an old epoch unless the engine ignores fencing", func(ctx SpecContext) {
		fencing, client := start(standin.Settings{})
		Expect(client.Apply(ctx, engine.Command{ID: "c-1", Epoch: 7, Role: "decode"})).To(Succeed())
		Expect(client.Apply(ctx, engine.Command{ID: "c-1", Epoch: 7, Role: "decode"})).To(Succeed())
		err := client.Apply(ctx, engine.Command{ID: "c-2", Epoch: 6, Role: "prefill"})
		refused, _ := errors.AsType[*engine.RefusedError](err)
		Expect(refused).NotTo(BeNil())
		Expect(refused.Code).To(Equal("fenced"))
		Expect(fencing.Commands()).To(HaveLen(1))
		unfenced, client := start(standin.Settings{IgnoreFencing: true})
		Expect(client.Apply(ctx, engine.Command{ID: "c-1", Epoch: 7, Role: "decode"})).To(Succeed())
		Expect(client.Apply(ctx, engine.Command{ID: "c-2", Epoch: 6, Role: "prefill"})).To(Succeed())
		Expect(unfenced.Counts().Stale).To(Equal(1))
	}, SpecTimeout(10*time.Second))

	DescribeTable("rejects invalid states, cache events and exports",
		func(ctx SpecContext, body string, query func(context.Context, *engine.Client) error) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = io.WriteString(w, body)
			}))
			DeferCleanup(server.Close)
			err := query(ctx, &engine.Client{Base: server.URL})
			broken, ok := errors.AsType[*engine.BrokenError](err)
			Expect(ok).To(BeTrue(), "%v", err)
			Expect(broken.Sent).To(BeTrue())
		},
		Entry("negative load", `{"running":-1}`, getState),
		Entry("negative queue", `{"waiting":-1}`, getState),
		Entry("negative slots", `{"slots":-1}`, getState),
		Entry("no JSON", `{"slots":`, getState),
		Entry("repeated sequence number", `[{"sequence":8},{"sequence":8}]`, getCacheEvents),
		Entry("old sequence number", `[{"sequence":7}]`, getCacheEvents),
		Entry("text without versions", `{"text":"a ","tokens":1}`, export),
		Entry("text without tokens", `{"text":"a ","versions":[1]}`, export),
		Entry("negative tokens", `{"tokens":-1}`, export),
	)

	It("does not send invalid commands and requests", func(ctx SpecContext) {
		server, client := start(standin.Settings{Record: true})
		for _, command := range []engine.Command{{ID: "c"}, {Version: 2}, {ID: "c", Version: 2, Role: "decode"}} {
			broken, ok := errors.AsType[*engine.BrokenError](client.Apply(ctx, command))
			Expect(ok).To(BeTrue())
			Expect(broken.Sent).To(BeFalse())
		}
		for _, invalid := range []engine.Request{{Model: "quote-llm"}, {ID: "r", MaxTokens: -1}, {ID: "r", Resume: &engine.Resume{Tokens: 1}}} {
			_, err := client.Run(ctx, invalid)
			broken, ok := errors.AsType[*engine.BrokenError](err)
			Expect(ok).To(BeTrue())
			Expect(broken.Sent).To(BeFalse())
		}
		Expect(server.Received()).To(BeEmpty())
	}, SpecTimeout(10*time.Second))

	It("cancels a generation by a call and by closing the stream", func(ctx SpecContext) {
		server, client := start(standin.Settings{Ticks: make(chan struct{})})
		stream, err := client.Run(ctx, request("r-1"))
		Expect(err).NotTo(HaveOccurred())
		Expect(client.Cancel(ctx, "r-1")).To(Succeed())
		Expect(client.Cancel(ctx, "unknown")).To(Succeed())
		_, _, last, err := readAll(stream)
		Expect(err).NotTo(HaveOccurred())
		Expect(last.Reason).To(Equal("canceled"))
		stream, err = client.Run(ctx, request("r-2"))
		Expect(err).NotTo(HaveOccurred())
		Expect(stream.Close()).To(Succeed())
		Eventually(func() int { return server.Counts().Canceled }).Should(Equal(2))
	}, SpecTimeout(10*time.Second))

	It("reports a crash caused by a poisoned prompt, and a new boot after the restart", func(ctx SpecContext) {
		server, client := start(standin.Settings{Poison: "POISON"})
		before, err := client.State(ctx)
		Expect(err).NotTo(HaveOccurred())
		bad := request("r-1")
		bad.Prompt = "a POISON prompt"
		_, _, _, err = run(ctx, client, bad)
		broken, _ := errors.AsType[*engine.BrokenError](err)
		Expect(broken).NotTo(BeNil())
		Expect(broken.Sent).To(BeTrue())
		Eventually(server.Restart).Should(Succeed())
		Eventually(func() error {
			_, err := client.State(ctx)
			return err
		}).Should(Succeed())
		after, err := client.State(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(after.Boot).NotTo(Equal(before.Boot))
		Expect(server.Counts().Crashes).To(Equal(1))
		server.Crash()
		_, _, _, err = run(ctx, client, request("r-2"))
		Expect(errors.As(err, &broken)).To(BeTrue())
		Expect(broken.Reason).To(Equal(engine.ReasonConnect))
	}, SpecTimeout(10*time.Second))

	It("sends only its own headers", func(ctx SpecContext) {
		server, client := start(standin.Settings{Record: true})
		_, _, _, err := run(ctx, client, request("r-1"))
		Expect(err).NotTo(HaveOccurred())
		Expect(string(server.Received())).To(MatchRegexp(
			`^POST /v1/run HTTP/1.1\r\nHost: [0-9.:]+\r\nUser-Agent: hyssopwall\r\nContent-Length: \d+\r\nContent-Type: application/json\r\n\r\n\{`))
	}, SpecTimeout(10*time.Second))
})

// getState, getCacheEvents and export each call one query method of the client.
func getState(ctx context.Context, client *engine.Client) error {
	_, err := client.State(ctx)
	return err
}

func getCacheEvents(ctx context.Context, client *engine.Client) error {
	_, err := client.CacheEvents(ctx, 7)
	return err
}

func export(ctx context.Context, client *engine.Client) error {
	_, err := client.Export(ctx, "r-1")
	return err
}

// version returns the weights version that the engine reports.
func version(ctx context.Context, client *engine.Client) uint64 {
	state, err := client.State(ctx)
	Expect(err).NotTo(HaveOccurred())
	return state.Version
}

// pump lets the engine run steps until the context ends.
func pump(ctx context.Context, ticks chan<- struct{}) {
	for {
		select {
		case ticks <- struct{}{}:
		case <-ctx.Done():
			return
		}
	}
}
