package command_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"regexp"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopwall/hyssopwall/internal/backend/service"
	"github.com/hyssopwall/hyssopwall/internal/platform/supply"
	"github.com/hyssopwall/hyssopwall/internal/platform/weightstore"
	"github.com/hyssopwall/hyssopwall/internal/standin/cases"
	"github.com/hyssopwall/hyssopwall/internal/standin/command"
)

func TestCommand(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "command line")
}

type commandLine struct {
	Args []string
	Code int
	Says string
}

var address = regexp.MustCompile(`listens at (http://[0-9.:]+)`)

// run starts a command. It returns the URL and a function that stops the command and
// returns its exit code.
func run(args ...string) (string, func() int) {
	ctx, cancel := context.WithCancel(context.Background())
	reader, writer := io.Pipe()
	codes := make(chan int, 1)
	go func() {
		code := command.Run(ctx, args, writer, writer)
		_ = writer.Close()
		codes <- code
	}()
	lines := bufio.NewReader(reader)
	line, err := lines.ReadString('\n')
	Expect(err).NotTo(HaveOccurred())
	found := address.FindStringSubmatch(line)
	Expect(found).To(HaveLen(2), line)
	go func() { _, _ = io.Copy(io.Discard, lines) }()
	return found[1], func() int {
		cancel()
		return <-codes
	}
}

var _ = Describe("Run", func() {
	It("exits with the expected code and output for each command line", func(ctx SpecContext) {
		files, err := cases.Load[[]commandLine]("testdata/use.hujson")
		Expect(err).NotTo(HaveOccurred())
		for _, test := range files[0].Data {
			By(strings.Join(test.Args, " "))
			var out bytes.Buffer
			Expect(command.Run(ctx, test.Args, &out, &out)).To(Equal(test.Code), out.String())
			Expect(out.String()).To(ContainSubstring(test.Says))
		}
	}, SpecTimeout(20*time.Second))

	It("runs a platform that starts the ordered servers and releases weights", func(ctx SpecContext) {
		url, stop := run("platform", "--pool", "assay,engine,assay-models", "--model", "assay-models", "--server", "s,z,orders,demand,127.0.0.1:9")
		client := &supply.Client{Base: url}
		Expect(client.Place(ctx, supply.Order{ID: "o", Zone: "z", Pool: "assay", Class: supply.Spot, Count: 2})).To(Succeed())
		servers, err := client.Servers(ctx, "z")
		Expect(err).NotTo(HaveOccurred())
		Expect(servers).To(HaveLen(3))
		Eventually(func() error {
			_, err := (&weightstore.Client{Base: url}).Newest(ctx, "assay-models")
			return err
		}).WithContext(ctx).Should(Succeed())
		Expect(stop()).To(Equal(0))
	}, SpecTimeout(10*time.Second))

	It("exits with 1 if a service executed a call twice", func(ctx SpecContext) {
		url, stop := run("service")
		client := &service.Client{Base: url}
		for _, id := range []string{"a", "b"} {
			_, err := client.Call(ctx, service.Request{ID: id, Method: http.MethodPost, Path: "/", Body: []byte("same")})
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(stop()).To(Equal(1))
	}, SpecTimeout(10*time.Second))
})
