// Package rates enforces, across all entry instances, the rate limits that
// overloaded backend servers report: a server that says how many requests a
// second it accepts gets no more than that from all instances, for as long as
// it says so.
//
// Load pattern: a server reports a limit in the middle of a load peak. It then
// accepts a fraction of what its slots suggest, and eight, seventy or 400
// instances would each send it what seems right from their own view. So
// requests to limited servers take tokens from one bucket, at the coordinator,
// which places these requests anyway and knows the queue. If two instances act
// as coordinator, as on both sides of a partition, each spends the fraction of
// the rate that its side has of all instances.
//
// The package reads no clock; a Limiter belongs to one goroutine.
package rates

import (
	"sort"
	"time"

	"golang.org/x/time/rate"
)

// Report is what one answer of a server says about its rate limit. Its fields
// are exported because decoders fill them.
type Report struct {
	Server string
	// Rate is the limit in requests a second from all entry instances together.
	Rate float64
	// Ended is set if the answer names no limit.
	Ended bool
}

// Change is the effect of a report on the limits.
type Change uint8

const (
	// Unchanged means that the report changed nothing.
	Unchanged Change = iota
	// Began means that the server had no limit before.
	Began
	// Changed means that the rate in force changed.
	Changed
	// Ended means that the limit ended.
	Ended
)

const (
	// raiseDelay is how long the lowest reported rate stays in force against
	// reports of a higher rate or of no limit. Answers overtake each other, and
	// one begun before the limit does not mention it.
	raiseDelay = 500 * time.Millisecond
	// A limit that begins again within returnWindow after it ended had not ended: its server
	// names it in some answers only. Each time, its delay doubles, up to maxRaiseDelay.
	returnWindow  = 4 * time.Second
	maxRaiseDelay = 4 * time.Second
	// minRate, in requests a second, is sent to a server even if its limit is
	// lower: only an answer can report that the limit has ended.
	minRate = 0.5
	// burstTime is the time whose worth of a rate may be sent at once.
	burstTime = 250 * time.Millisecond
	// rateTolerance is the relative difference up to which two rates count as
	// equal.
	rateTolerance = 0.02
	// maxServers bounds the number of limits; the largest deployment planned
	// has 900 servers.
	maxServers = 20000
	// partitionSlack is the factor on its even part that a side of a partition
	// uses: the other side may have no callers left, and servers tolerate 1.5
	// times their limit for a moment.
	partitionSlack = 1.3
)

// serverLimit is the limit of one server.
type serverLimit struct {
	rate  float64
	since time.Time
	// lowestAt is when the rate in force, or a lower one, was last reported.
	lowestAt time.Time
	// raiseDelay is how long the lowest reported rate stays in force.
	raiseDelay time.Duration
	// pending is the report of a higher rate or of the limit's end, which takes
	// effect unless a lower rate is reported meanwhile; nil if there is none.
	pending *Report
	// bucket is the token bucket of the requests that may be sent.
	bucket *rate.Limiter
}

// endedLimit is a limit that has ended.
type endedLimit struct {
	at         time.Time
	raiseDelay time.Duration
}

// Limiter holds the limits in force.
type Limiter struct {
	limits map[string]*serverLimit
	// ended are the limits that have ended, the last one of each server. A new start of the
	// server drops it.
	ended map[string]endedLimit
	// coldLimits are the limits on servers that may be in cold start.
	coldLimits map[string]*coldLimit
	// recent counts what servers got lately. A server that starts again under its
	// ID keeps its count: its earlier requests may still arrive.
	recent map[string]*recentSends
	// brittle are the servers that fall over if they have to reject too many requests.
	brittle map[string]*brittleServer
	// fraction is the part of each rate that this instance may use, above 0 and
	// at most 1; coldFraction is the same without slack.
	fraction     float64
	coldFraction float64
	// membersUnknown is set while the number of entry instances is unknown.
	membersUnknown bool
}

// NewLimiter returns a limiter without limits.
func NewLimiter() *Limiter {
	return &Limiter{limits: map[string]*serverLimit{}, ended: map[string]endedLimit{}, coldLimits: map[string]*coldLimit{}, recent: map[string]*recentSends{}, brittle: map[string]*brittleServer{}, fraction: 1, coldFraction: 1}
}

