package batch

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/hyssopwall/hyssopwall/internal/site/event"
)

// With ToleratedZones the owner of a batch keeps a copy of the texts and failures of its
// items at one other host, the standby: the first host of the batch's succession that
// answers. So the host that takes the batch over first has the copy already, also when the
// owner's zone is lost as a whole.

const (
	// copyInterval is the interval of the messages to a standby: the text that a lost owner
	// takes with it.
	copyInterval = 300 * time.Millisecond
	// copyTimeout bounds one message, so that a silent standby delays the next round little.
	copyTimeout = 300 * time.Millisecond
	// copyFetchTimeout bounds the request for a copy, which may hold megabytes.
	copyFetchTimeout = 400 * time.Millisecond
	// copyKeepAlive is the longest time between two messages, below partialRetention.
	copyKeepAlive = 10 * time.Second
	// maxCopyMisses is the number of messages in a row without an answer after which the
	// next host becomes the standby.
	maxCopyMisses = 2
	// maxStandbys is the number of hosts that are tried as the standby of a batch. A new
	// owner asks all of them.
	maxStandbys = 3
	// standbyRetryPause is the pause after all of them have failed. The owner's zone is cut
	// off then, which lasts for seconds.
	standbyRetryPause = time.Second
	// copyMessageBytes bounds a message: an item that would exceed it waits for the next
	// one. copyItemBytes bounds the new text of one item; an item with more is not copied,
	// since a message to another host has to hold it.
	copyMessageBytes = 256 << 10
	copyItemBytes    = 512 << 10
	// maxMessagesPerRound bounds the messages of a batch in one round. One holds what a batch of
	// 100 concurrent items generates in copyInterval; a new standby gets more.
	maxMessagesPerRound = 4
	// maxParallelCopies bounds the messages in flight.
	maxParallelCopies = 8
)

// itemProgress is the state of an item at its owner and what the standby has of it.
type itemProgress struct {
	Partial
	revision int // grows with each change
	drops    int // how often the text was dropped and begun anew

	sent          bool // whether the standby may know the item
	sentRevision  int  // revision, drops and number of texts that the standby has acknowledged
	sentDrops     int
	sentPositions int
}

// copySender sends the copy of one batch. A nil *copySender sends none.
type copySender struct {
	worker *worker

	mu    sync.Mutex
	items map[string]*itemProgress
	order []string // identifiers in items, those to be sent first at the front

	// Used only by send.
	standby  string
	failed   map[string]bool // hosts that did not answer or refused the copy
	failedAt time.Time       // of the latest one
	misses   int             // messages in a row without an answer
	sequence uint64
	base     uint64    // sequence of the latest acknowledged message
	started  bool      // whether the standby has acknowledged a first message
	listed   []string  // listed items that the standby may still keep
	answered time.Time // of the latest message
	stale    bool      // whether the batch has ended or has a later owner
}

// publish records the state of an item. The generation that calls it may go on appending to
// the texts, but changes neither them nor the versions in place.
func (c *copySender) publish(id string, partial Partial) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.items[id]
	if p == nil {
		if len(partial.Texts) == 0 && partial.Failures == 0 && partial.ScorerFailures == 0 {
			return
		}
		p = &itemProgress{}
		c.items[id] = p
		c.order = append(c.order, id)
	}
	if len(partial.Texts) < len(p.Texts) {
		p.drops++
	}
	p.Partial = partial
	p.revision++
}

// sentItem is the state of an item in a message in flight.
type sentItem struct {
	*itemProgress
	revision, drops, positions int
}

// messageSize estimates the encoded length of an item in a message.
func messageSize(partial Partial) int {
	size := 100
	for _, text := range partial.Texts {
		size += len(text) + 3
	}
	return size
}

// next returns the next message and the items in it, or false if there is nothing to send.
func (c *copySender) next() (CopyRequest, []sentItem, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.order = slices.DeleteFunc(c.order, func(id string) bool {
		if !c.worker.isListed(id) {
			return false
		}
		if c.items[id].sent {
			c.listed = append(c.listed, id)
		}
		delete(c.items, id)
		return true
	})
	request := CopyRequest{Batch: c.worker.batch.ID, Epoch: c.worker.epoch, First: !c.started, Base: c.base, Listed: c.listed}
	var sent []sentItem
	size := 0
	var left []string // items that wait for the next message
	for _, id := range c.order {
		p := c.items[id]
		if p.revision == p.sentRevision {
			continue
		}
		item := CopyItem{ID: id, Partial: p.Partial}
		if p.drops == p.sentDrops {
			item.After = p.sentPositions
		}
		item.Partial.Texts = item.Partial.Texts[item.After:]
		added := messageSize(item.Partial)
		if added > copyItemBytes {
			continue
		}
		if size+added > copyMessageBytes && len(sent) > 0 {
			left = append(left, id)
			continue
		}
		size += added
		p.sent = true
		request.Items = append(request.Items, item)
		sent = append(sent, sentItem{p, p.revision, p.drops, len(p.Texts)})
	}
	if len(left) > 0 {
		others := slices.DeleteFunc(c.order, func(id string) bool { return slices.Contains(left, id) })
		c.order = slices.Concat(left, others)
	}
	idle := len(sent) == 0 && (!c.started || len(c.listed) == 0 && (len(c.items) == 0 || time.Since(c.answered) < copyKeepAlive))
	return request, sent, !idle
}

