package audit_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopwall/hyssopwall/internal/platform/object"
	"github.com/hyssopwall/hyssopwall/internal/site/audit"
	"github.com/hyssopwall/hyssopwall/internal/standin/cases"
)

func TestAudit(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Audit Suite")
}

// diffCase is a pair of documents and their expected changes.
type diffCase struct {
	Name string          `json:"name"`
	From string          `json:"from"`
	To   string          `json:"to"`
	Want json.RawMessage `json:"want"`
}

// memory is an in-memory Store.
type memory struct {
	values map[string][]byte
	lost   int // number of next writes that take effect but return an unknown outcome
}

func (m *memory) Get(_ context.Context, key string) (object.Object, error) {
	value, ok := m.values[key]
	if !ok {
		return object.Object{}, &object.NotFoundError{Key: key}
	}
	return object.Object{Key: key, Version: 1, Value: value}, nil
}

func (m *memory) Put(_ context.Context, key string, value []byte, expect uint64) (object.Object, error) {
	if _, ok := m.values[key]; ok && expect == 0 {
		return object.Object{}, &object.ConflictError{Key: key, Have: 1}
	}
	m.values[key] = value
	if m.lost > 0 {
		m.lost--
		return object.Object{}, &object.UnknownError{Key: key, Err: errors.New("timeout")}
	}
	return object.Object{Key: key, Version: 1, Value: value}, nil
}

func (m *memory) Delete(_ context.Context, key string, _ uint64) error {
	delete(m.values, key)
	return nil
}

// version returns a document of version n submitted as id.
func version(n uint64, id string) audit.Document {
	return audit.Document{
		Version: n, ID: id, By: "op" + id, At: time.Unix(int64(n), 0),
		Body: []byte(fmt.Sprintf(`{"site":"s%s"}`, id)),
	}
}

var _ = Describe("the audit trail", func() {
	It("lists the fields in which documents differ", func() {
		loaded, err := cases.Load[[]diffCase]("testdata/diff.hujson")
		Expect(err).NotTo(HaveOccurred())
		for _, c := range loaded[0].Data {
			changes, err := audit.Diff([]byte(c.From), []byte(c.To))
			Expect(err).NotTo(HaveOccurred(), c.Name)
			got, err := json.Marshal(changes)
			Expect(err).NotTo(HaveOccurred())
			Expect(got).To(MatchJSON(c.Want), c.Name)
		}
	})

	It("contains only accepted submissions, also after lost responses", func(ctx SpecContext) {
		store := &memory{values: make(map[string][]byte), lost: 2}
		first, second, rejected := version(1, "a"), version(2, "b"), version(2, "c")
		for _, pair := range [][2]audit.Document{{first, {}}, {second, first}, {rejected, first}, {version(3, "d"), second}} {
			entry, err := audit.NewEntry(pair[0], pair[1])
			Expect(err).NotTo(HaveOccurred())
			Expect(audit.Write(ctx, store, entry)).To(Succeed())
		}
		trail, err := audit.Read(ctx, store, 3, "d", 10)
		Expect(err).NotTo(HaveOccurred())
		Expect(trail).To(HaveLen(3))
		Expect(trail[1].By).To(Equal("opb"))
		Expect(trail[1].PreviousDigest).To(Equal(trail[2].Digest))
		Expect(string(trail[1].Changes[0].To)).To(Equal(`"sb"`))
	})

	It("reports the missing entry if it has a gap", func(ctx SpecContext) {
		store := &memory{values: make(map[string][]byte)}
		entry, err := audit.NewEntry(version(2, "b"), version(1, "a"))
		Expect(err).NotTo(HaveOccurred())
		Expect(audit.Write(ctx, store, entry)).To(Succeed())
		trail, err := audit.Read(ctx, store, 2, "b", 10)
		var missing *audit.MissingError
		Expect(errors.As(err, &missing)).To(BeTrue())
		Expect(missing.Version).To(BeEquivalentTo(1))
		Expect(trail).To(HaveLen(1))
	})
})