// SetMembers sets how many of the known entry instances this one considers
// live. Each side of a partition uses only its part of each rate.
func (lim *Limiter) SetMembers(now time.Time, live, known int) {
	share := min(1, float64(max(1, live))/float64(max(1, known)))
	fraction := min(1, partitionSlack*share)
	if fraction == lim.fraction && share == lim.coldFraction {
		return
	}
	shrinks := share < lim.coldFraction
	lim.fraction, lim.coldFraction = fraction, share
	lim.refreshColdLimits(now)
	if shrinks {
		lim.drainColdLimits(now)
	}
	for _, sli := range lim.limits {
		lim.refresh(now, sli)
	}
}

// Observe applies a report.
func (lim *Limiter) Observe(now time.Time, rep Report) Change {
	old := lim.limits[rep.Server]
	switch {
	case old == nil && (rep.Ended || len(lim.limits) >= maxServers):
		return Unchanged
	case old == nil:
		lim.limits[rep.Server] = lim.newLimit(now, rep.Rate, lim.delayAfter(now, rep.Server))
		return Began
	case rep.Ended || rep.Rate > old.rate*(1+rateTolerance):
		old.pending = &rep
		return lim.applyReport(now, old)
	}
	old.pending, old.lowestAt = nil, now
	if rep.Rate >= old.rate*(1-rateTolerance) {
		return Unchanged
	}
	lim.setRate(now, old, rep.Rate)
	return Changed
}

// delayAfter returns the raise delay of a limit that begins.
func (lim *Limiter) delayAfter(now time.Time, server string) time.Duration {
	old, have := lim.ended[server]
	delete(lim.ended, server)
	if !have || now.Sub(old.at) > returnWindow {
		return raiseDelay
	}
	return min(maxRaiseDelay, 2*old.raiseDelay)
}

// newLimit returns a limit with an empty bucket, since other instances may have
// spent its tokens.
func (lim *Limiter) newLimit(now time.Time, perSecond float64, raiseDelay time.Duration) *serverLimit {
	out := &serverLimit{rate: perSecond, since: now, lowestAt: now, raiseDelay: raiseDelay}
	burst := lim.burst(out)
	out.bucket = rate.NewLimiter(rate.Limit(lim.ownRate(out)), burst)
	out.bucket.AllowN(now, burst)
	return out
}

func (lim *Limiter) setRate(now time.Time, sli *serverLimit, perSecond float64) {
	sli.rate = perSecond
	lim.refresh(now, sli)
}

// refresh sets the rate and burst of a bucket to those that apply now.
func (lim *Limiter) refresh(now time.Time, sli *serverLimit) {
	sli.bucket.SetLimitAt(now, rate.Limit(lim.ownRate(sli)))
	sli.bucket.SetBurstAt(now, lim.burst(sli))
}

// applyReport applies a server's pending report if raiseDelay is over.
func (lim *Limiter) applyReport(now time.Time, sli *serverLimit) Change {
	if sli.pending == nil || now.Sub(sli.lowestAt) < sli.raiseDelay {
		return Unchanged
	}
	rep := *sli.pending
	sli.pending = nil
	if rep.Ended {
		delete(lim.limits, rep.Server)
		lim.ended[rep.Server] = endedLimit{at: now, raiseDelay: sli.raiseDelay}
		return Ended
	}
	lim.setRate(now, sli, rep.Rate)
	sli.lowestAt = now
	return Changed
}

// ApplyPending applies the pending reports whose delay is over and returns
// them.
func (lim *Limiter) ApplyPending(now time.Time) []Report {
	var out []Report
	for _, sli := range lim.limits {
		rep := sli.pending
		if lim.applyReport(now, sli) != Unchanged {
			out = append(out, *rep)
		}
	}
	sort.Slice(out, func(one, two int) bool { return out[one].Server < out[two].Server })
	return out
}

// Forget drops the limits of servers that no longer exist.
func (lim *Limiter) Forget(gone func(server string) bool) {
	for id := range lim.limits {
		if gone(id) {
			delete(lim.limits, id)
		}
	}
	for id := range lim.ended {
		if gone(id) {
			delete(lim.ended, id)
		}
	}
	for id := range lim.coldLimits {
		if gone(id) {
			delete(lim.coldLimits, id)
		}
	}
	for id := range lim.brittle {
		if gone(id) {
			delete(lim.brittle, id)
		}
	}
	for id := range lim.recent {
		if gone(id) {
			delete(lim.recent, id)
		}
	}
}

