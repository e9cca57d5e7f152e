package object_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopwall/hyssopwall/internal/platform/object"
	"github.com/hyssopwall/hyssopwall/internal/platform/rest"
	"github.com/hyssopwall/hyssopwall/internal/standin/cases"
	"github.com/hyssopwall/hyssopwall/internal/standin/clock"
	"github.com/hyssopwall/hyssopwall/internal/standin/fault"
	"github.com/hyssopwall/hyssopwall/internal/standin/platform"
)

func TestObject(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "object client")
}

// faultCase is a call that meets one fault. Error is the name of the error type that the
// client must return, and Effect is set if the call must have taken effect.
type faultCase struct {
	Name   string
	Call   string
	Kind   fault.Kind
	Error  string
	Effect bool
}

func start(settings platform.Settings) (*platform.Platform, *object.Client) {
	server := platform.New(settings)
	Expect(server.Start("127.0.0.1:0")).To(Succeed())
	DeferCleanup(server.Close)
	return server, &object.Client{Base: server.URL(), Source: "host-1"}
}

// errorType returns the name of the error's type, empty for nil.
func errorType(err error) string {
	if err == nil {
		return ""
	}
	return reflect.TypeOf(err).Elem().Name()
}

func perform(ctx context.Context, client *object.Client, call string, version uint64) error {
	var err error
	switch call {
	case "get":
		_, err = client.Get(ctx, "a/x")
	case "list":
		_, err = client.List(ctx, "a/")
	case "watch":
		_, err = client.Watch(ctx, "a/", version-1)
	case "put":
		_, err = client.Put(ctx, "a/x", []byte("new"), version)
	case "delete":
		err = client.Delete(ctx, "a/x", version)
	default:
		Fail("unknown call " + call)
	}
	return err
}

