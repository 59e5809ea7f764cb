package rates

import (
	"math"
	"sort"
	"time"

	"golang.org/x/time/rate"
)

// Servers in cold start can handle a few requests a second and crash above
// that.
//
// Load pattern: a zone's servers return together, with empty caches and idle,
// and every instance prefers them. All instances together must stay within each
// server's cold rate, even if several make calls: after a partition, or when
// all have just started and do not know of each other.

// coldLimit is the limit on a server that may be in cold start.
type coldLimit struct {
	rate   float64
	until  time.Time
	bucket *rate.Limiter
}

const (
	// coldBurst is how many requests a cold server may get at once.
	coldBurst = 2
	// coldWindow is the time in which a cold server counts its requests.
	coldWindow = time.Second
)

// recentSends counts the requests sent to a server in the current span of
// coldWindow and in the one before.
type recentSends struct {
	since       time.Time
	num, before int
}

func (rct *recentSends) advance(now time.Time) {
	switch past := now.Sub(rct.since); {
	case past < coldWindow:
	case past < 2*coldWindow:
		rct.since, rct.before, rct.num = rct.since.Add(coldWindow), rct.num, 0
	default:
		rct.since, rct.before, rct.num = now, 0, 0
	}
}

// countSend counts a request to a server. A server that is new counts from now.
func (lim *Limiter) countSend(now time.Time, server string) {
	rct := lim.recent[server]
	if rct == nil {
		if len(lim.recent) >= maxServers {
			return
		}
		rct = &recentSends{since: now}
		lim.recent[server] = rct
	}
	rct.advance(now)
	rct.num++
}

// recentlySent returns at least the number of requests sent to a server in the
// last coldWindow.
func (lim *Limiter) recentlySent(now time.Time, server string) int {
	rct := lim.recent[server]
	if rct == nil {
		return 0
	}
	rct.advance(now)
	return rct.num + rct.before
}

// ColdStart says until when a server may be cold, and how many requests a
// second from all entry instances it can handle until then.
type ColdStart struct {
	Server string
	Rate   float64
	Until  time.Time
}

// AddColdStart limits a server until the given time. It reports whether the
// server had no such limit before.
func (lim *Limiter) AddColdStart(now time.Time, cst ColdStart) bool {
	if cst.Rate <= 0 || !cst.Until.After(now) {
		return false
	}
	old := lim.coldLimits[cst.Server]
	if old != nil {
		old.until = later(old.until, cst.Until)
		return false
	}
	if len(lim.coldLimits) >= maxServers {
		return false
	}
	col := &coldLimit{rate: cst.Rate, until: cst.Until}
	col.bucket = rate.NewLimiter(rate.Limit(lim.ownColdRate(col)), coldBurst)
	// The bucket starts empty, since other instances may have spent its tokens.
	col.bucket.AllowN(now, coldBurst)
	// The server has been cold for a while when this instance learns of it. What
	// it got meanwhile counts as well; beyond one window's worth it makes no
	// difference.
	for range min(lim.recentlySent(now, cst.Server), int(math.Ceil(cst.Rate))) {
		col.bucket.ReserveN(now, 1)
	}
	lim.coldLimits[cst.Server] = col
	return true
}

func later(one, two time.Time) time.Time {
	if one.After(two) {
		return one
	}
	return two
}

// SetMembersUnknown sets whether the number of entry instances is unknown;
// while it is, this instance sends next to nothing to cold servers.
func (lim *Limiter) SetMembersUnknown(now time.Time, unknown bool) {
	if lim.membersUnknown == unknown {
		return
	}
	lim.membersUnknown = unknown
	lim.refreshColdLimits(now)
}

func (lim *Limiter) refreshColdLimits(now time.Time) {
	for _, col := range lim.coldLimits {
		col.bucket.SetLimitAt(now, rate.Limit(lim.ownColdRate(col)))
	}
}

// drainColdLimits empties the buckets: instances that are cut off one after the
// other must not each spend a full one.
func (lim *Limiter) drainColdLimits(now time.Time) {
	for _, col := range lim.coldLimits {
		col.bucket.AllowN(now, int(col.bucket.TokensAt(now)))
	}
}

// ownColdRate returns what this instance may send to a cold server, in requests
// a second.
func (lim *Limiter) ownColdRate(col *coldLimit) float64 {
	if lim.membersUnknown {
		return min(minRate, col.rate)
	}
	return col.rate * lim.coldFraction
}

// ExpireColdStarts removes the limits of servers that are warm by now, and
// returns these servers, sorted.
func (lim *Limiter) ExpireColdStarts(now time.Time) []string {
	var out []string
	for id, col := range lim.coldLimits {
		if !now.Before(col.until) {
			delete(lim.coldLimits, id)
			out = append(out, id)
		}
	}
	sort.Strings(out)
	return out
}

// coldLimit returns the limit of a cold server, or nil if none is in force.
func (lim *Limiter) coldLimit(now time.Time, server string) *coldLimit {
	col := lim.coldLimits[server]
	if col == nil || !now.Before(col.until) {
		return nil
	}
	return col
}

// ColdServers returns the number of servers that may be cold.
func (lim *Limiter) ColdServers() int { return len(lim.coldLimits) }
