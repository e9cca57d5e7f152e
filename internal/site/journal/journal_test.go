package journal_test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"sync"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopwall/hyssopwall/internal/site/event"
	"github.com/hyssopwall/hyssopwall/internal/site/journal"
)

func TestJournal(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Journal Suite")
}

var _ = Describe("a journal", func() {
	It("writes a JSON line for each event, with its number and pairs", func() {
		reader, writer := io.Pipe()
		j := journal.New(writer, "host", "h1")
		j.Log().Emit(event.LeaseAcquired, "duty", "control", "epoch", 3)
		line, err := bufio.NewReader(reader).ReadBytes('\n')
		Expect(err).NotTo(HaveOccurred())
		var got map[string]any
		Expect(json.Unmarshal(line, &got)).To(Succeed())
		Expect(got).To(HaveKeyWithValue("host", "h1"))
		Expect(got).To(HaveKeyWithValue("event", event.LeaseAcquired.String()))
		Expect(got).To(HaveKeyWithValue("epoch", 3.0))
		go func() { _, _ = io.Copy(io.Discard, reader) }()
		j.Close()
	})

	// Guards against a write for each line, which took most of the time of hosts that follow many
	// servers, and against lines that stay in the buffer or are lost after an output has failed.
	It("writes lines that wait together at once, all of them, and goes on after a failure", func() {
		out := &slowOutput{release: make(chan struct{})}
		j := journal.New(out)
		for i := range 500 {
			j.Log().Emit(event.LeaseAcquired, "epoch", i)
		}
		close(out.release)
		Eventually(out.lines).Should(Equal(500), "those of the write that fails included")
		Expect(out.writes()).To(BeNumerically("<", 50))
		j.Log().Emit(event.LeaseLost, "duty", "control")
		Eventually(out.lines).Should(Equal(501))
		j.Close()
	})

	// Guards against a stalled reader of standard output blocking request handling.
	It("never blocks the caller, and reports how many lines it dropped", func() {
		reader, writer := io.Pipe()
		j := journal.New(writer)
		const lines = 10_000
		for i := range lines { // must return although nothing reads the pipe
			j.Log().Emit(event.LeaseLost, "n", i)
		}
		done := make(chan []map[string]any)
		go func() {
			var all []map[string]any
			scanner := bufio.NewScanner(reader)
			for scanner.Scan() {
				var got map[string]any
				if json.Unmarshal(scanner.Bytes(), &got) == nil {
					all = append(all, got)
				}
			}
			done <- all
		}()
		j.Close()
		Expect(writer.Close()).To(Succeed())
		written, dropped := 0, 0.0
		for _, got := range <-done {
			if got["event"] == event.LinesDropped.String() {
				dropped += got["lines"].(float64)
			} else {
				written++
			}
		}
		Expect(dropped).To(BeNumerically(">", 0))
		Expect(float64(written) + dropped).To(Equal(float64(lines)))
	})
})

// slowOutput waits until it is released, and fails the first write.
type slowOutput struct {
	release chan struct{}

	mu     sync.Mutex
	data   []byte
	number int
}

func (o *slowOutput) Write(data []byte) (int, error) {
	<-o.release
	o.mu.Lock()
	defer o.mu.Unlock()
	o.number++
	o.data = append(o.data, data...)
	if o.number == 1 {
		return 0, io.ErrShortWrite
	}
	return len(data), nil
}

func (o *slowOutput) lines() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return bytes.Count(o.data, []byte("\n"))
}

func (o *slowOutput) writes() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.number
}
