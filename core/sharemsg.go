package core

import (
	"time"

	"lovagestream/core/share"
)

// AccountDemand is the recent demand of one client account at this instance.
type AccountDemand struct {
	account string
	rate    float64
	running int
	tokens  float64
}

// NewAccountDemand returns an account's demand: requests a second, admitted or
// not, requests in progress, and generated tokens a second.
func NewAccountDemand(account string, rate float64, running int, tokens float64) AccountDemand {
	return AccountDemand{account: account, rate: rate, running: running, tokens: tokens}
}

// DemandReported reports the demand at this instance; the driver sends it
// several times a second, with every account that has any.
type DemandReported struct {
	list []AccountDemand
}

// NewDemandReported returns the event.
func NewDemandReported(list []AccountDemand) DemandReported { return DemandReported{list: list} }

func (DemandReported) event() {}

// Shares reports to the driver which share of each contract this instance may
// use. The shares of other accounts do not change.
type Shares struct {
	accounts []share.AccountShare
}

// Accounts returns the shares that changed.
func (dec Shares) Accounts() []share.AccountShare { return dec.accounts }

func (Shares) decision() {}

// ShareRequest asks the allocator of some accounts for shares of their
// contracts.
type ShareRequest struct {
	// requestedAt is counted from the sender's start; the grant returns it. A
	// wall-clock time would not do: leases counted by a clock that is set back
	// would last too long.
	requestedAt time.Duration
	// zone is set if the sender is a zone's allocator that borrows from another
	// zone.
	zone     string
	requests []share.Request
}

// NewShareRequest returns a request.
func NewShareRequest(requestedAt time.Duration, zone string, requests []share.Request) ShareRequest {
	return ShareRequest{requestedAt: requestedAt, zone: zone, requests: requests}
}

// RequestedAt returns when the request was made, counted from its sender's
// start.
func (msg ShareRequest) RequestedAt() time.Duration { return msg.requestedAt }

// Zone returns the borrowing zone, or "".
func (msg ShareRequest) Zone() string { return msg.zone }

// Requests returns one request for each account.
func (msg ShareRequest) Requests() []share.Request { return msg.requests }

func (ShareRequest) message() {}

// ShareGrant answers a ShareRequest; its shares are valid for
// share.LeaseDuration from the time of the request.
type ShareGrant struct {
	requestedAt time.Duration
	// zone is the lending zone if the shares are a loan to another zone.
	zone     string
	accounts []share.AccountShare
}

// NewShareGrant returns a grant.
func NewShareGrant(requestedAt time.Duration, zone string, accounts []share.AccountShare) ShareGrant {
	return ShareGrant{requestedAt: requestedAt, zone: zone, accounts: accounts}
}

// RequestedAt returns when the request was made, counted from its sender's
// start.
func (msg ShareGrant) RequestedAt() time.Duration { return msg.requestedAt }

// Zone returns the lending zone, or "".
func (msg ShareGrant) Zone() string { return msg.zone }

// Accounts returns the shares granted.
func (msg ShareGrant) Accounts() []share.AccountShare { return msg.accounts }

func (ShareGrant) message() {}

var (
	_ Event    = DemandReported{}
	_ Decision = Shares{}
	_ Message  = ShareRequest{}
	_ Message  = ShareGrant{}
)
