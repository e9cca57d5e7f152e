package batch

import (
	"slices"
	"time"
)

// This file keeps the copies that owners of batches send to this host (see standby.go).

const (
	// maxHeldCopies bounds the copies that a host keeps, in bytes with textOverhead. The
	// smallest hosts have 144 MB. A batch of 200 items with 150 events each takes 1.5 MB.
	maxHeldCopies = 16 << 20
	// textOverhead and itemOverhead estimate the memory of a text and of an item without
	// their characters.
	textOverhead = 40
	itemOverhead = 200
	// sweepInterval is the interval at which expired texts are dropped.
	sweepInterval = 5 * time.Second
)

// CopyRequest brings a standby's copy of a batch up to date. Sequence grows with each
// message of one epoch, and Base is that of the latest acknowledged one, on which this one
// builds. First starts the copy over. Listed names the items whose results are listed, which
// the copy no longer needs.
type CopyRequest struct {
	Batch    string     `cbor:"1,keyasint"`
	Epoch    uint64     `cbor:"2,keyasint"`
	Sequence uint64     `cbor:"3,keyasint"`
	First    bool       `cbor:"4,keyasint,omitempty"`
	Items    []CopyItem `cbor:"5,keyasint,omitempty"`
	Listed   []string   `cbor:"6,keyasint,omitempty"`
	Base     uint64     `cbor:"7,keyasint,omitempty"`
}

// CopyItem is the state of an item whose texts from position After on are in the message.
// They replace those from that position on: the owner may have dropped a text and begun
// anew, with other weights versions.
type CopyItem struct {
	ID      string  `cbor:"1,keyasint"`
	After   int     `cbor:"2,keyasint,omitempty"`
	Partial Partial `cbor:"3,keyasint"`
}

// CopyReply answers a CopyRequest. Missing means that the copy has to be started over,
// Refused that this host keeps none at present, and Stale that the batch has ended or has a
// later owner.
type CopyReply struct {
	Missing bool `cbor:"1,keyasint,omitempty"`
	Refused bool `cbor:"2,keyasint,omitempty"`
	Stale   bool `cbor:"3,keyasint,omitempty"`
}

// Check validates a decoded message. Its error is a *FieldError.
func (r CopyRequest) Check() error {
	if r.Batch == "" {
		return &FieldError{Field: "batch of a copy", Reason: "is empty"}
	}
	for _, item := range r.Items {
		if item.ID == "" || item.After < 0 {
			return &FieldError{Field: "items of a copy", Reason: "contains an invalid identifier or position"}
		}
	}
	return nil
}

// batchCopy is the copy of a batch's unlisted items.
type batchCopy struct {
	epoch, sequence uint64 // of the latest message
	items           map[string]Partial
	size            int
	updated         time.Time
}

// copySize returns the estimated memory of an item's copy.
func copySize(partial Partial) int {
	size := itemOverhead
	for _, text := range partial.Texts {
		size += len(text) + textOverhead
	}
	return size
}

// apply merges a message. It returns false if the message continues texts that the copy
// does not hold.
func (c *batchCopy) apply(request CopyRequest) bool {
	for _, item := range request.Items {
		previous, found := c.items[item.ID]
		if item.After > len(previous.Texts) {
			return false
		}
		partial := item.Partial
		added := copySize(partial)
		if item.After == len(previous.Texts) {
			partial.Texts = append(previous.Texts, partial.Texts...)
			if found {
				added -= itemOverhead
			}
		} else {
			// A new array, since the previous one may still be in use (see heldCopy).
			partial.Texts = slices.Concat(previous.Texts[:item.After], partial.Texts)
			added = copySize(partial) - copySize(previous)
		}
		partial.addFailures(previous)
		c.items[item.ID] = partial
		c.size += added
	}
	for _, id := range request.Listed {
		if partial, ok := c.items[id]; ok {
			c.size -= copySize(partial)
			delete(c.items, id)
		}
	}
	c.sequence, c.updated = request.Sequence, time.Now()
	return true
}

// ServeCopy takes a message of the owner of a batch. A message that arrives after a later one
// of the same owner is ignored, and so is one of an earlier owner.
func (b *Batches) ServeCopy(request CopyRequest) CopyReply {
	if request.Check() != nil {
		return CopyReply{Refused: true}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.initMaps()
	k, c := b.known[request.Batch], b.copies[request.Batch]
	switch {
	case k.Ended || k.Epoch > request.Epoch || c != nil && c.epoch > request.Epoch:
		return CopyReply{Stale: true}
	case c != nil && c.epoch == request.Epoch && c.sequence >= request.Sequence:
		return CopyReply{} // a late message, whose sender no longer waits
	case request.First:
		b.dropCopy(request.Batch)
		c = &batchCopy{epoch: request.Epoch, items: map[string]Partial{}}
		b.copies[request.Batch] = c
	case c == nil || c.epoch != request.Epoch || c.sequence < request.Base:
		// This process is a new one, or has dropped the copy and then received a late message.
		return CopyReply{Missing: true}
	}
	return b.updateCopy(c, request)
}

// updateCopy applies a message to a copy. It drops the copy if the message does not fit or
// the copies become too large. The caller holds the lock.
func (b *Batches) updateCopy(c *batchCopy, request CopyRequest) CopyReply {
	before := c.size
	applied := c.apply(request)
	b.copiesSize += c.size - before
	switch {
	case !applied:
		b.dropCopy(request.Batch)
		return CopyReply{Missing: true}
	case b.copiesSize > maxHeldCopies:
		b.dropCopy(request.Batch)
		return CopyReply{Refused: true}
	}
	return CopyReply{}
}

// dropCopy frees the copy of a batch, if there is one. The caller holds the lock.
func (b *Batches) dropCopy(id string) {
	if c := b.copies[id]; c != nil {
		b.copiesSize -= c.size
		delete(b.copies, id)
	}
}

// heldCopy returns the copy of a batch that this host keeps as its standby. The texts must
// not be changed, but may be appended to.
func (b *Batches) heldCopy(id string) PartialsReply {
	b.mu.Lock()
	defer b.mu.Unlock()
	reply := PartialsReply{Incarnation: b.Incarnation}
	c := b.copies[id]
	if c == nil {
		return reply
	}
	reply.Epoch, reply.Sequence, reply.Partials = c.epoch, c.sequence, make(map[string]Partial, len(c.items))
	for item, partial := range c.items {
		partial.Texts = slices.Clip(partial.Texts)
		reply.Partials[item] = partial
	}
	return reply
}

// CopiesSize returns the estimated memory of the copies that this host keeps, in bytes.
func (b *Batches) CopiesSize() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.copiesSize
}

// sweep drops the partial results that are older than partialRetention, the copies that no
// message has updated for as long, and those of ended batches.
func (b *Batches) sweep(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for item, kept := range b.partials {
		if now.Sub(kept.stored) >= partialRetention {
			delete(b.partials, item)
		}
	}
	for id, c := range b.copies {
		if now.Sub(c.updated) >= partialRetention || b.known[id].Ended {
			b.dropCopy(id)
		}
	}
}
