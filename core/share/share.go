// Package share divides a client account's contract among entry instances by
// demand, with leases instead of shared state.
//
// The configuration gives each zone its part of a contract. Inside a zone, one
// instance at a time allocates that part: Allocator is its state, Holder that
// of an instance that requests leases. Three rules keep the sum of the shares
// in use within the part, whatever the network does:
//
//   - The holder counts a lease from when it requested it, the allocator from when
//     it granted it, which is later.
//   - Each request names the lease that its sender holds, which implies that the
//     sender accepts no lease that it requested earlier. Only then does the
//     allocator count those as given back before they expire.
//   - A new allocator knows none of its predecessor's leases. Until they must have
//     expired, it only renews what requesters report that they hold.
//
// The package knows nothing of zones, members or messages.
package share

import "time"

const (
	// LeaseDuration is how long a granted share is valid.
	LeaseDuration = 2 * time.Second
	// Floor is the part of a zone's share that is never granted by demand. Each
	// live instance uses an equal part of it without a lease, so that the first
	// requests of an account need not wait.
	Floor = 0.1
	// spareFraction is the part of the unneeded share that is granted on top of
	// the needs. The rest is kept for new requests and for other zones.
	spareFraction = 0.25
	// needTimeout is how long the need of a silent requester counts: two lost
	// renewals.
	needTimeout = renewAge + 2*minRequestInterval
	// loanHeadroom is the factor on the needs of its zone up to which an
	// allocator borrows.
	loanHeadroom = 1.05
	// loanDuration is how long a loan to another zone may be in use: the lease
	// of the borrowing allocator, plus the last lease that it granted out of
	// the loan.
	loanDuration = 2 * LeaseDuration
	// headroom is the factor on the need up to which leases are granted, if the
	// budget allows it.
	headroom = 1.25
)

// Request is a request for a lease on one account's contract.
type Request struct {
	account string
	// need is the share of the complete contract that callers ask for; it may
	// exceed 1.
	need float64
	// held is the share that the sender holds now, for the time in remaining.
	held      float64
	remaining time.Duration
	// heldSince is the time of the request that the held lease answers, or when
	// its holder gave part of it back; the sender accepts no lease that it
	// requested earlier. It counts from the sender's start; NoLease if there
	// never was a lease.
	heldSince time.Duration
}

// NoLease is the HeldSince of an instance that never held a lease.
const NoLease = time.Duration(-1)

// NewRequest returns a request; a negative need or held share counts as 0.
func NewRequest(account string, need, held float64, remaining, heldSince time.Duration) Request {
	if !(need > 0) {
		need = 0
	}
	if !(held > 0) || remaining <= 0 {
		held, remaining = 0, 0
	}
	return Request{account: account, need: need, held: min(held, 1), remaining: min(remaining, LeaseDuration), heldSince: heldSince}
}

// Account returns the client account's name.
func (req Request) Account() string { return req.account }

// Need returns the share of the complete contract that is needed.
func (req Request) Need() float64 { return req.need }

// Held returns the share held now.
func (req Request) Held() float64 { return req.held }

// Remaining returns for how long it is still held.
func (req Request) Remaining() time.Duration { return req.remaining }

// HeldSince returns the time of the request that the held lease answers, or
// NoLease.
func (req Request) HeldSince() time.Duration { return req.heldSince }

// AccountShare is a share of one account's contract.
type AccountShare struct {
	account string
	share   float64
}

// NewAccountShare returns a share; values outside 0 to 1 are clamped.
func NewAccountShare(account string, share float64) AccountShare {
	if !(share > 0) {
		share = 0
	}
	return AccountShare{account: account, share: min(share, 1)}
}

// Account returns the client account's name.
func (acs AccountShare) Account() string { return acs.account }

// Share returns the share of the complete contract.
func (acs AccountShare) Share() float64 { return acs.share }
