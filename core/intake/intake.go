// Package intake decides how many new connections of callers an instance accepts while it
// is late, that is, short of processor time. A connection that it refuses is opened
// elsewhere at once by its caller; a request that it has read waits for it alone.
//
// It only decides; package accept accepts and refuses. It reads no clock.
package intake

import (
	"math"
	"time"
)

const (
	// period is the time between two judgements of lateness. A judgement takes the least
	// lateness of a period, so that a single delay doesn't count.
	period = 100 * time.Millisecond
	// minSamples is the least number of samples of a judgement.
	minSamples = 2
	// minRate is the rate of connections accepted while late, a second. It isn't 0: a
	// load balancer shouldn't see an instance that is ready and accepts nothing.
	minRate = 1.0
	// headroom is the share of the measured capacity that is accepted after a time of
	// lateness, growth the factor by which the rate rises in a period in time.
	headroom = 0.8
	growth   = 1.02
	// backoff is the factor by which the rate falls at least when the instance is late again.
	backoff = 0.8
	// burstTime is the time whose connections may be accepted at once.
	burstTime = 100 * time.Millisecond
	// provenTime is the time over which the rate while in time is averaged.
	provenTime = 3 * time.Second
	// overloadTime is how long an instance must have been late to be overloaded, and
	// relaxTime how long in time not to be any more. Duties that move cost the whole
	// fleet, so they move seldom.
	overloadTime = 500 * time.Millisecond
	relaxTime    = 10 * time.Second
	// idleTime is how long no connection must have been refused for the limit to end.
	idleTime = 3 * time.Second
)

// Target returns the lateness up to which an instance is in time, given the shortest time
// within which callers expect an answer, or 0 if they expect none. A request meets the
// lateness about twice, when it is read and when it is answered.
func Target(shortest time.Duration) time.Duration {
	const least, most = 40 * time.Millisecond, 100 * time.Millisecond
	if shortest == 0 {
		return most
	}
	return min(most, max(least, shortest/3))
}

// Limiter limits new connections. Load pattern: most new connections of a region come to
// one instance, many times of what it can serve. While it is late it accepts almost
// none. Then it accepts what it served in time before, or what it served while late, and
// more as long as it stays in time.
type Limiter struct {
	// judgedAt is when the period began; least and samples are of this period.
	judgedAt time.Time
	least    time.Duration
	samples  int
	// late is whether the instance was late in the last period, inTimeAt the end of the
	// last period in time.
	late     bool
	inTimeAt time.Time
	// lateAt is when it last became late, lateTo when it was last late.
	lateAt     time.Time
	lateTo     time.Time
	overloaded bool
	// accepted counts the connections accepted since inTimeAt, proven is the rate of
	// connections accepted while in time, a second.
	accepted int
	proven   float64
	// rate is the limit in connections a second while in time; 0 is none. sum counts the
	// connections accepted since loweredAt, when it last fell.
	rate      float64
	sum       int
	loweredAt time.Time
	// tokens are the connections that may be accepted now, as of filledAt.
	tokens   float64
	filledAt time.Time
	// refused is set if a connection had to wait in this period, refusedAt is when one
	// last had to.
	refused   bool
	refusedAt time.Time
}

// Observe takes a sample of the lateness: how long after its time something was done.
func (lim *Limiter) Observe(now time.Time, lateness, target time.Duration) {
	if lim.judgedAt.IsZero() {
		lim.judgedAt, lim.inTimeAt, lim.least = now, now, lateness
	}
	lim.least = min(lim.least, lateness)
	lim.samples++
	if now.Sub(lim.judgedAt) < period || lim.samples < minSamples {
		return
	}
	switch {
	case lim.least > target:
		lim.SetLate(now)
	case lim.late:
		lim.fill(now)
		lim.late, lim.tokens = false, 0
		lim.lower(now)
	default:
		span := now.Sub(lim.inTimeAt).Seconds()
		weight := min(1, span/provenTime.Seconds())
		lim.proven += weight * (float64(lim.accepted)/max(span, period.Seconds()) - lim.proven)
		lim.raise(now)
	}
	if !lim.late {
		lim.inTimeAt, lim.accepted = now, 0
	}
	if lim.late {
		lim.lateTo = now
	}
	lim.overloaded = lim.late && now.Sub(lim.lateAt) >= overloadTime || lim.overloaded && now.Sub(lim.lateTo) < relaxTime
	lim.judgedAt, lim.least, lim.samples, lim.refused = now, math.MaxInt64, 0, false
}

// SetLate notes that the instance is late, for one period at least.
func (lim *Limiter) SetLate(now time.Time) {
	if lim.late {
		return
	}
	lim.fill(now)
	lim.late, lim.lateAt, lim.tokens = true, now, 0
	lim.judgedAt, lim.least, lim.samples = now, math.MaxInt64, 0
}

// Overloaded reports whether the instance has been late for so long that others should
// take its duties. It holds on for a while after it is in time again.
func (lim *Limiter) Overloaded() bool { return lim.overloaded }

// Late reports whether the instance is late.
func (lim *Limiter) Late() bool { return lim.late }

// lower sets the rate after a time of lateness. All that was accepted since the rate last
// fell has been served by now, in the time since then.
func (lim *Limiter) lower(now time.Time) {
	if lim.rate > 0 {
		capacity := float64(lim.sum) / now.Sub(lim.loweredAt).Seconds()
		lim.rate = min(lim.rate*backoff, capacity)
	} else {
		capacity := float64(lim.accepted) / now.Sub(lim.inTimeAt).Seconds()
		lim.rate = headroom * max(capacity, lim.proven)
		lim.refusedAt = now
	}
	lim.rate = max(minRate, lim.rate)
	lim.sum, lim.loweredAt = 0, now
}

// raise raises a rate that connections had to wait for, and ends one that none did.
func (lim *Limiter) raise(now time.Time) {
	switch {
	case lim.rate == 0:
	case lim.refused:
		lim.fill(now)
		lim.rate *= growth
	case now.Sub(lim.refusedAt) > idleTime:
		lim.rate = 0
	}
}

func (lim *Limiter) currentRate() float64 {
	if lim.late {
		return minRate
	}
	return lim.rate
}

func (lim *Limiter) burst() float64 { return max(1, lim.currentRate()*burstTime.Seconds()) }

func (lim *Limiter) fill(now time.Time) {
	lim.tokens = min(lim.burst(), lim.tokens+lim.currentRate()*now.Sub(lim.filledAt).Seconds())
	lim.filledAt = now
}

// Limited reports whether connections are limited.
func (lim *Limiter) Limited() bool { return lim.late || lim.rate > 0 }

// Rate returns the limit in connections a second; 0 is none.
func (lim *Limiter) Rate() float64 { return lim.currentRate() }

// Wait returns for how long new connections should be refused; 0 if the next one may be
// accepted.
func (lim *Limiter) Wait(now time.Time) time.Duration {
	if !lim.Limited() {
		return 0
	}
	lim.fill(now)
	if lim.tokens >= 1 {
		return 0
	}
	lim.refused, lim.refusedAt = true, now
	return time.Duration((lim.burst() - lim.tokens) / lim.currentRate() * float64(time.Second))
}

// Accepted notes an accepted connection.
func (lim *Limiter) Accepted(now time.Time) {
	lim.accepted++
	lim.sum++
	if lim.Limited() {
		lim.fill(now)
		lim.tokens--
	}
}
