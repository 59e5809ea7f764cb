// Package rates keeps all entry instances together to the rates that backend
// servers in need name: a server that says how many requests a second it takes
// gets no more from all instances, for as long as it says so.
//
// Load pattern: a server is in need in the middle of a rush. What it takes is a
// fraction of what its slots suggest, and eight, seventy or 400 instances would
// each send it what looks right from where they stand. So the sends to limited
// servers are spent from one bucket, at the instance that forms the calls: it
// places what goes to them anyway, and it knows what waits. Where two instances
// form calls, as on both sides of a partition, each spends the part that its
// side has of all instances.
//
// The package reads no clock; a Book belongs to one goroutine.
package rates

import (
	"sort"
	"time"

	"golang.org/x/time/rate"
)

// Word is what one answer of a server says of its limit. Its fields are exported
// because decoders fill them.
type Word struct {
	Server string
	// Rate is in requests a second, from all entry instances together.
	Rate float64
	// Ended is set where the answer names no limit.
	Ended bool
}

// Change says what a word did to the book.
type Change uint8

const (
	// Same words change nothing.
	Same Change = iota
	// Began words name a server's limit for the first time.
	Began
	// Changed words name another rate.
	Changed
	// Ended words end a limit.
	Ended
)

const (
	// settleTime is how long the lowest rate named stays in force against higher
	// ones and against answers without any: answers overtake each other, and one
	// that was begun before the limit says nothing of it.
	settleTime = 500 * time.Millisecond
	// leastRate, in requests a second, is what a server gets whatever it names:
	// only an answer tells that its limit has ended.
	leastRate = 0.5
	// depthTime is how much of a rate may be spent at once.
	depthTime = 250 * time.Millisecond
	// alike is the share by which two rates may differ and count as the same.
	alike = 0.02
	// maxServers bounds the book; the largest deployment planned has 900.
	maxServers = 20000
	// cutSlack is what a side of a partition takes beyond its even part: the
	// other side's callers may all be gone, and servers bear half as much again
	// for a moment as they name.
	cutSlack = 1.3
)

// row is one server's limit.
type row struct {
	rate  float64
	since time.Time
	// lowAt is when the rate in force, or a lower one, was last named.
	lowAt time.Time
	// next is a higher rate, or the limit's end, that takes effect unless a lower
	// one is named meanwhile; nil if there is none.
	next *Word
	// bucket holds the requests that may be sent.
	bucket *rate.Limiter
}

// Book holds the limits that are in force.
type Book struct {
	rows map[string]*row
	// colds are bounds on servers that may be cold.
	colds map[string]*cold
	// part is what this instance may spend of each rate, above 0 and at most 1;
	// coldPart the same without slack.
	part     float64
	coldPart float64
	// unsettled is set while the number of instances isn't known.
	unsettled bool
}

// NewBook returns a book without limits.
func NewBook() *Book {
	return &Book{rows: map[string]*row{}, colds: map[string]*cold{}, part: 1, coldPart: 1}
}

// SetPart takes in how many of the known entry instances this one sees: one of
// two sides of a partition spends no more than its part of each rate.
func (bok *Book) SetPart(now time.Time, live, known int) {
	share := min(1, float64(max(1, live))/float64(max(1, known)))
	part := min(1, cutSlack*share)
	if part == bok.part && share == bok.coldPart {
		return
	}
	shrinks := share < bok.coldPart
	bok.part, bok.coldPart = part, share
	bok.refreshColds(now)
	if shrinks {
		bok.drainColds(now)
	}
	for _, row := range bok.rows {
		bok.refresh(now, row)
	}
}

// Heard takes a word in.
func (bok *Book) Heard(now time.Time, wrd Word) Change {
	old := bok.rows[wrd.Server]
	switch {
	case old == nil && (wrd.Ended || len(bok.rows) >= maxServers):
		return Same
	case old == nil:
		bok.rows[wrd.Server] = bok.newRow(now, wrd.Rate)
		return Began
	case wrd.Ended || wrd.Rate > old.rate*(1+alike):
		old.next = &wrd
		return bok.settle(now, old)
	}
	old.next, old.lowAt = nil, now
	if wrd.Rate >= old.rate*(1-alike) {
		return Same
	}
	bok.set(now, old, wrd.Rate)
	return Changed
}

// newRow returns a limit with an empty bucket: others may have spent what it held.
func (bok *Book) newRow(now time.Time, perSecond float64) *row {
	out := &row{rate: perSecond, since: now, lowAt: now}
	depth := bok.depth(out)
	out.bucket = rate.NewLimiter(rate.Limit(bok.speed(out)), depth)
	out.bucket.AllowN(now, depth)
	return out
}

