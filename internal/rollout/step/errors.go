package step

import "fmt"

// UnknownCursorError reports that the cursor of a pull was never committed, or that its
// manifest was dropped. The trainer must open the step again and pull from cursor 0.
type UnknownCursorError struct {
	ID     ID
	Cursor uint64
	Last   uint64 // last committed cursor
}

func (e *UnknownCursorError) Error() string {
	return fmt.Sprintf("step %s has no cursor %d, the last is %d", e.ID.Key(), e.Cursor, e.Last)
}

// FencedError reports that another host has taken over the step, or that its object was
// deleted. Requests should be sent to the new owner. Owner and Epoch are zero if unknown.
type FencedError struct {
	ID    ID
	Owner string
	Epoch uint64
}

func (e *FencedError) Error() string {
	return fmt.Sprintf("step %s belongs to %s in epoch %d", e.ID.Key(), e.Owner, e.Epoch)
}

// PlanError reports that the plan of a step is unknown to this host, or that the step was
// opened with another plan. The trainer must open the step with its plan.
type PlanError struct {
	ID     ID
	Reason string
}

func (e *PlanError) Error() string { return fmt.Sprintf("plan of step %s %s", e.ID.Key(), e.Reason) }

// CanceledError reports that the step was canceled.
type CanceledError struct {
	ID ID
}

func (e *CanceledError) Error() string { return fmt.Sprintf("step %s was canceled", e.ID.Key()) }
