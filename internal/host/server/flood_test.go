package server

import (
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"

	"github.com/hyssopwall/hyssopwall/examples"
	"github.com/hyssopwall/hyssopwall/internal/fleet/identity"
	"github.com/hyssopwall/hyssopwall/internal/host/api"
	"github.com/hyssopwall/hyssopwall/internal/platform/hostlist"
	"github.com/hyssopwall/hyssopwall/internal/platform/object"
	"github.com/hyssopwall/hyssopwall/internal/platform/supply"
	"github.com/hyssopwall/hyssopwall/internal/standin/cases"
	"github.com/hyssopwall/hyssopwall/internal/standin/flood"
	"github.com/hyssopwall/hyssopwall/internal/standin/platform"
	"github.com/hyssopwall/hyssopwall/internal/standin/service"
	"github.com/hyssopwall/hyssopwall/internal/standin/supplier"
)

// floods also runs the specs of floods: memory is measured apart from other load.
var floods = flag.Bool("floods", false, "run the specs of floods of hostile clients")

// floodCase is a crowd that a host has to bear.
type floodCase struct {
	Pattern string
	Memory  int64 // of the host in MiB
	Files   int   // descriptors of the host
	flood.Crowd
}

// floodTimeout bounds what a spec waits for. It is far above what any step takes, since these
// specs check no times.
const floodTimeout = 40 * time.Second

// buildProgram builds the program once.
var buildProgram = sync.OnceValues(func() (string, error) {
	return gexec.Build("github.com/hyssopwall/hyssopwall/cmd/hyssopwall")
})

var _ = AfterSuite(gexec.CleanupBuildArtifacts)

// floodHosts counts the hosts, each of which has an address of its own.
var floodHosts atomic.Int64

// floodHost is a host process of its own, so that its memory can be measured.
type floodHost struct {
	ip     string
	pid    int
	exited chan struct{}
}

// startFloodHost starts a platform, a service and a host process, and waits until it answers.
func startFloodHost(ctx SpecContext, memory int64, files int) *floodHost {
	GinkgoHelper()
	const zone, port = "thu-duc-a", 8100
	simulated := platform.New(platform.Settings{Starter: &supplier.Supplier{Pools: map[string]supplier.Pool{"orderbook-app": {Service: &service.Settings{}}}}})
	Expect(simulated.Start("127.0.0.1:0")).To(Succeed())
	DeferCleanup(simulated.Close)
	_, err := Submit(ctx, &object.Client{Base: simulated.URL()}, "spec", 0, examples.Forge)
	Expect(err).NotTo(HaveOccurred())
	order := supply.Order{ID: "first", Zone: zone, Pool: "orderbook-app", Class: supply.OnDemand, Count: 1, Epoch: 1}
	Expect((&supply.Client{Base: simulated.URL()}).Place(ctx, order)).To(Succeed())

	folder, name := GinkgoT().TempDir(), identity.Host{Name: "h1", Zone: zone}
	authority, err := identity.CreateAuthority(time.Now(), time.Hour)
	Expect(err).NotTo(HaveOccurred())
	Expect(authority.Write(filepath.Join(folder, "authority.pem"), filepath.Join(folder, "authority.key"))).To(Succeed())
	pair, err := identity.Issue(authority, name, time.Now(), time.Hour)
	Expect(err).NotTo(HaveOccurred())
	Expect(pair.Write(filepath.Join(folder, "h1.pem"), filepath.Join(folder, "h1.key"))).To(Succeed())
	h := &floodHost{ip: fmt.Sprintf("127.%d.%d.%d", 128+os.Getpid()%60, os.Getpid()/60%250, 1+floodHosts.Add(1)%250), exited: make(chan struct{})}
	link := fmt.Sprintf("%s:%d", h.ip, port+1)
	simulated.SetHost(hostlist.Host{Name: name.Name, Zone: zone, Address: link})
	raw, err := json.Marshal(map[string]any{
		"host": name.Name, "zone": zone, "listen": fmt.Sprintf("%s:%d", h.ip, port), "link": link, "platform": simulated.URL(),
		"authority": "authority.pem", "certificate": "h1.pem", "key": "h1.key", "memory": memory, "files": files,
	})
	Expect(err).NotTo(HaveOccurred())
	path := filepath.Join(folder, "h1.hujson")
	Expect(os.WriteFile(path, raw, 0o600)).To(Succeed())
	program, err := buildProgram()
	Expect(err).NotTo(HaveOccurred())
	command := exec.Command(program, "serve", "--settings", path)
	command.Stdout, command.Stderr = GinkgoWriter, GinkgoWriter
	Expect(command.Start()).To(Succeed())
	h.pid = command.Process.Pid
	go func() {
		defer close(h.exited)
		_ = command.Wait()
	}()
	DeferCleanup(func() {
		_ = command.Process.Signal(syscall.SIGKILL)
		<-h.exited
	})
	Eventually(h.ask, floodTimeout).WithArguments(1).Should(Equal(http.StatusOK))
	return h
}

// address returns the address for callers.
func (h *floodHost) address() string { return h.ip + ":8100" }

// ask sends a request with a body of the given size over a new connection and returns the
// status, or 0 without a response.
func (h *floodHost) ask(size int) int {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: floodTimeout}
	response, err := client.Post("http://"+h.address()+"/v1/services/orderbook-app/list", "text/plain", strings.NewReader(strings.Repeat("x", size)))
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	return response.StatusCode
}

// descriptors returns the number of open file descriptors of the process.
func (h *floodHost) descriptors() int {
	found, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", h.pid))
	Expect(err).NotTo(HaveOccurred(), "the process must be alive")
	return len(found)
}

// Pattern: many clients send what takes memory and stay open short of its end, and come again
// when the host has closed their connection. Guards against a process that exceeds the memory
// of its machine, with the bytes that it has not read yet.
var _ = Describe("a flood of hostile clients", Serial, func() {
	all, err := cases.Load[floodCase]("testdata/crowds/*.hujson")
	if err != nil {
		panic(err)
	}
	for _, c := range all {
		It("leaves the host within its memory and at work: "+c.Name+", "+c.Data.Pattern, func(ctx SpecContext) {
			if !*floods {
				Skip("run apart from other load, with -floods")
			}
			h := startFloodHost(ctx, c.Data.Memory, c.Data.Files)
			stop := flood.Watch(h.pid, h.ip)
			DeferCleanup(c.Data.Play(h.address()))
			descriptors := h.descriptors()
			Eventually(h.ask, floodTimeout).WithArguments(1).Should(Equal(http.StatusOK))
			Eventually(h.ask, floodTimeout).WithArguments(api.MaxBody).Should(Equal(http.StatusOK))
			Expect(h.exited).NotTo(BeClosed())
			peak := stop()
			_, _ = fmt.Fprintf(GinkgoWriter, "MEASURED %s: peak %d MB of %d, %d resident and %d unread, descriptors %d of %d\n",
				c.Name, peak.Total()>>20, c.Data.Memory, peak.Resident>>20, peak.Unread>>20, descriptors, c.Data.Files)
			Expect(peak.Total()).To(BeNumerically("<=", c.Data.Memory<<20), "peak of the memory")
			Expect(max(descriptors, h.descriptors())).To(BeNumerically("<=", c.Data.Files), "descriptors")
		}, SpecTimeout(3*time.Minute))
	}
})