// Restarted drops the limit that an earlier start of a server reported. The limit
// of a cold start holds on, and so does what is known of a brittle server, which may be
// back from a fall.
func (lim *Limiter) Restarted(server string) {
	delete(lim.limits, server)
	delete(lim.ended, server)
}

// ownRate returns this instance's part of a limit, in requests a second.
func (lim *Limiter) ownRate(sli *serverLimit) float64 { return max(minRate, sli.rate*lim.fraction) }

// burst returns how many requests may be sent at once.
func (lim *Limiter) burst(sli *serverLimit) int { return 1 + int(lim.ownRate(sli)*burstTime.Seconds()) }

// Allowed reports whether a server may get a request now.
func (lim *Limiter) Allowed(now time.Time, server string) bool {
	if col := lim.coldLimit(now, server); col != nil && col.bucket.TokensAt(now) < 1 {
		return false
	}
	sli := lim.limits[server]
	if sli == nil {
		return true
	}
	return sli.bucket.TokensAt(now) >= 1
}

// Delay returns the time until a server may get a request.
func (lim *Limiter) Delay(now time.Time, server string) time.Duration {
	var wait time.Duration
	if col := lim.coldLimit(now, server); col != nil {
		wait = delay(now, col.bucket, lim.ownColdRate(col))
	}
	if sli := lim.limits[server]; sli != nil {
		wait = max(wait, delay(now, sli.bucket, lim.ownRate(sli)))
	}
	return wait
}

// delay returns the time until a bucket with the given fill rate holds a token.
func delay(now time.Time, bucket *rate.Limiter, perSecond float64) time.Duration {
	missing := 1 - bucket.TokensAt(now)
	return max(0, time.Duration(missing/perSecond*float64(time.Second)))
}

// Take counts one request to a server, and takes a token for it if the server is
// limited, even if no token is left.
func (lim *Limiter) Take(now time.Time, server string) {
	lim.countSend(now, server)
	if sli := lim.limits[server]; sli != nil {
		sli.bucket.ReserveN(now, 1)
	}
	if col := lim.coldLimit(now, server); col != nil {
		col.bucket.ReserveN(now, 1)
	}
}

// OwnRate returns what this instance may send to a server, in requests a
// second; false if no limit applies.
func (lim *Limiter) OwnRate(now time.Time, server string) (float64, bool) {
	sli, col := lim.limits[server], lim.coldLimit(now, server)
	switch {
	case sli != nil && col != nil:
		return min(lim.ownRate(sli), lim.ownColdRate(col)), true
	case sli != nil:
		return lim.ownRate(sli), true
	case col != nil:
		return lim.ownColdRate(col), true
	}
	return 0, false
}

// Bounded reports whether any server has a limit, its own or that of a cold
// start.
func (lim *Limiter) Bounded() bool { return len(lim.limits)+len(lim.coldLimits) > 0 }

// Limit is a limit in force.
type Limit struct {
	Server string
	// Rate is in requests a second; OwnRate is this instance's part of it, but at
	// least minRate and so possibly above Rate. It ignores limits of cold starts.
	Rate    float64
	OwnRate float64
	// Since is when this instance learned of the limit.
	Since time.Time
}

// Limit returns the limit in force from a server's reports; false if there is
// none. A pending report, of a higher rate or of the limit's end, is not shown.
func (lim *Limiter) Limit(server string) (Limit, bool) {
	sli := lim.limits[server]
	if sli == nil {
		return Limit{}, false
	}
	return Limit{Server: server, Rate: sli.rate, OwnRate: lim.ownRate(sli), Since: sli.since}, true
}

// Len returns the number of limits in force, without those of cold starts.
func (lim *Limiter) Len() int { return len(lim.limits) }

// All returns the limits in force, sorted by server.
func (lim *Limiter) All() []Limit {
	out := make([]Limit, 0, len(lim.limits))
	for id := range lim.limits {
		got, _ := lim.Limit(id)
		out = append(out, got)
	}
	sort.Slice(out, func(one, two int) bool { return out[one].Server < out[two].Server })
	return out
}
