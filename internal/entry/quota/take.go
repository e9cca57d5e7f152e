package quota

import "time"

// concurrencyWait is the Retry-After of a refusal for concurrency, whose end
// can't be told from the limit.
const concurrencyWait = time.Second

// SetLimits replaces all limits. State of keys that stay is kept, so that a
// new document does not refill buckets. A new key starts with the share given
// by initial.
func (b *Limiter) SetLimits(limits map[Key]Limit, initial func(Key, Limit) Share) {
	b.mu.Lock()
	defer b.mu.Unlock()
	old := b.accounts
	b.accounts = make(map[Key]*account, len(limits))
	for key, limit := range limits {
		a, ok := old[key]
		if !ok {
			a = &account{share: initial(key, limit)}
		}
		a.limit = limit
		b.accounts[key] = a
	}
}

// SetShare replaces this host's share of a key.
func (b *Limiter) SetShare(key Key, share Share) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if a := b.accounts[key]; a != nil {
		a.share = share
	}
}

// Acquire admits a request that is expected to use tokens, or returns a
// *RefusedError. An admitted request must end with Done. Demand counts refused
// requests too, since shares must follow what callers want.
func (b *Limiter) Acquire(now time.Time, key Key, tokens int) (Reservation, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.accounts[key]
	if a == nil {
		return Reservation{}, nil
	}
	a.demand.add(now, a.cost(tokens))
	if reason, after := a.refuse(now, tokens); reason != "" {
		return Reservation{}, &RefusedError{Key: key, Reason: reason, RetryAfter: after}
	}
	a.requests.level--
	a.tokens.level -= float64(tokens)
	a.running++
	return Reservation{key: key, tokens: tokens, admitted: true}, nil
}

// Finish ends an admitted request and corrects the tokens taken by those that it
// really used. A request that did not run used none.
func (b *Limiter) Finish(ticket Reservation, used int) {
	if !ticket.admitted {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.accounts[ticket.key]
	if a == nil {
		return
	}
	a.running = max(0, a.running-1)
	a.tokens.level += float64(ticket.tokens - used)
}

// Demand returns the observed demand of every key, in tokens a second where
// the key limits tokens, and otherwise in requests a second.
func (b *Limiter) Demand(now time.Time) map[Key]float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	all := make(map[Key]float64, len(b.accounts))
	for key, a := range b.accounts {
		a.demand.decay(now)
		all[key] = a.demand.rate
	}
	return all
}

func (a *account) cost(tokens int) float64 {
	if a.limit.Tokens > 0 {
		return float64(tokens)
	}
	return 1
}

func (a *account) refuse(now time.Time, tokens int) (string, time.Duration) {
	if a.limit.Concurrency > 0 && a.running >= a.share.Slots {
		return ReasonConcurrency, concurrencyWait
	}
	if wait := a.waitFor(now, &a.requests, a.limit.Rate, 1); wait > 0 {
		return ReasonRate, wait
	}
	if wait := a.waitFor(now, &a.tokens, a.limit.Tokens, float64(tokens)); wait > 0 {
		return ReasonTokens, wait
	}
	return "", 0
}

// waitFor returns the time until this host's share of a limit passes the cost.
// The burst is never less than one request, so that a small share still passes
// requests one by one; the rate over time stays the share's.
func (a *account) waitFor(now time.Time, b *bucket, limit, cost float64) time.Duration {
	if limit <= 0 {
		return 0
	}
	keep := a.limit.Burst
	if keep == 0 {
		keep = DefaultBurst
	}
	rate := limit * a.share.Fraction
	burst := max(1, rate*keep.Seconds())
	b.refill(now, rate, burst)
	return b.wait(cost, rate, burst)
}
