package attempt

import "slices"

// Next applies an event. Events of attempts that have ended, and any event
// after the end of the request, change nothing, so late and duplicate answers
// are ignored here. An attempt that starts after the end is canceled.
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
		return s.markSent(e)
	case EventAnswer:
		return s.answer(e)
	case EventRefused:
		return s.endAttempt(e, false)
	case EventBroken:
		return s.endAttempt(e, !e.Unsent)
	case EventSlow:
		return s.hedge(e)
	case EventExpire, EventCancel:
		return s.endUnanswered()
	}
	return s, Decision{}
}

// afterEnd cancels an attempt that starts after the request has ended.
func afterEnd(e Event) Decision {
	if e.Kind == EventSend {
		return Decision{Cancel: []int{e.AttemptID}}
	}
	return Decision{}
}

// claim makes a queued request ready to send.
func (s State) claim() (State, Decision) {
	if s.Phase != Queued {
		return s, Decision{}
	}
	s.Phase = Claimed
	return s, Decision{Do: DoSend}
}

// send starts an attempt. An attempt that the rules don't allow is not recorded
// but canceled; hosts avoid this by calling CanSend first.
func (s State) send(e Event) (State, Decision) {
	if !s.CanSend() || s.indexOf(e.AttemptID) >= 0 {
		return s, Decision{Cancel: []int{e.AttemptID}}
	}
	s.Attempts++
	s.InFlight = append(s.InFlight, Attempt{ID: e.AttemptID, Phase: Sending})
	if s.Phase == Claimed {
		s.Phase = Sending
	}
	return s, Decision{}
}

// CanSend reports whether an attempt may start now (rules 4 to 6).
func (s State) CanSend() bool {
	switch {
	case s.IsFinal() || s.Phase == Queued || s.Attempts >= s.maxAttempts():
		return false
	case s.Idempotent:
		return true
	}
	return !s.MayHaveRun && len(s.InFlight) == 0
}

// markSent records that the first byte of an attempt left.
func (s State) markSent(e Event) (State, Decision) {
	if at := s.indexOf(e.AttemptID); at >= 0 {
		s.InFlight[at].Phase = Sent
		s.Phase = Sent
	}
	return s, Decision{}
}

// answer ends the request with its first complete answer (rule 6).
func (s State) answer(e Event) (State, Decision) {
	at := s.indexOf(e.AttemptID)
	if at < 0 {
		return s, Decision{}
	}
	s.InFlight = slices.Delete(s.InFlight, at, at+1)
	s.MayHaveRun = true
	d := s.finish(Answered)
	s.Phase, s.InFlight = Answered, nil
	return s, d
}

// endAttempt ends an attempt without a complete answer. If it was the last in
// flight, the request is sent again or ends (rules 4, 5).
func (s State) endAttempt(e Event, mayHaveRun bool) (State, Decision) {
	at := s.indexOf(e.AttemptID)
	if at < 0 {
		return s, Decision{}
	}
	s.InFlight = slices.Delete(s.InFlight, at, at+1)
	s.MayHaveRun = s.MayHaveRun || mayHaveRun
	if len(s.InFlight) > 0 {
		s.Phase = s.phaseInFlight()
		return s, Decision{}
	}
	s.Phase = Claimed
	if e.BudgetAllows && s.CanSend() {
		return s, Decision{Do: DoSend, SpendBudget: true}
	}
	return s.endUnanswered()
}

// hedge decides on a second attempt beside a slow one (rule 6).
func (s State) hedge(e Event) (State, Decision) {
	if !e.BudgetAllows || !s.Idempotent || len(s.InFlight) != 1 || !s.CanSend() {
		return s, Decision{}
	}
	return s, Decision{Do: DoHedge, SpendBudget: true}
}

// endUnanswered ends the request without an answer: as unknown if it may have run
// and is not idempotent, else as failed.
func (s State) endUnanswered() (State, Decision) {
	phase := Failed
	if s.Ran() == RanUnknown && !s.Idempotent {
		phase = Unknown
	}
	d := s.finish(phase)
	s.MayHaveRun = s.MayHaveRun || len(s.InFlight) > 0
	s.Phase, s.InFlight = phase, nil
	return s, d
}

// finish returns the last decision, which cancels the attempts in flight.
func (s State) finish(phase Phase) Decision {
	d := Decision{Do: DoFinish, Ran: s.Ran()}
	if phase == Answered {
		d.Ran = RanYes
	}
	for _, a := range s.InFlight {
		d.Cancel = append(d.Cancel, a.ID)
	}
	return d
}

// indexOf returns the index in InFlight of the attempt, or -1.
func (s State) indexOf(id int) int {
	return slices.IndexFunc(s.InFlight, func(a Attempt) bool { return a.ID == id })
}

// phaseInFlight returns Sent if an attempt in flight has sent a byte, and
// Sending otherwise.
func (s State) phaseInFlight() Phase {
	for _, a := range s.InFlight {
		if a.Phase == Sent {
			return Sent
		}
	}
	return Sending
}
