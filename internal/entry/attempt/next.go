package attempt

import "slices"

// Next applies an event. Events of legs that have ended, and any event after
// the end, change nothing: late and doubled answers are ignored here. A leg
// that starts after the end is canceled.
func Next(s State, e Event) (State, Decision) {
	if s.IsFinal() {
		return s, afterEnd(e)
	}
	s.InFlight = slices.Clone(s.InFlight)
	switch e.Kind {
	case EventClaim:
		return s.claim()
	case EventSend:
		return s.send(e)
	case EventByte:
		return s.sent(e)
	case EventAnswer:
		return s.answer(e)
	case EventRefused:
		return s.endLeg(e, false)
	case EventBroken:
		return s.endLeg(e, !e.Unsent)
	case EventSlow:
		return s.slow(e)
	case EventExpire, EventCancel:
		return s.giveUp()
	}
	return s, Decision{}
}

func afterEnd(e Event) Decision {
	if e.Kind == EventSend {
		return Decision{Cancel: []int{e.AttemptID}}
	}
	return Decision{}
}

func (s State) claim() (State, Decision) {
	if s.Phase != Queued {
		return s, Decision{}
	}
	s.Phase = Claimed
	return s, Decision{Do: DoSend}
}

// send starts a leg. A send that the rules don't allow is not recorded, and
// the host must not send: it asks CanSend first.
func (s State) send(e Event) (State, Decision) {
	if !s.CanSend() || s.leg(e.AttemptID) >= 0 {
		return s, Decision{Cancel: []int{e.AttemptID}}
	}
	s.Attempts++
	s.InFlight = append(s.InFlight, Attempt{ID: e.AttemptID, Phase: Sending})
	if s.Phase == Claimed {
		s.Phase = Sending
	}
	return s, Decision{}
}

// CanSend says whether a leg may start now (rules 4 to 6).
func (s State) CanSend() bool {
	switch {
	case s.IsFinal() || s.Phase == Queued || s.Attempts >= s.maxTries():
		return false
	case s.Idempotent:
		return true
	}
	return !s.MayHaveRun && len(s.InFlight) == 0
}

func (s State) sent(e Event) (State, Decision) {
	if at := s.leg(e.AttemptID); at >= 0 {
		s.InFlight[at].Phase = Sent
		s.Phase = Sent
	}
	return s, Decision{}
}

// answer ends the request with the first whole answer (rule 6).
func (s State) answer(e Event) (State, Decision) {
	at := s.leg(e.AttemptID)
	if at < 0 {
		return s, Decision{}
	}
	s.InFlight = slices.Delete(s.InFlight, at, at+1)
	s.MayHaveRun = true
	d := s.finish(Answered)
	s.Phase, s.InFlight = Answered, nil
	return s, d
}

// endLeg ends a leg without a whole answer and decides on another (rules 4, 5).
func (s State) endLeg(e Event, touched bool) (State, Decision) {
	at := s.leg(e.AttemptID)
	if at < 0 {
		return s, Decision{}
	}
	s.InFlight = slices.Delete(s.InFlight, at, at+1)
	s.MayHaveRun = s.MayHaveRun || touched
	if len(s.InFlight) > 0 {
		s.Phase = s.furthest()
		return s, Decision{}
	}
	s.Phase = Claimed
	if e.BudgetAllows && s.CanSend() {
		return s, Decision{Do: DoSend, SpendBudget: true}
	}
	return s.giveUp()
}

// slow starts a hedge (rule 6).
func (s State) slow(e Event) (State, Decision) {
	if !e.BudgetAllows || !s.Idempotent || len(s.InFlight) != 1 || !s.CanSend() {
		return s, Decision{}
	}
	return s, Decision{Do: DoHedge, SpendBudget: true}
}

// giveUp ends the request without an answer.
func (s State) giveUp() (State, Decision) {
	phase := Failed
	if s.Ran() == RanUnknown && !s.Idempotent {
		phase = Unknown
	}
	d := s.finish(phase)
	s.MayHaveRun = s.MayHaveRun || len(s.InFlight) > 0
	s.Phase, s.InFlight = phase, nil
	return s, d
}

// finish returns the last decision and cancels the legs that still run.
func (s State) finish(phase Phase) Decision {
	d := Decision{Do: DoFinish, Ran: s.Ran()}
	if phase == Answered {
		d.Ran = RanYes
	}
	for _, leg := range s.InFlight {
		d.Cancel = append(d.Cancel, leg.ID)
	}
	return d
}

func (s State) leg(id int) int {
	return slices.IndexFunc(s.InFlight, func(l Attempt) bool { return l.ID == id })
}

func (s State) furthest() Phase {
	for _, leg := range s.InFlight {
		if leg.Phase == Sent {
			return Sent
		}
	}
	return Sending
}
