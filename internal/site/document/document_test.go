package document_test

import (
	"errors"
	"os"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopwall/hyssopwall/internal/site/document"
	"github.com/hyssopwall/hyssopwall/internal/site/form"
	"github.com/hyssopwall/hyssopwall/internal/standin/cases"
)

func TestDocument(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Document Suite")
}

// fault is an edit of the valid document and the problem that it must cause.
type fault struct {
	Name, Old, New, Field, Reason string
}

// sound returns a valid document.
func sound() string {
	raw, err := os.ReadFile("testdata/sound.hujson")
	Expect(err).NotTo(HaveOccurred())
	return string(raw)
}

var _ = Describe("a document", func() {
	It("is accepted when it is valid", func() {
		doc, err := document.Decode("sound", []byte(sound()))
		Expect(err).NotTo(HaveOccurred())
		Expect(doc.Workspaces[0].Keys).To(HaveLen(1))
	})

	It("is rejected with the field and reason of each problem", func() {
		loaded, err := cases.Load[[]fault]("testdata/faults.hujson")
		Expect(err).NotTo(HaveOccurred())
		for _, f := range loaded[0].Data {
			Expect(sound()).To(ContainSubstring(f.Old), f.Name)
			_, err := document.Decode("doc", []byte(strings.Replace(sound(), f.Old, f.New, 1)))
			var problems *form.ProblemsError
			Expect(errors.As(err, &problems)).To(BeTrue(), f.Name)
			Expect(problems.Problems).To(ContainElement(And(
				HaveField("Field", f.Field),
				HaveField("Reason", f.Reason),
			)), f.Name)
		}
	})

	It("reports all problems at once, with line and column", func() {
		text := strings.Replace(sound(), "\"share\": 2", "\"shares\": 2", 1)
		text = strings.Replace(text, "\"kind\": \"service\"", "\"sort\": \"service\"", 1)
		_, err := document.Decode("doc", []byte(text))
		var problems *form.ProblemsError
		Expect(errors.As(err, &problems)).To(BeTrue())
		Expect(problems.Problems).To(HaveLen(2))
		Expect(problems.Problems[0].Line).To(Equal(7))
		Expect(problems.Problems[0].Column).To(Equal(17))
		Expect(problems.Problems[0].Fix).To(Equal("write \"share\""))
	})
})

func FuzzDecode(f *testing.F) {
	raw, err := os.ReadFile("testdata/sound.hujson")
	if err != nil {
		f.Fatal(err)
	}
	f.Add(raw)
	f.Fuzz(func(t *testing.T, data []byte) {
		_, err := document.Decode("fuzz", data)
		var problems *form.ProblemsError
		if err != nil && (!errors.As(err, &problems) || len(problems.Problems) == 0) {
			t.Fatalf("error without problems: %v", err)
		}
	})
}
