package load_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopwall/hyssopwall/internal/standin/engine"
	"github.com/hyssopwall/hyssopwall/internal/standin/load"
)

func TestLoad(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "load tool")
}

// serve answers as an entry host does. Requests whose body contains the digit 0
// fail in the way that the key names.
func serve(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	fault := ""
	if strings.Contains(string(body), "0") {
		fault = strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
	}
	if fault == "refused" {
		w.WriteHeader(http.StatusTooManyRequests)
		_, _ = w.Write([]byte(`{"error":{"code":"quota","ran":"no","repeat":true}}`))
		return
	}
	if strings.HasPrefix(r.URL.Path, "/v1/services/") {
		_, _ = w.Write(body)
		return
	}
	var request struct {
		Prompt    string
		MaxTokens int `json:"max_tokens"`
		Seed      int64
		Stream    bool
	}
	_ = json.Unmarshal(body, &request)
	if fault == "crossed" {
		request.Seed++
	}
	text, count := engine.Text(request.Prompt, request.Seed, request.MaxTokens)
	if !request.Stream {
		_, _ = fmt.Fprintf(w, `{"choices":[{"text":%q}],"usage":{"completion_tokens":%d}}`, text, count)
		return
	}
	_, _ = fmt.Fprintf(w, "data: {\"choices\":[{\"text\":%q}]}\n\n", text)
	if fault != "cut" {
		_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
	}
}

var _ = Describe("Schedule", func() {
	It("depends only on the seed and keeps to the rate", func() {
		first := load.Schedule(7, 100, 100*time.Second)
		Expect(load.Schedule(7, 100, 100*time.Second)).To(Equal(first))
		Expect(load.Schedule(8, 100, 100*time.Second)).NotTo(Equal(first))
		// Five standard deviations of a Poisson count.
		Expect(len(first)).To(BeNumerically("~", 10_000, 500))
	})
})

var _ = Describe("Run", func() {
	It("distinguishes complete responses from refused, truncated and crossed ones", func(ctx SpecContext) {
		server := httptest.NewServer(http.HandlerFunc(serve))
		DeferCleanup(server.Close)
		workspaces := []load.Workspace{
			{Name: "fine", Kind: load.Completion, Rate: 400},
			{Name: "echo", Kind: load.Service, Service: "orders", Rate: 400, SendIdempotencyKey: true},
			{Name: "crossed", Key: "crossed", Kind: load.Completion, Rate: 400},
			{Name: "refused", Key: "refused", Kind: load.Service, Service: "orders", Rate: 400},
			{Name: "cut", Key: "cut", Kind: load.Stream, Rate: 400},
		}
		report := load.Run(ctx, load.Settings{Hosts: []string{server.URL}, Workspaces: workspaces, Duration: 200 * time.Millisecond, Seed: 1})
		lines := map[string]load.Line{}
		for _, line := range report.Lines {
			lines[line.Workspace] = line
			Expect(line.Sent).To(BeNumerically(">", 20))
		}
		Expect(lines["fine"].Good).To(Equal(lines["fine"].Sent))
		Expect(lines["fine"].Tokens).To(BeNumerically(">", lines["fine"].Sent))
		Expect(lines["echo"].Good).To(Equal(lines["echo"].Sent))
		Expect(lines["crossed"].Wrong).To(BeNumerically(">", 0))
		Expect(report.Wrong).To(Equal(lines["crossed"].Wrong))
		Expect(lines["refused"].Errors["quota"]).To(BeNumerically(">", 0))
		Expect(lines["cut"].Errors["lost"]).To(BeNumerically(">", 0))
		Expect(lines["cut"].Good + lines["cut"].Errors["lost"]).To(Equal(lines["cut"].Sent))
		worst := lines[report.Worst]
		for _, line := range report.Lines {
			Expect(line.Good * worst.Sent).To(BeNumerically(">=", worst.Good*line.Sent))
		}
	}, SpecTimeout(20*time.Second))
})
