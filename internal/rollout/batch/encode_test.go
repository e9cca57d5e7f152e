package batch

import (
	"bytes"
	"encoding/json"
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("the encoding of a batch", func() {
	// batchOf returns a batch with items of a size.
	batchOf := func(items, size int) Batch {
		b := Batch{ID: "b", Route: "r<&>", Service: "s"}
		for i := range items {
			b.Items = append(b.Items, Item{ID: fmt.Sprint(i), Target: "/x", Body: bytes.Repeat([]byte{byte(i)}, size), Scorer: &Scorer{ID: "s", Body: []byte("y")}})
		}
		return b
	}

	// Guards against parts that are not those of one JSON text, which no host could read, and
	// against a digest that hosts with an earlier version would compute in another way.
	DescribeTable("in pieces is that of the whole", func(items, size int) {
		whole, err := json.Marshal(batchOf(items, size))
		Expect(err).NotTo(HaveOccurred())
		body, err := encodeBody(batchOf(items, size))
		Expect(err).NotTo(HaveOccurred())
		Expect(body.digest).To(Equal(digestOf(whole)))
		Expect(body.raw == nil).To(Equal(len(whole) > maxKeptBytes))
		var joined []byte
		parts := 0
		Expect(body.each(func(number int, part []byte) error {
			Expect(number).To(Equal(parts))
			parts++
			raw, err := decode[[]byte](part)
			joined = append(joined, raw...)
			return err
		})).To(Succeed())
		Expect(parts).To(Equal(body.parts))
		Expect(bytes.Equal(joined, whole)).To(BeTrue())
	},
		Entry("one small item", 1, 10),
		Entry("ordinary", 120, 5000),
		Entry("large", 30, 200_000),
		Entry("a large item", 1, 3_000_000),
	)

	It("bounds the batches that a host runs, but takes one of any size", func() {
		b := &Batches{MaxOpenBytes: 100}
		Expect(b.hasRoomFor(1000)).To(BeTrue())
		b.openBytes = 60
		Expect(b.hasRoomFor(40)).To(BeTrue())
		Expect(b.hasRoomFor(41)).To(BeFalse())
		b.MaxOpenBytes = 0
		Expect(b.hasRoomFor(1000)).To(BeTrue())
	})
})
