package step

import "fmt"

// UnknownCursorError says that a pull names a cursor that was never committed, or
// whose manifest was dropped. The trainer opens the step again from cursor 0.
type UnknownCursorError struct {
	ID     ID
	Cursor uint64
	Last   uint64
}

func (e *UnknownCursorError) Error() string {
	return fmt.Sprintf("step %s has no cursor %d, the last is %d", e.ID.Key(), e.Cursor, e.Last)
}

// FencedError says that another owner holds the step. The request goes to it.
type FencedError struct {
	ID    ID
	Owner string
	Epoch uint64
}

func (e *FencedError) Error() string {
	return fmt.Sprintf("step %s belongs to %s in epoch %d", e.ID.Key(), e.Owner, e.Epoch)
}

// PlanError says that the step's plan is not known here, or that another plan
// was opened under the same name. The trainer opens the step with its plan.
type PlanError struct {
	ID     ID
	Reason string
}

func (e *PlanError) Error() string { return fmt.Sprintf("plan of step %s %s", e.ID.Key(), e.Reason) }

// CanceledError says that the step was canceled.
type CanceledError struct {
	ID ID
}

func (e *CanceledError) Error() string { return fmt.Sprintf("step %s was canceled", e.ID.Key()) }
