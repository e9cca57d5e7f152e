package step

import (
	"context"
	"errors"
	"fmt"
)

// SupersededError reports that a pull was dropped because a later pull of the trainer
// has another cursor.
type SupersededError struct {
	ID     ID
	Cursor uint64
}

func (e *SupersededError) Error() string {
	return fmt.Sprintf("pull of step %s from cursor %d superseded by a later one", e.ID.Key(), e.Cursor)
}

// pullCall is a call of Pull that waits for a chunk.
type pullCall struct {
	request Request
	ctx     context.Context
	reply   chan pullReply
}

// pullReply is the result of a call of Pull.
type pullReply struct {
	chunk Chunk
	err   error
}

// apply adds the call to the waiting pulls, and fails those with another cursor.
func (p *pullCall) apply(o *Owner) {
	var kept []*pullCall
	for _, earlier := range o.pulls {
		if earlier.request.Cursor == p.request.Cursor {
			kept = append(kept, earlier)
			continue
		}
		earlier.reply <- pullReply{err: &SupersededError{ID: o.id, Cursor: earlier.request.Cursor}}
	}
	kept = append(kept, p)
	o.pulls = kept
	o.dirty = true
}

// servePulls answers the waiting pulls that can be answered now. Pulls whose context is
// done fail and get no chunk. A reply never blocks, since its channel is buffered.
func (o *Owner) servePulls() {
	var kept []*pullCall
	for _, p := range o.pulls {
		if p.ctx.Err() != nil {
			p.reply <- pullReply{err: p.ctx.Err()}
			continue
		}
		decision, err := o.ledger.Pull(p.request, o.config.Clock.Now())
		var unknown *UnknownCursorError
		switch {
		case errors.As(err, &unknown):
			o.verifyCursor(p, unknown)
		case err != nil:
			p.reply <- pullReply{err: err}
		case decision.Chunk != nil:
			p.reply <- pullReply{chunk: *decision.Chunk}
		default:
			kept = append(kept, p)
		}
	}
	o.pulls = kept
}

// verifyCursor answers a pull with a cursor that is unknown to the owner. A later owner
// may have committed it, so it reads the step object before it returns the
// UnknownCursorError, which makes the trainer open the step again from cursor 0.
func (o *Owner) verifyCursor(p *pullCall, unknown *UnknownCursorError) {
	epoch := o.ledger.state.Epoch
	o.workers.Add(1)
	go func() {
		defer o.workers.Done()
		fenced, err := verifyEpoch(p.ctx, o.config.Store, o.id, epoch)
		switch {
		case fenced != nil:
			_ = o.send(o.ctx, writeResult{fenced: fenced})
			p.reply <- pullReply{err: fenced}
		case err != nil:
			p.reply <- pullReply{err: err}
		default:
			p.reply <- pullReply{err: unknown}
		}
	}()
}

// Pull waits for the chunk that follows the cursor of the request. Once the trainer has
// all samples of the step, it returns a chunk without samples and with AllDelivered set.
// The errors are *FencedError, *ClosedError, *CanceledError, *UnknownCursorError,
// *SupersededError, that of ctx, and those of package object.
func (o *Owner) Pull(ctx context.Context, request Request) (Chunk, error) {
	p := &pullCall{request: request, ctx: ctx, reply: make(chan pullReply, 1)}
	if err := o.send(ctx, p); err != nil {
		return Chunk{}, err
	}
	select {
	case reply := <-p.reply:
		return reply.chunk, reply.err
	case <-ctx.Done():
		return Chunk{}, ctx.Err()
	case <-o.done:
		return Chunk{}, o.closeError()
	}
}

// snapshotCall is a call of Snapshot.
type snapshotCall struct {
	reply chan Status
}

func (c snapshotCall) apply(o *Owner) {
	status := o.ledger.Status()
	status.Stats.ProgressDropped = o.dropped.Load()
	c.reply <- status
}

// Snapshot returns the current status of the step.
func (o *Owner) Snapshot(ctx context.Context) (Status, error) {
	c := snapshotCall{reply: make(chan Status, 1)}
	if err := o.send(ctx, c); err != nil {
		return Status{}, err
	}
	select {
	case status := <-c.reply:
		return status, nil
	case <-ctx.Done():
		return Status{}, ctx.Err()
	case <-o.done:
		return Status{}, o.closeError()
	}
}

// cancelCall is a call of Cancel. Closing reply reports that the commit took effect.
type cancelCall struct {
	reply chan struct{}
}

func (c cancelCall) apply(o *Owner) {
	o.ledger.Cancel()
	o.cancelCalls = append(o.cancelCalls, c)
}

// answerCancels answers the waiting calls of Cancel once the commit of the cancelation
// has taken effect.
func (o *Owner) answerCancels() {
	if !o.ledger.Status().Canceled {
		return
	}
	for _, c := range o.cancelCalls {
		close(c.reply)
	}
	o.cancelCalls = nil
}

// Cancel cancels the step: no chunk is committed after the one in flight, and later
// pulls fail with a *CanceledError. It returns once the cancelation is committed to the
// platform, so that it holds for every later owner. On a *FencedError another owner has
// taken over the step, and the step isn't canceled. After any other error it is unknown
// whether the step is canceled.
func (o *Owner) Cancel(ctx context.Context) error {
	c := cancelCall{reply: make(chan struct{})}
	if err := o.send(ctx, c); err != nil {
		return err
	}
	select {
	case <-c.reply:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-o.done:
	}
	select {
	case <-c.reply: // answered just before the owner ended
		return nil
	default:
		return o.closeError()
	}
}
