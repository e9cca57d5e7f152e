package document_test

import (
	"encoding/json"
	"flag"
	"os"
	"reflect"
	"regexp"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopwall/hyssopwall/internal/site/document"
	"github.com/hyssopwall/hyssopwall/internal/site/form"
)

var update = flag.Bool("update", false, "write docs/document.schema.json")

const schemaFile = "../../../docs/document.schema.json"

// schema is the part of a JSON Schema that the tests read.
type schema struct {
	Defs map[string]struct {
		Properties map[string]struct {
			Enum    []string `json:"enum"`
			Pattern string   `json:"pattern"`
		} `json:"properties"`
		AdditionalProperties *bool `json:"additionalProperties"`
	} `json:"$defs"`
}

var _ = Describe("docs/document.schema.json", func() {
	var published schema

	BeforeEach(func() {
		generated, err := document.Schema()
		Expect(err).NotTo(HaveOccurred())
		if *update {
			Expect(os.WriteFile(schemaFile, generated, 0o644)).To(Succeed())
		}
		text, err := os.ReadFile(schemaFile)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(text)).To(Equal(string(generated)), "regenerate it with go test ./internal/site/document -update")
		Expect(json.Unmarshal(text, &published)).To(Succeed())
	})

	It("contains exactly the fields of the Go types", func() {
		for _, of := range []reflect.Type{
			reflect.TypeFor[document.Document](), reflect.TypeFor[document.Workspace](), reflect.TypeFor[document.Pool](),
			reflect.TypeFor[document.Route](), reflect.TypeFor[document.Objective](), reflect.TypeFor[document.Limit](),
		} {
			def := published.Defs[of.Name()]
			Expect(def.AdditionalProperties).To(HaveValue(BeFalse()), of.Name())
			Expect(def.Properties).To(HaveLen(of.NumField()), of.Name())
			for field := range of.Fields() {
				name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
				Expect(def.Properties).To(HaveKey(name))
			}
		}
	})

	It("lists only measures that the check accepts", func() {
		measures := published.Defs["Objective"].Properties["measure"].Enum
		Expect(measures).NotTo(BeEmpty())
		for _, measure := range measures {
			text := strings.Replace(sound(), `"measure": "success"`, `"within": "1s", "measure": "`+measure+`"`, 1)
			_, err := document.Decode("doc", []byte(text))
			Expect(err).NotTo(HaveOccurred(), measure)
		}
	})

	It("accepts the durations that MarshalText writes", func() {
		pattern := regexp.MustCompile(published.Defs["Route"].Properties["timeout"].Pattern)
		for _, d := range []time.Duration{0, time.Millisecond, 90 * time.Second, 36 * time.Hour, 1500 * time.Millisecond} {
			text, err := form.Duration(d).MarshalText()
			Expect(err).NotTo(HaveOccurred())
			Expect(pattern.Match(text)).To(BeTrue(), string(text))
		}
		Expect(pattern.MatchString("-1s")).To(BeFalse())
	})
})