func (bok *Book) set(now time.Time, row *row, perSecond float64) {
	row.rate = perSecond
	bok.refresh(now, row)
}

// refresh gives a bucket the speed and depth that hold now.
func (bok *Book) refresh(now time.Time, row *row) {
	row.bucket.SetLimitAt(now, rate.Limit(bok.speed(row)))
	row.bucket.SetBurstAt(now, bok.depth(row))
}

// settle takes a row's next word into effect if its time has come.
func (bok *Book) settle(now time.Time, row *row) Change {
	if row.next == nil || now.Sub(row.lowAt) < settleTime {
		return Same
	}
	wrd := *row.next
	row.next = nil
	if wrd.Ended {
		delete(bok.rows, wrd.Server)
		return Ended
	}
	bok.set(now, row, wrd.Rate)
	row.lowAt = now
	return Changed
}

// Settle takes words into effect whose time has come, and returns them.
func (bok *Book) Settle(now time.Time) []Word {
	var out []Word
	for _, row := range bok.rows {
		wrd := row.next
		if bok.settle(now, row) != Same {
			out = append(out, *wrd)
		}
	}
	sort.Slice(out, func(one, two int) bool { return out[one].Server < out[two].Server })
	return out
}

// Forget drops the limits of servers that are gone.
func (bok *Book) Forget(gone func(server string) bool) {
	for id := range bok.rows {
		if gone(id) {
			delete(bok.rows, id)
		}
	}
	for id := range bok.colds {
		if gone(id) {
			delete(bok.colds, id)
		}
	}
}

// speed is what this instance may send, in requests a second.
func (bok *Book) speed(row *row) float64 { return max(leastRate, row.rate*bok.part) }

// depth is how many requests may be sent at once.
func (bok *Book) depth(row *row) int { return 1 + int(bok.speed(row)*depthTime.Seconds()) }

// May reports whether a server may get a request now.
func (bok *Book) May(now time.Time, server string) bool {
	if one := bok.cold(now, server); one != nil && one.bucket.TokensAt(now) < 1 {
		return false
	}
	old := bok.rows[server]
	if old == nil {
		return true
	}
	return old.bucket.TokensAt(now) >= 1
}

// Until is how long it takes until a server may get a request.
func (bok *Book) Until(now time.Time, server string) time.Duration {
	var wait time.Duration
	if one := bok.cold(now, server); one != nil {
		wait = until(now, one.bucket, bok.coldSpeed(one))
	}
	if old := bok.rows[server]; old != nil {
		wait = max(wait, until(now, old.bucket, bok.speed(old)))
	}
	return wait
}

// until is when a bucket that fills at some requests a second holds one.
func until(now time.Time, bucket *rate.Limiter, speed float64) time.Duration {
	lacking := 1 - bucket.TokensAt(now)
	return max(0, time.Duration(lacking/speed*float64(time.Second)))
}

// Take spends one request of a server's rate, if it has one, also where none is
// left.
func (bok *Book) Take(now time.Time, server string) {
	if old := bok.rows[server]; old != nil {
		old.bucket.ReserveN(now, 1)
	}
	if one := bok.cold(now, server); one != nil {
		one.bucket.ReserveN(now, 1)
	}
}

// Own is what this instance may send to a server, in requests a second; false
// where nothing bounds it.
func (bok *Book) Own(now time.Time, server string) (float64, bool) {
	old, one := bok.rows[server], bok.cold(now, server)
	switch {
	case old != nil && one != nil:
		return min(bok.speed(old), bok.coldSpeed(one)), true
	case old != nil:
		return bok.speed(old), true
	case one != nil:
		return bok.coldSpeed(one), true
	}
	return 0, false
}

// Bounded reports whether any server is bounded, by its own word or as cold.
func (bok *Book) Bounded() bool { return len(bok.rows)+len(bok.colds) > 0 }

// Limit is a limit in force.
type Limit struct {
	Server string
	// Rate is in requests a second, Own what this instance may spend of it.
	Rate float64
	Own  float64
	// Since is when the limit began, as heard here.
	Since time.Time
}

// Limit returns a server's limit; false if it named none.
func (bok *Book) Limit(server string) (Limit, bool) {
	old := bok.rows[server]
	if old == nil {
		return Limit{}, false
	}
	return Limit{Server: server, Rate: old.rate, Own: bok.speed(old), Since: old.since}, true
}

// Len counts limits in force.
func (bok *Book) Len() int { return len(bok.rows) }

// All lists the limits in force, by server.
func (bok *Book) All() []Limit {
	out := make([]Limit, 0, len(bok.rows))
	for id := range bok.rows {
		lim, _ := bok.Limit(id)
		out = append(out, lim)
	}
	sort.Slice(out, func(one, two int) bool { return out[one].Server < out[two].Server })
	return out
}
