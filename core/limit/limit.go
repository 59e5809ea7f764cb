// Package limit enforces the contracts of client accounts inside one entry
// instance: requests a second, concurrent requests and generated tokens a
// second.
//
// It enforces only this instance's share of a contract. The control state
// divides contracts among entry instances by the demand returned by Demand, and
// sets the shares with SetShare. The load of backend servers plays no part
// here.
package limit

import (
	"sort"
	"sync"
	"time"

	"lovagestream/core/config"
)

const (
	// minShare keeps the retry delay of a refusal finite if the share is 0.
	minShare = 0.001
	// concurrencyWait is the retry delay after too many concurrent requests.
	concurrencyWait = time.Second
	// idleTimeout is how long an account's state is kept after its last
	// request.
	idleTimeout = 30 * time.Second
	// sweepInterval is how often idle accounts are removed.
	sweepInterval = 5 * time.Second
	// demandTimeConstant is the time constant of the moving averages of demand.
	demandTimeConstant = 2 * time.Second
)

// Decision is the result of Admit.
type Decision struct {
	// permit is nil if the request was refused.
	permit *Permit
	// retryAfter is when a refused request may be retried; 0 if it was
	// admitted.
	retryAfter time.Duration
}

// Permit returns the permit that the request must release; nil if it was
// refused.
func (dec Decision) Permit() *Permit { return dec.permit }

// RetryAfter returns when a refused request may be retried.
func (dec Decision) RetryAfter() time.Duration { return dec.retryAfter }

// Permit is the admission of one request in progress.
type Permit struct {
	lim   *Limiter
	usage *usage
	// reserved is the number of tokens that admission took from the bucket,
	// generated the number that the request generated. Release settles the
	// difference once.
	reserved  int
	generated int
	released  bool
}

// SetTokens sets how many tokens the request has generated in all. Without it,
// the reserved number counts as generated.
func (per *Permit) SetTokens(tokens int) {
	per.lim.mu.Lock()
	defer per.lim.mu.Unlock()
	per.generated = tokens
}

// Release ends the request; it is idempotent.
func (per *Permit) Release() {
	per.lim.mu.Lock()
	defer per.lim.mu.Unlock()
	if per.released {
		return
	}
	per.released = true
	per.usage.running--
	per.usage.tokens.level += float64(per.reserved - per.generated)
	per.usage.tokenMean.add(float64(per.generated))
}

// bucket is a token bucket that holds at most one second's worth.
type bucket struct {
	// level may fall below zero by the reservation of one request, never by
	// more.
	level float64
}

func (buc *bucket) fill(passed time.Duration, rate, capacity float64) {
	buc.level = min(capacity, buc.level+passed.Seconds()*rate)
}

// usage is the usage of one client account at this instance.
type usage struct {
	// running is the number of unreleased permits; it is never negative.
	running int
	rate    bucket
	tokens  bucket
	// filledAt is when the buckets were last filled; zero before the first
	// request.
	filledAt time.Time
	// lastRequest is when the last request arrived.
	lastRequest time.Time
	// share is this instance's share of the contract, from 0 to 1.
	share       float64
	requestMean rateMean
	tokenMean   rateMean
}

// Limiter admits requests by contract. It is safe for concurrent use.
type Limiter struct {
	mu     sync.Mutex
	usages map[string]*usage
	// sweptAt is when idle accounts were last removed.
	sweptAt time.Time
}

// NewLimiter returns a limiter that gives every account its full contract
// until SetShare is called for it.
func NewLimiter() *Limiter { return &Limiter{usages: map[string]*usage{}} }

func (lim *Limiter) usage(name string) *usage {
	usg := lim.usages[name]
	if usg == nil {
		usg = &usage{share: 1}
		lim.usages[name] = usg
	}
	return usg
}

// SetShare sets this instance's share of an account's contract, from 0 to 1.
func (lim *Limiter) SetShare(account string, share float64) {
	lim.mu.Lock()
	defer lim.mu.Unlock()
	lim.usage(account).share = share
}