var _ = Describe("Client", func() {
	It("returns an error that matches the effect of each fault", func(ctx SpecContext) {
		files, err := cases.Load[[]faultCase]("testdata/faults.hujson")
		Expect(err).NotTo(HaveOccurred())
		for _, test := range files[0].Data {
			By(test.Name)
			server, client := start(platform.Settings{})
			before, err := client.Put(ctx, "a/x", []byte("old"), 0)
			Expect(err).NotTo(HaveOccurred())
			server.Faults().Add(fault.Rule{Step: fault.Step(test.Call), Kind: test.Kind, Count: 1})
			failed := perform(ctx, client, test.Call, before.Version)
			Expect(errorType(failed)).To(Equal(test.Error), "%v", failed)
			Expect(server.Faults().Injected(fault.Step(test.Call), test.Kind)).To(Equal(1))
			after, err := client.Get(ctx, "a/x")
			effect := err != nil || string(after.Value) == "new"
			Expect(effect).To(Equal(test.Effect))
		}
	}, SpecTimeout(20*time.Second))

	It("stores, rejects and watches by version", func(ctx SpecContext) {
		_, client := start(platform.Settings{})
		first, err := client.Put(ctx, "a/x", []byte("1"), 0)
		Expect(err).NotTo(HaveOccurred())
		_, err = client.Put(ctx, "a/x", []byte("2"), first.Version+7)
		Expect(err).To(Equal(&object.ConflictError{Key: "a/x", Want: first.Version + 7, Have: first.Version}))
		_, err = client.Put(ctx, "b/y", []byte("3"), 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(client.Delete(ctx, "a/x", first.Version)).To(Succeed())
		_, err = client.Get(ctx, "a/x")
		Expect(err).To(Equal(&object.NotFoundError{Key: "a/x"}))

		batch, err := client.Watch(ctx, "", first.Version)
		Expect(err).NotTo(HaveOccurred())
		Expect(batch.Objects).To(HaveLen(2))
		Expect(batch.Objects[1].Deleted).To(BeTrue())
		Expect(batch.Revision).To(Equal(uint64(3)))
		list, err := client.List(ctx, "")
		Expect(err).NotTo(HaveOccurred())
		Expect(list.Objects).To(HaveLen(1))
		_, err = client.Put(ctx, "big", make([]byte, object.MaxValue+1), 0)
		Expect(errorType(err)).To(Equal("SizeError"))
	}, SpecTimeout(10*time.Second))

	It("returns from a watch on a change and on an outage", func(ctx SpecContext) {
		server, client := start(platform.Settings{})
		type result struct {
			batch object.Batch
			err   error
		}
		results := make(chan result)
		watch := func() {
			batch, err := client.Watch(ctx, "a/", 0)
			results <- result{batch, err}
		}
		go watch()
		Eventually(func() int { return server.Calls(platform.Watch) }).Should(Equal(1))
		_, err := client.Put(ctx, "a/x", []byte("1"), 0)
		Expect(err).NotTo(HaveOccurred())
		Expect((<-results).batch.Objects).To(HaveLen(1))
		go func() {
			_, err := client.Watch(ctx, "a/", 1)
			results <- result{err: err}
		}()
		Eventually(func() int { return server.Calls(platform.Watch) }).Should(Equal(2))
		server.SetOutage(fault.Refuse)
		Expect(errorType((<-results).err)).To(Equal("OutageError"))
		server.SetOutage("")
		server.Cut("host-1", true)
		_, err = client.Put(ctx, "a/x", []byte("2"), 1)
		Expect(errorType(err)).To(Equal("UnknownError"))
		other := &object.Client{Base: server.URL(), Source: "host-2"}
		_, err = other.Put(ctx, "a/x", []byte("2"), 1)
		Expect(err).NotTo(HaveOccurred())
	}, SpecTimeout(10*time.Second))

	It("returns the wait of a rate limit, by an injected clock", func(ctx SpecContext) {
		var now clock.Manual
		_, client := start(platform.Settings{Writes: 2, Now: now.Now})
		for _, key := range []string{"a", "b"} {
			_, err := client.Put(ctx, key, nil, 0)
			Expect(err).NotTo(HaveOccurred())
		}
		_, err := client.Put(ctx, "c", nil, 0)
		limit, ok := errors.AsType[*object.LimitError](err)
		Expect(ok).To(BeTrue(), "%v", err)
		Expect(limit.RetryAfter).To(BeNumerically("~", 500*time.Millisecond, 2*time.Millisecond))
		now.Advance(limit.RetryAfter)
		_, err = client.Put(ctx, "c", nil, 0)
		Expect(err).NotTo(HaveOccurred())
	}, SpecTimeout(10*time.Second))

	It("reports that nothing was sent if no connection was made", func(ctx SpecContext) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		address := listener.Addr().String()
		Expect(listener.Close()).To(Succeed())
		_, err = (&object.Client{Base: "http://" + address}).Put(ctx, "a", nil, 0)
		Expect(errorType(err)).To(Equal("OutageError"))
		lost, ok := errors.AsType[*rest.LostError](err)
		Expect(ok).To(BeTrue())
		Expect(lost.Sent).To(BeFalse())
	}, SpecTimeout(10*time.Second))

	It("never sends a write twice, even on a reused connection", func(ctx SpecContext) {
		var calls atomic.Int64
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			if calls.Add(1) == 1 {
				_, _ = w.Write([]byte("{}"))
				return
			}
			panic(http.ErrAbortHandler)
		}))
		DeferCleanup(server.Close)
		client := rest.NewClient()
		caller := rest.Caller{Base: server.URL, HTTP: client}
		header := http.Header{"Idempotency-Key": {"k"}}
		call := rest.Call{Method: http.MethodPost, Path: "/", Header: header, Body: []byte("b")}
		_, err := caller.Do(ctx, call)
		Expect(err).NotTo(HaveOccurred())
		_, err = caller.Do(ctx, call)
		lost, ok := errors.AsType[*rest.LostError](err)
		Expect(ok).To(BeTrue())
		Expect(lost.Sent).To(BeTrue())
		Expect(calls.Load()).To(Equal(int64(2)))

		// Without the protection of package rest, net/http sends the same request again.
		calls.Store(0)
		for range 2 {
			plain, err := http.NewRequestWithContext(ctx, http.MethodPost, server.URL, strings.NewReader("b"))
			Expect(err).NotTo(HaveOccurred())
			plain.Header = header
			answer, err := client.Do(plain)
			if err == nil {
				_, _ = io.Copy(io.Discard, answer.Body)
				_ = answer.Body.Close()
			}
		}
		Expect(calls.Load()).To(BeNumerically(">", 2))
	}, SpecTimeout(10*time.Second))
})
