package forward

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"errors"
	"hash"

	"github.com/hyssopwall/hyssopwall/internal/fleet/identity"
	"github.com/hyssopwall/hyssopwall/internal/fleet/link"
	"github.com/hyssopwall/hyssopwall/internal/fleet/wire"
)

// Runner runs a task and passes the items of the answer to sink, in order and without the
// End. It returns nil after a complete answer. An *Error tells whether the task ran; after
// any other error that is unknown.
type Runner interface {
	Run(ctx context.Context, task Task, sink func(Item) error) error
}

// Serve registers a handler that runs the tasks that other hosts forward to this one.
func Serve(endpoint *link.Endpoint, runner Runner) {
	endpoint.Handle(Kind, func(ctx context.Context, _ identity.Host, stream *link.Stream) error {
		task, err := link.Receive[Task](stream)
		if err != nil {
			return err
		}
		return serveTask(ctx, stream, runner, task)
	})
}

// serveTask runs one task and sends its answer, which ends with an End or, if the runner
// returns an *Error, with a Failure. It returns any other error of the runner and those
// of the stream.
func serveTask(ctx context.Context, stream *link.Stream, runner Runner, task Task) error {
	sum := newTally()
	err := runner.Run(ctx, task, func(item Item) error {
		sum.add(item)
		return link.Send(stream, item)
	})
	var failure *Error
	if errors.As(err, &failure) {
		return link.Send(stream, Item{Failure: failure})
	}
	if err != nil {
		return err
	}
	return link.Send(stream, Item{End: sum.end(task.ID)})
}

// tally counts the items of an answer and hashes their texts and bodies.
type tally struct {
	items  int
	digest hash.Hash
}

func newTally() *tally { return &tally{digest: sha256.New()} }

func (t *tally) add(item Item) {
	t.items++
	if item.Event != nil {
		_, _ = t.digest.Write([]byte(item.Event.Text)) // hash.Hash never fails
	}
	if item.Answer != nil {
		_, _ = t.digest.Write(item.Answer.Body)
	}
}

// end returns the End of the answer to the task with the given ID.
func (t *tally) end(id string) *End {
	return &End{ID: id, Items: t.items, Digest: t.digest.Sum(nil)}
}

// matches reports whether end is the End of the items added, for the task with the given ID.
func (t *tally) matches(id string, end End) bool {
	return end.ID == id && end.Items == t.items && subtle.ConstantTimeCompare(end.Digest, t.digest.Sum(nil)) == 1
}

// Remote forwards tasks to other hosts.
type Remote struct {
	Endpoint *link.Endpoint
}

// Run forwards a task to the host at address and passes the items of its answer to sink.
// It returns nil after a complete answer, and an *Error otherwise. An error of sink ends the
// attempt with CodeCanceled.
func (r Remote) Run(ctx context.Context, address string, task Task, sink func(Item) error) error {
	stream, err := r.Endpoint.Open(ctx, address, Kind)
	if err != nil {
		return linkError(ctx, err)
	}
	defer stream.Cancel()
	if err := link.Send(stream, task); err != nil {
		return linkError(ctx, err)
	}
	if err := stream.CloseWrite(); err != nil {
		return linkError(ctx, err)
	}
	return receive(ctx, stream, task, sink)
}

// receive reads the answer to a task from the stream, up to its End or Failure.
func receive(ctx context.Context, stream *link.Stream, task Task, sink func(Item) error) error {
	sum := newTally()
	for {
		item, err := link.Receive[Item](stream)
		switch {
		case err != nil:
			return linkError(ctx, err)
		case item.Failure != nil:
			return item.Failure
		case item.End != nil && sum.matches(task.ID, *item.End):
			return nil
		case item.End != nil:
			return &Error{Code: CodeBroken, Message: "answer is not whole", Ran: "unknown", Tainted: true}
		}
		if hasOtherID(task.ID, item) {
			return &Error{Code: CodeBroken, Message: "answer to another request", Ran: "unknown", Tainted: true}
		}
		sum.add(item)
		if err := sink(item); err != nil {
			return &Error{Code: CodeCanceled, Message: err.Error(), Ran: "yes"}
		}
	}
}

// hasOtherID reports whether an item has an event or answer of a task with another ID.
func hasOtherID(id string, item Item) bool {
	return (item.Event != nil && item.Event.ID != id) || (item.Answer != nil && item.Answer.ID != id)
}

// linkError returns the *Error for a failure of the link. The task certainly did not run
// only if no byte of it can have been sent, or if the other host rejected the message as
// one that it could not decode or whose kind it does not know.
func linkError(ctx context.Context, err error) *Error {
	f := &Error{Code: CodeLink, Message: err.Error(), Ran: "unknown"}
	var call *link.CallError
	if errors.As(err, &call) && !call.Sent {
		f.Ran = "no"
	}
	var remote *link.RemoteError
	if errors.As(err, &remote) && (remote.Code == link.CodeBadMessage || remote.Code == link.CodeUnknownKind) {
		f.Ran = "no"
	}
	var field *wire.FieldError
	if errors.As(err, &field) {
		f.Code = CodeBroken
	}
	if ctx.Err() != nil {
		f.Code = CodeCanceled
	}
	return f
}