// startOver makes the next message a first one, with the whole texts.
func (c *copySender) startOver() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.started, c.listed = false, nil
	for _, p := range c.items {
		p.sent, p.sentRevision, p.sentDrops, p.sentPositions = false, 0, 0, 0
	}
}

// acknowledge records that the standby has the items of a message.
func (c *copySender) acknowledge(sent []sentItem) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.started, c.base, c.listed, c.misses, c.answered = true, c.sequence, nil, 0, time.Now()
	for _, s := range sent {
		s.sentRevision, s.sentDrops, s.sentPositions = s.revision, s.drops, s.positions
	}
}

// chooseStandby sets the standby to the first host of the succession that has not failed. It
// returns false if there is none. Once all have failed, they are tried again after a pause.
func (c *copySender) chooseStandby() bool {
	w := c.worker
	order := succession(w.rankedInRegions(w.batch.ID, w.ownerRegions(w.batch)), w.Host, w.previous.host)
	order = order[:min(len(order), maxStandbys)]
	at := slices.IndexFunc(order, func(host string) bool { return !c.failed[host] })
	if len(order) == 0 || at < 0 && time.Since(c.failedAt) < standbyRetryPause {
		return false
	}
	if at < 0 {
		c.failed = nil
		at = 0
	}
	if c.standby != order[at] {
		c.standby, c.misses = order[at], 0
		c.startOver()
	}
	return true
}

// send sends what is new to the standby. It reports whether the standby has taken the message
// and there is more to send.
func (c *copySender) send(ctx context.Context) (more bool) {
	w := c.worker
	if c.stale || !c.chooseStandby() {
		return false
	}
	request, sent, ok := c.next()
	if !ok {
		return false
	}
	c.sequence++
	request.Sequence = c.sequence
	size := 0
	for _, item := range request.Items {
		size += messageSize(item.Partial)
	}
	w.Meter.Count("copy_messages_total")
	w.Meter.Add("copy_bytes_total", int64(size))
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	reply, err := w.Peers.Copy(ctx, c.standby, request)
	switch {
	case err != nil:
		if c.misses++; c.misses >= maxCopyMisses {
			c.replaceStandby(err.Error())
		}
	case reply.Stale:
		c.stale = true
	case reply.Refused:
		c.replaceStandby("keeps no further copies")
	case reply.Missing:
		c.misses = 0
		c.startOver()
	default:
		c.acknowledge(sent)
		return size > copyMessageBytes/2
	}
	return false
}

// replaceStandby makes the next host the standby from the next message on.
func (c *copySender) replaceStandby(reason string) {
	if c.failed == nil {
		c.failed = map[string]bool{}
	}
	c.failed[c.standby], c.failedAt = true, time.Now()
	c.worker.Log.Emit(event.StandbyReplaced, "batch", c.worker.batch.ID, "host", c.standby, "reason", reason)
}

// sendCopies sends the copies of this host's batches until the context ends.
func (b *Batches) sendCopies(ctx context.Context) {
	ticker := time.NewTicker(copyInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		var group errgroup.Group
		group.SetLimit(maxParallelCopies)
		for _, w := range b.runningWorkers() {
			group.Go(func() error {
				for range maxMessagesPerRound {
					if !w.copies.send(ctx) {
						break
					}
				}
				return nil
			})
		}
		_ = group.Wait() // send returns no error
	}
}

// fromStandbys asks the hosts that may have been the standby of the batch's previous owner
// for their copies. Of several copies of an item the latest one counts, which may be
// shorter: the owner may have dropped the text of an earlier one.
func (w *worker) fromStandbys(ctx context.Context) map[string]Partial {
	if w.ToleratedZones <= 0 || w.previous.host == "" {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, copyFetchTimeout)
	defer cancel()
	// One host more than an owner tries, because the owner puts its own previous owner last.
	order := succession(w.rankedInRegions(w.batch.ID, w.ownerRegions(w.batch)), w.previous.host, "")
	order = order[:min(len(order), maxStandbys+1)]
	replies := make([]PartialsReply, len(order)+1)
	replies[len(order)] = w.heldCopy(w.batch.ID)
	var group sync.WaitGroup
	for i, host := range order {
		if host == w.Host {
			continue
		}
		group.Go(func() {
			reply, err := w.Peers.Partials(ctx, host, PartialsRequest{CopyOf: w.batch.ID})
			if err == nil {
				replies[i] = reply
			}
		})
	}
	group.Wait()
	slices.SortStableFunc(replies, func(a, b PartialsReply) int {
		return cmp.Or(cmp.Compare(a.Epoch, b.Epoch), cmp.Compare(a.Sequence, b.Sequence))
	})
	latest := map[string]Partial{}
	for _, reply := range replies {
		if reply.Epoch == 0 || reply.Epoch >= w.epoch {
			continue // no copy, or an answer of a host that knows no copies
		}
		for item, partial := range reply.Partials {
			partial.addFailures(latest[item])
			latest[item] = partial
		}
	}
	return latest
}
