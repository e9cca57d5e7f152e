package hangup_test

import (
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopwall/hyssopwall/internal/site/hangup"
)

// childVariable is the environment variable that makes the test binary wait for SIGHUP
// instead of running tests.
const childVariable = "HANGUP_CHILD"

func TestMain(m *testing.M) {
	if os.Getenv(childVariable) != "" {
		time.Sleep(200 * time.Millisecond) // startup work before the process calls Notify
		hangups := hangup.Notify()
		_, _ = os.Stdout.WriteString("listens\n")
		select {
		case <-hangups:
			os.Exit(0)
		case <-time.After(5 * time.Second):
			os.Exit(3)
		}
	}
	os.Exit(m.Run())
}

func TestHangup(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Hangup Suite")
}

// Guards against a settings reload on all hosts terminating those that are still starting.
var _ = Describe("SIGHUP", func() {
	It("does not terminate a process before it calls Notify, and reaches it afterwards", func() {
		command := exec.Command(os.Args[0])
		command.Env = append(os.Environ(), childVariable+"=1")
		out, err := command.StdoutPipe()
		Expect(err).NotTo(HaveOccurred())
		Expect(command.Start()).To(Succeed())
		time.Sleep(50 * time.Millisecond) // the loader and runtime are done, Notify is not yet called
		Expect(command.Process.Signal(syscall.SIGHUP)).To(Succeed())
		_, err = out.Read(make([]byte, 8))
		Expect(err).NotTo(HaveOccurred(), "the process is still running")
		Expect(command.Process.Signal(syscall.SIGHUP)).To(Succeed())
		Expect(command.Wait()).To(Succeed())
	})
})
