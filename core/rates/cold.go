package rates

import (
	"sort"
	"time"

	"golang.org/x/time/rate"
)

// Cold servers bear a few requests a second and crash above that.
//
// Load pattern: a zone's servers come back together, cold and empty, and are the
// cheapest choice of everybody. Each may get its rate from all instances together,
// also where several form calls: after a partition, or while all of them have just
// started and know nothing of each other.

// cold is the bound on a server that may be cold.
type cold struct {
	rate   float64
	until  time.Time
	bucket *rate.Limiter
}

// coldDepth is how many requests a cold server may get at once.
const coldDepth = 2

// WarmUp is how long a server may still be cold and what it bears until then, in
// requests a second from all entry instances.
type WarmUp struct {
	Server string
	Rate   float64
	Until  time.Time
}

// SetCold bounds what a server gets until a time. It reports whether the server
// was not bound before.
func (bok *Book) SetCold(now time.Time, wrm WarmUp) bool {
	if wrm.Rate <= 0 || !wrm.Until.After(now) {
		return false
	}
	old := bok.colds[wrm.Server]
	if old != nil {
		old.until = later(old.until, wrm.Until)
		return false
	}
	if len(bok.colds) >= maxServers {
		return false
	}
	one := &cold{rate: wrm.Rate, until: wrm.Until}
	one.bucket = rate.NewLimiter(rate.Limit(bok.coldSpeed(one)), coldDepth)
	// Others may have spent what it held.
	one.bucket.AllowN(now, coldDepth)
	bok.colds[wrm.Server] = one
	return true
}

func later(one, two time.Time) time.Time {
	if one.After(two) {
		return one
	}
	return two
}

// SetUnsettled takes in whether this instance can't tell yet how many others there
// are: what it may send to cold servers is then next to nothing.
func (bok *Book) SetUnsettled(now time.Time, unsettled bool) {
	if bok.unsettled == unsettled {
		return
	}
	bok.unsettled = unsettled
	bok.refreshColds(now)
}

func (bok *Book) refreshColds(now time.Time) {
	for _, one := range bok.colds {
		one.bucket.SetLimitAt(now, rate.Limit(bok.coldSpeed(one)))
	}
}

// drainColds spends what the buckets hold: instances that are cut off one by one
// must not each spend a full one.
func (bok *Book) drainColds(now time.Time) {
	for _, one := range bok.colds {
		one.bucket.AllowN(now, int(one.bucket.TokensAt(now)))
	}
}

// coldSpeed is what this instance may send to a cold server, in requests a second.
func (bok *Book) coldSpeed(one *cold) float64 {
	if bok.unsettled {
		return min(leastRate, one.rate)
	}
	return one.rate * bok.coldPart
}

// SettleColds frees the servers that are warm by now, and returns them in order.
func (bok *Book) SettleColds(now time.Time) []string {
	var out []string
	for id, one := range bok.colds {
		if !now.Before(one.until) {
			delete(bok.colds, id)
			out = append(out, id)
		}
	}
	sort.Strings(out)
	return out
}

// cold returns the bound on a server that is in force, or nil.
func (bok *Book) cold(now time.Time, server string) *cold {
	one := bok.colds[server]
	if one == nil || !now.Before(one.until) {
		return nil
	}
	return one
}

// ColdServers counts the servers that may be cold.
func (bok *Book) ColdServers() int { return len(bok.colds) }
