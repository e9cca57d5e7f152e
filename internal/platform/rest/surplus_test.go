package rest_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopwall/hyssopwall/internal/platform/rest"
	"github.com/hyssopwall/hyssopwall/internal/standin/cases"
)

// surplusCase is an answer with further bytes that follow it at once.
type surplusCase struct {
	Pattern string
	Reply   string
	Surplus string
	Status  int
	Body    string
}

// Concurrent calls, which take a connection over while it is being returned to the pool.
const (
	surplusCallers = 64
	surplusCalls   = 300 // of each caller
)

// serveSurplus sends the answer and the surplus in one piece to each request.
func serveSurplus(listener net.Listener, c surplusCase) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer conn.Close()
			reader := bufio.NewReader(conn)
			for {
				request, err := http.ReadRequest(reader)
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, request.Body)
				if _, err := io.WriteString(conn, c.Reply+c.Surplus); err != nil {
					return
				}
			}
		}()
	}
}

// Pattern: a server in trouble sends more than the answer to a request. Guards against a caller
// that takes the surplus for the answer to the next request on the connection.
var _ = Describe("bytes after an answer", func() {
	all, err := cases.Load[surplusCase]("testdata/surplus/*.hujson")
	if err != nil {
		panic(err)
	}
	for _, c := range all {
		It("are never the answer to another request: "+c.Name+", "+c.Data.Pattern, func(ctx SpecContext) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			Expect(err).NotTo(HaveOccurred())
			defer listener.Close()
			go serveSurplus(listener, c.Data)
			type answer struct {
				status int
				body   string
			}
			var (
				mu      sync.Mutex
				answers = map[answer]int{}
				callers sync.WaitGroup
				caller  = rest.Caller{Base: "http://" + listener.Addr().String(), HTTP: rest.NewClient()}
			)
			for range surplusCallers {
				callers.Go(func() {
					for range surplusCalls {
						response, err := caller.Open(ctx, rest.Call{Method: http.MethodPost, Path: "/", Body: []byte("b")})
						if err != nil {
							continue // it is refused
						}
						body, err := caller.Read(response)
						_ = response.Body.Close()
						if err == nil {
							mu.Lock()
							answers[answer{response.StatusCode, string(body)}]++
							mu.Unlock()
						}
					}
				})
			}
			callers.Wait()
			Expect(answers).To(HaveLen(1))
			Expect(answers).To(HaveKey(answer{c.Data.Status, c.Data.Body}))
			if c.Data.Surplus == "" {
				Expect(answers).To(HaveKeyWithValue(answer{c.Data.Status, c.Data.Body}, surplusCallers*surplusCalls))
			}
		}, SpecTimeout(time.Minute))
	}
})
