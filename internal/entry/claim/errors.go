package claim

import (
	"errors"
	"fmt"
)

// BusyError reports that the queue of a shard is full, so that nothing was done,
// or that the shard has stopped.
type BusyError struct {
	Shard string
}

func (e *BusyError) Error() string { return fmt.Sprintf("shard %s is busy", e.Shard) }

// MovedError reports that this host doesn't own the shard or lacks the claim.
type MovedError struct {
	Shard string
}

func (e *MovedError) Error() string { return fmt.Sprintf("shard %s is not kept here", e.Shard) }

// errorAs returns the first error in the chain of err that has type E.
func errorAs[E error](err error) (E, bool) {
	var target E
	ok := errors.As(err, &target)
	return target, ok
}
