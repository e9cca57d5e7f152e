package quota

import "time"

// concurrencyRetryAfter is the RetryAfter of a refusal for concurrency. When a running
// request will end can't be derived from the limit.
const concurrencyRetryAfter = time.Second

// SetLimits replaces all limits. The state of keys that still have a limit is kept, so
// that a new policy document does not refill buckets. A new key starts with the share that
// initial returns.
func (l *Limiter) SetLimits(limits map[Key]Limit, initial func(Key, Limit) Share) {
	l.mu.Lock()
	defer l.mu.Unlock()
	old := l.keys
	l.keys = make(map[Key]*keyState, len(limits))
	for key, limit := range limits {
		k, ok := old[key]
		if !ok {
			k = &keyState{share: initial(key, limit)}
		}
		k.limit = limit
		l.keys[key] = k
	}
}

// SetShare replaces this host's share of a key's limit.
func (l *Limiter) SetShare(key Key, share Share) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if k := l.keys[key]; k != nil {
		k.share = share
	}
}

// Acquire admits a request that is expected to use a number of tokens, or returns a
// *RefusedError. An admitted request must end with Finish. Demand includes refused
// requests, since shares must follow all requests of the callers.
func (l *Limiter) Acquire(now time.Time, key Key, tokens int) (Reservation, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.keys[key]
	if k == nil {
		return Reservation{}, nil
	}
	k.demand.add(now, k.cost(tokens))
	if reason, after := k.refusal(now, tokens); reason != "" {
		return Reservation{}, &RefusedError{Key: key, Reason: reason, RetryAfter: after}
	}
	k.requests.level--
	k.tokens.level -= float64(tokens)
	k.running++
	return Reservation{key: key, tokens: tokens, admitted: true}, nil
}

// Finish ends an admitted request and replaces its expected tokens by those that it
// used, zero if it did not run.
func (l *Limiter) Finish(reservation Reservation, used int) {
	if !reservation.admitted {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.keys[reservation.key]
	if k == nil {
		return
	}
	k.running = max(0, k.running-1)
	k.tokens.level += float64(reservation.tokens - used)
}

// Demand returns the observed demand of every key: tokens per second if its limit
// bounds tokens, and requests per second otherwise.
func (l *Limiter) Demand(now time.Time) map[Key]float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := make(map[Key]float64, len(l.keys))
	for key, k := range l.keys {
		k.demand.decay(now)
		all[key] = k.demand.rate
	}
	return all
}

// cost returns the demand of a request, in the unit of Demand.
func (k *keyState) cost(tokens int) float64 {
	if k.limit.Tokens > 0 {
		return float64(tokens)
	}
	return 1
}

// refusal returns the reason and RetryAfter if a request must be refused now, else an
// empty reason.
func (k *keyState) refusal(now time.Time, tokens int) (string, time.Duration) {
	if k.limit.Concurrency > 0 && k.running >= k.share.Slots {
		return ReasonConcurrency, concurrencyRetryAfter
	}
	if wait := k.waitFor(now, &k.requests, k.limit.Rate, 1); wait > 0 {
		return ReasonRate, wait
	}
	if wait := k.waitFor(now, &k.tokens, k.limit.Tokens, float64(tokens)); wait > 0 {
		return ReasonTokens, wait
	}
	return "", 0
}

// waitFor refills a bucket and returns the time until this host's share of a limit, in
// units per second, admits the cost. The burst is at least one request, so that a small
// share admits requests one by one; the rate over time is still that of the share.
func (k *keyState) waitFor(now time.Time, b *bucket, limit, cost float64) time.Duration {
	if limit <= 0 {
		return 0
	}
	burstTime := k.limit.Burst
	if burstTime == 0 {
		burstTime = DefaultBurst
	}
	rate := limit * k.share.Fraction
	burst := max(1, rate*burstTime.Seconds())
	b.refill(now, rate, burst)
	return b.wait(cost, rate, burst)
}