// Admit admits or refuses one request of an account that may generate up to the
// given number of tokens.
func (lim *Limiter) Admit(now time.Time, acc *config.Account, tokens int) Decision {
	lim.mu.Lock()
	defer lim.mu.Unlock()
	lim.sweep(now)
	con := acc.Contract()
	usg := lim.usage(acc.Name())
	usg.fill(now, con)
	usg.lastRequest = now
	usg.requestMean.add(1)
	share := max(usg.share, minShare)
	if float64(usg.running) >= max(1, float64(con.Concurrency())*usg.share) {
		return Decision{retryAfter: concurrencyWait}
	}
	if usg.rate.level < 1 {
		return Decision{retryAfter: retryAfter((1 - usg.rate.level) / (con.Rate() * share))}
	}
	// A level above zero is enough: otherwise a request larger than the bucket
	// could never run. It can leave a debt of its own reservation at most.
	if tokens > 0 && usg.tokens.level <= 0 {
		return Decision{retryAfter: retryAfter((1 - usg.tokens.level) / (con.Tokens() * share))}
	}
	usg.rate.level--
	usg.tokens.level -= float64(tokens)
	usg.running++
	return Decision{permit: &Permit{usage: usg, lim: lim, reserved: tokens, generated: tokens}}
}

// minRetryAfter is the shortest retry delay returned with a refusal.
const minRetryAfter = time.Millisecond

// retryAfter returns the retry delay for a number of seconds. Without the
// minimum it could round to 0, which means that a retry is of no use.
func retryAfter(sec float64) time.Duration {
	return max(minRetryAfter, time.Duration(sec*float64(time.Second)))
}

// fill adds what the contract allows since the last call. The rate bucket holds
// at least one request, so that a small share still admits single requests.
func (usg *usage) fill(now time.Time, con config.Contract) {
	maxRate := max(1, con.Rate()*usg.share)
	maxTokens := max(1, con.Tokens()*usg.share)
	if usg.filledAt.IsZero() {
		usg.rate.level, usg.tokens.level, usg.filledAt = maxRate, maxTokens, now
		return
	}
	passed := now.Sub(usg.filledAt)
	if passed <= 0 {
		return
	}
	usg.rate.fill(passed, con.Rate()*usg.share, maxRate)
	usg.tokens.fill(passed, con.Tokens()*usg.share, maxTokens)
	usg.requestMean.decay(passed)
	usg.tokenMean.decay(passed)
	usg.filledAt = now
}

// sweep removes idle accounts, so that the state stays proportional to the
// accounts in use. An account with a share set by SetShare is kept.
func (lim *Limiter) sweep(now time.Time) {
	if now.Sub(lim.sweptAt) < sweepInterval {
		return
	}
	lim.sweptAt = now
	for name, usg := range lim.usages {
		if usg.running == 0 && usg.share == 1 && now.Sub(usg.lastRequest) > idleTimeout {
			delete(lim.usages, name)
		}
	}
}

// Len returns the number of accounts with state.
func (lim *Limiter) Len() int {
	lim.mu.Lock()
	defer lim.mu.Unlock()
	return len(lim.usages)
}

// Demand is the recent demand of one account at this instance.
type Demand struct {
	account string
	rate    float64
	running int
	tokens  float64
}

// Account returns the account's name.
func (dem Demand) Account() string { return dem.account }

// Rate returns the requests a second, admitted or not.
func (dem Demand) Rate() float64 { return dem.rate }

// Running returns the number of requests in progress.
func (dem Demand) Running() int { return dem.running }

// Tokens returns the generated tokens a second.
func (dem Demand) Tokens() float64 { return dem.tokens }

// Demand returns the recent demand of every account that has any, sorted by
// name.
func (lim *Limiter) Demand(now time.Time) []Demand {
	lim.mu.Lock()
	defer lim.mu.Unlock()
	dems := make([]Demand, 0, len(lim.usages))
	for name, usg := range lim.usages {
		if usg.running == 0 && now.Sub(usg.lastRequest) > idleTimeout {
			continue
		}
		passed := max(0, now.Sub(usg.filledAt))
		dems = append(dems, Demand{
			account: name,
			rate:    usg.requestMean.after(passed),
			running: usg.running,
			tokens:  usg.tokenMean.after(passed),
		})
	}
	sort.Slice(dems, func(i, j int) bool { return dems[i].account < dems[j].account })
	return dems
}
