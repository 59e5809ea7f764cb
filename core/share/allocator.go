package share

import (
	"sort"
	"time"
)

// maxLeasesPerRequester bounds the leases kept for one requester.
const maxLeasesPerRequester = 16

// Allocator is the state of the instance that allocates one account's part.
type Allocator struct {
	// since is when this instance began to allocate. Until since+LeaseDuration,
	// leases of another allocator may be in use that it does not know of.
	since time.Time
	// requesters holds every requester of the last LeaseDuration.
	requesters map[string]*requester
}

// requester is an instance that requests leases.
type requester struct {
	need    float64
	heardAt time.Time
	// leases are those that may still be in use.
	leases []lease
	// borrower marks another zone's allocator; its need counts only after the
	// needs of the own zone.
	borrower bool
}

type lease struct {
	share float64
	// requestedAt is the time of the request that the lease answers, counted
	// from the requester's start.
	requestedAt time.Duration
	until       time.Time
}

// NewAllocator returns an allocator that begins at now.
func NewAllocator(now time.Time) *Allocator {
	return &Allocator{since: now, requesters: map[string]*requester{}}
}

// outstanding returns the largest share that a requester may be using.
func (rqr *requester) outstanding(now time.Time) float64 {
	most := 0.0
	kept := rqr.leases[:0]
	for _, lea := range rqr.leases {
		if lea.until.After(now) {
			most = max(most, lea.share)
			kept = append(kept, lea)
		}
	}
	rqr.leases = kept
	return most
}

// record records what a requester reports.
func (alc *Allocator) record(now time.Time, from string, req Request, borrower bool) *requester {
	rqr := alc.requesters[from]
	if rqr == nil {
		rqr = &requester{}
		alc.requesters[from] = rqr
	}
	rqr.need, rqr.heardAt, rqr.borrower = req.need, now, borrower
	rqr.reconcile(now, req)
	return rqr
}

// reconcile drops the leases that the requester will not use any more, and adds
// the one that it holds from another allocator.
func (rqr *requester) reconcile(now time.Time, req Request) {
	kept := rqr.leases[:0]
	recorded := req.held == 0
	for _, lea := range rqr.leases {
		if lea.requestedAt >= req.heldSince {
			kept = append(kept, lea)
			recorded = recorded || lea.requestedAt == req.heldSince
		}
	}
	rqr.leases = kept
	if recorded {
		return
	}
	until := now.Add(req.remaining)
	if rqr.borrower {
		until = until.Add(LeaseDuration)
	}
	rqr.leases = append(rqr.leases, lease{share: req.held, requestedAt: req.heldSince, until: until})
}

// inUseByOthers returns the share that all requesters but one may be using.
func (alc *Allocator) inUseByOthers(now time.Time, except string) float64 {
	sum := 0.0
	for from, rqr := range alc.requesters {
		if from != except {
			sum += rqr.outstanding(now)
		}
	}
	return sum
}

// totalNeed returns the sum of the needs of the own zone's requesters, and
// their number.
func (alc *Allocator) totalNeed() (sum float64, requesters int) {
	for _, rqr := range alc.requesters {
		if !rqr.borrower {
			sum += rqr.need
			requesters++
		}
	}
	return sum, requesters
}

// inGrace reports whether leases of another allocator may still be in use.
func (alc *Allocator) inGrace(now time.Time) bool { return now.Sub(alc.since) < LeaseDuration }

// Grant answers a requester of the own zone. The budget is the share of the
// contract that may be granted now.
func (alc *Allocator) Grant(now time.Time, requestedAt time.Duration, from string, req Request, budget float64) float64 {
	rqr := alc.record(now, from, req, false)
	held := rqr.outstanding(now)
	sum, requesters := alc.totalNeed()
	want := 0.0
	switch {
	case alc.inGrace(now):
		// A renewal adds nothing to what is already in use.
		want = min(held, req.need*headroom)
	case sum*headroom >= budget:
		want = budget * req.need / sum
	default:
		want = req.need*headroom + (budget-sum*headroom)*spareFraction/float64(requesters)
	}
	return alc.issue(now, requestedAt, rqr, min(want, budget-alc.inUseByOthers(now, from)), LeaseDuration)
}

// Lend answers another zone's allocator with what the own zone does not need.
func (alc *Allocator) Lend(now time.Time, requestedAt time.Duration, from string, req Request, budget float64) float64 {
	rqr := alc.record(now, from, req, true)
	if req.need == 0 {
		return 0
	}
	if alc.inGrace(now) {
		return alc.issue(now, requestedAt, rqr, min(req.need, rqr.outstanding(now)), loanDuration)
	}
	sum, _ := alc.totalNeed()
	spare := budget - sum*headroom
	borrowerNeed := 0.0
	for _, rqr := range alc.requesters {
		if rqr.borrower {
			borrowerNeed += rqr.need
		}
	}
	want := req.need * min(1, max(0, spare)/borrowerNeed)
	return alc.issue(now, requestedAt, rqr, min(want, budget-alc.inUseByOthers(now, from)), loanDuration)
}

// issue records a lease with the longest time for which it can be in use.
func (alc *Allocator) issue(now time.Time, requestedAt time.Duration, rqr *requester, share float64, duration time.Duration) float64 {
	share = max(0, share)
	if len(rqr.leases) == maxLeasesPerRequester {
		// Leases count by their largest share, so the smallest can be dropped
		// once the largest is kept as long as any lease can be in use.
		sort.Slice(rqr.leases, func(i, j int) bool { return rqr.leases[i].share > rqr.leases[j].share })
		rqr.leases[0].until = now.Add(loanDuration)
		rqr.leases = rqr.leases[:maxLeasesPerRequester-1]
	}
	if share > 0 {
		rqr.leases = append(rqr.leases, lease{share: share, requestedAt: requestedAt, until: now.Add(duration)})
	}
	return share
}

// Used returns the share that all requesters may be using.
func (alc *Allocator) Used(now time.Time) float64 { return alc.inUseByOthers(now, "") }

// Shortage returns what the own zone needs above a budget; 0 if it is enough.
func (alc *Allocator) Shortage(budget float64) float64 {
	sum, _ := alc.totalNeed()
	return max(0, sum*loanHeadroom-budget)
}

// Prune drops requesters that are silent and hold no lease. It reports whether
// any requester is left.
func (alc *Allocator) Prune(now time.Time) bool {
	for from, rqr := range alc.requesters {
		if now.Sub(rqr.heardAt) >= LeaseDuration && rqr.outstanding(now) == 0 {
			delete(alc.requesters, from)
		}
	}
	return len(alc.requesters) > 0
}

// ExpireNeeds drops the needs of requesters that have sent nothing for a while,
// so that a crashed instance stops counting before its lease expires.
func (alc *Allocator) ExpireNeeds(now time.Time) {
	for _, rqr := range alc.requesters {
		if now.Sub(rqr.heardAt) >= needTimeout {
			rqr.need = 0
		}
	}
}
