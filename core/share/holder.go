package share

import "time"

// Times between requests.
const (
	// renewAge is the age at which a lease is renewed.
	renewAge = 1250 * time.Millisecond
	// minRequestInterval is the least time between two requests for one
	// account.
	minRequestInterval = 200 * time.Millisecond
)

// Holder is the lease on one account at the instance that requests it.
type Holder struct {
	// need is the share that callers ask for here.
	need float64
	// share is held until the time in until, which counts from requestedAt.
	share       float64
	requestedAt time.Time
	until       time.Time
	// grantedNeed is the need for which share was granted.
	grantedNeed float64
	// grantable is the part of a loan that may still be granted to requesters.
	// It is below share if the lender has granted less since: leases already
	// granted out of the loan stay in use until they expire.
	grantable float64
	// gaveBack is set until the next request has reported that part of the
	// share was given back.
	gaveBack bool
	// sentAt is when the last request was sent.
	sentAt time.Time
}

// SetNeed sets the share that callers ask for.
func (hld *Holder) SetNeed(need float64) { hld.need = need }

// Need returns the share that callers ask for.
func (hld *Holder) Need() float64 { return hld.need }

// Held returns the share held at a time; 0 after the lease has expired.
func (hld *Holder) Held(now time.Time) float64 {
	if now.Before(hld.until) {
		return hld.share
	}
	return 0
}

// Grantable returns the part of a loan that may be granted to requesters.
func (hld *Holder) Grantable(now time.Time) float64 { return min(hld.Held(now), hld.grantable) }

// Remaining returns for how long the share is still held.
func (hld *Holder) Remaining(now time.Time) time.Duration { return max(0, hld.until.Sub(now)) }

// Due reports whether a request should be sent, given the share that is used
// without a lease.
func (hld *Holder) Due(now time.Time, floor float64) bool {
	if now.Sub(hld.sentAt) < minRequestInterval {
		return false
	}
	// What the floor covers needs no lease; otherwise the remainder of a demand
	// that fades would be requested until it is forgotten.
	if hld.gaveBack || hld.need <= floor {
		return hld.gaveBack
	}
	return hld.need > hld.Held(now)+floor || now.Sub(hld.requestedAt) >= renewAge
}

// DueSoon reports whether the account will be due before long, so that it
// should be included in a message that goes to its allocator anyway.
func (hld *Holder) DueSoon(now time.Time, floor float64) bool {
	return hld.need > floor && now.Sub(hld.sentAt) >= minRequestInterval && now.Sub(hld.requestedAt) >= renewAge/2
}

// Request returns the request to send now, for an instance started at the given
// time.
func (hld *Holder) Request(now, started time.Time, account string) Request {
	hld.sentAt, hld.gaveBack = now, false
	heldSince := NoLease
	if !hld.requestedAt.IsZero() {
		heldSince = hld.requestedAt.Sub(started)
	}
	return NewRequest(account, hld.need, hld.Held(now), hld.Remaining(now), heldSince)
}

// Trim gives part of the share back when the need has fallen by half. It keeps
// at least floor.
func (hld *Holder) Trim(now time.Time, floor float64) {
	held := hld.Held(now)
	if held == 0 || hld.need >= hld.grantedNeed/2 {
		return
	}
	keep := max(floor, hld.need*headroom)
	if keep < held {
		hld.share, hld.requestedAt, hld.grantedNeed, hld.gaveBack = keep, now, hld.need, true
	}
}

// ApplyGrant applies the answer to the request made at requestedAt. It ignores
// a grant that is late or that answers an earlier request than the last one
// applied.
func (hld *Holder) ApplyGrant(now time.Time, requestedAt time.Time, share float64) bool {
	if requestedAt.After(now) || requestedAt.Before(hld.requestedAt) || now.Sub(requestedAt) >= LeaseDuration {
		return false
	}
	hld.share, hld.requestedAt, hld.until = share, requestedAt, requestedAt.Add(LeaseDuration)
	hld.grantedNeed = hld.need
	return true
}

// ApplyLoan is ApplyGrant for a loan. While more of the loan is in use than the
// new grant covers, the old grant stays in force, and the lender still counts
// it as in use; requesters are granted no more than the new grant.
func (hld *Holder) ApplyLoan(now time.Time, requestedAt time.Time, share, inUse float64) {
	if share < min(inUse, hld.Held(now)) {
		hld.grantable = min(hld.grantable, share)
		return
	}
	if hld.ApplyGrant(now, requestedAt, share) {
		hld.grantable = share
	}
}

// Idle reports whether nothing is needed and nothing held.
func (hld *Holder) Idle(now time.Time) bool {
	return hld.need <= 0 && hld.Held(now) == 0 && !hld.gaveBack
}
