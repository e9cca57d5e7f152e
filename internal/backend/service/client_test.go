package service_test

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopwall/hyssopwall/internal/backend/service"
	"github.com/hyssopwall/hyssopwall/internal/standin/cases"
	"github.com/hyssopwall/hyssopwall/internal/standin/fault"
	standin "github.com/hyssopwall/hyssopwall/internal/standin/service"
)

func TestService(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "service client")
}

// faultCase is a call during which one fault occurs. Runs is the number of times that the
// call ran.
type faultCase struct {
	Name    string
	Kind    fault.Kind
	Refused int
	Broken  string
	Status  int
	Runs    int
}

// request returns a valid request with an idempotency key.
func request() service.Request {
	return service.Request{
		ID:     "r-1",
		Method: http.MethodPost,
		Path:   "/receipts?lot=7",
		Header: map[string][]string{standin.HeaderKey: {"lot-7"}},
		Body:   []byte("12 bangles"),
	}
}

var _ = Describe("Client", func() {
	It("reports each fault of a call, and sends the call once", func(ctx SpecContext) {
		files, err := cases.Load[[]faultCase]("testdata/faults.hujson")
		Expect(err).NotTo(HaveOccurred())
		for _, test := range files[0].Data {
			By(test.Name)
			server := standin.New(standin.Settings{})
			Expect(server.Start("127.0.0.1:0")).To(Succeed())
			client := &service.Client{Base: server.URL()}
			// HTTP libraries resend a request on their own over a reused connection only.
			first := request()
			first.Header = nil
			_, err := client.Call(ctx, first)
			Expect(err).NotTo(HaveOccurred())
			if test.Kind != "" {
				server.Faults().Add(fault.Rule{Step: standin.Call, Kind: test.Kind, Count: 1})
			}
			response, err := client.Call(ctx, request())
			refused, _ := errors.AsType[*service.RefusedError](err)
			broken, _ := errors.AsType[*service.BrokenError](err)
			switch {
			case test.Refused != 0:
				Expect(refused).To(Equal(&service.RefusedError{Status: test.Refused, RetryAfter: time.Second}))
			case test.Broken != "":
				Expect(broken).NotTo(BeNil(), "%v", err)
				Expect(broken.Reason).To(Equal(test.Broken))
				Expect(broken.Sent).To(BeTrue())
			default:
				Expect(err).NotTo(HaveOccurred())
				Expect(response.Status).To(Equal(test.Status))
			}
			Expect(server.Executions("lot-7")).To(Equal(test.Runs))
			server.Close()
		}
	}, SpecTimeout(20*time.Second))

	It("distinguishes an unreachable service from a call that may have run", func(ctx SpecContext) {
		server := standin.New(standin.Settings{})
		Expect(server.Start("127.0.0.1:0")).To(Succeed())
		server.Crash()
		_, err := (&service.Client{Base: server.URL()}).Call(ctx, request())
		broken, _ := errors.AsType[*service.BrokenError](err)
		Expect(broken).NotTo(BeNil())
		Expect(broken.Sent).To(BeFalse())
		Expect(server.Restart()).To(Succeed())
		Expect(server.Restart()).To(Succeed())
		_, err = (&service.Client{Base: server.URL()}).Call(ctx, request())
		Expect(err).NotTo(HaveOccurred())
		head := request()
		head.Method = http.MethodHead
		_, err = (&service.Client{Base: server.URL()}).Call(ctx, head)
		Expect(err).NotTo(HaveOccurred())
		server.Close()
		Expect(server.Restart()).To(Succeed())
		_, err = (&service.Client{Base: server.URL()}).Call(ctx, request())
		Expect(errors.As(err, &broken)).To(BeTrue())
		Expect(broken.Sent).To(BeFalse())
	}, SpecTimeout(10*time.Second))

	It("rejects a response without length or digest that may be truncated", func(ctx SpecContext) {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			connection, _, err := http.NewResponseController(w).Hijack()
			if err == nil {
				_, _ = connection.Write([]byte("HTTP/1.0 200 OK\r\nX-Request-Id: " + r.Header.Get("X-Request-Id") + "\r\n\r\nhalf an ans"))
				_ = connection.Close()
			}
		}))
		DeferCleanup(server.Close)
		_, err := (&service.Client{Base: server.URL}).Call(ctx, request())
		broken, _ := errors.AsType[*service.BrokenError](err)
		Expect(broken).NotTo(BeNil())
		Expect(broken.Reason).To(Equal(service.ReasonTruncated))
	}, SpecTimeout(10*time.Second))

	It("does not send a request without an ID", func(ctx SpecContext) {
		server := standin.New(standin.Settings{})
		Expect(server.Start("127.0.0.1:0")).To(Succeed())
		DeferCleanup(server.Close)
		unnamed := request()
		unnamed.ID = ""
		_, err := (&service.Client{Base: server.URL()}).Call(ctx, unnamed)
		broken, _ := errors.AsType[*service.BrokenError](err)
		Expect(broken).NotTo(BeNil())
		Expect(broken.Sent).To(BeFalse())
		Expect(server.Total()).To(BeZero())
	}, SpecTimeout(10*time.Second))

	It("does not follow redirects", func(ctx SpecContext) {
		redirected := 0
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
			if r.URL.Path == "/again" {
				redirected++
			}
			http.Redirect(w, r, "/again", http.StatusTemporaryRedirect)
		}))
		DeferCleanup(server.Close)
		response, err := (&service.Client{Base: server.URL}).Call(ctx, request())
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Status).To(Equal(http.StatusTemporaryRedirect))
		Expect(redirected).To(BeZero())
	}, SpecTimeout(10*time.Second))
})
