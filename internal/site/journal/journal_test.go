package journal_test

import (
	"bufio"
	"encoding/json"
	"io"
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
