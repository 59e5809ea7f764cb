package core

import (
	"time"

	"lovagestream/core/fleet"
	"lovagestream/core/share"
)

// borrowed returns the share of an account that other zones currently lend.
func (shr *shares) borrowed(now time.Time, account string) float64 {
	sum := 0.0
	for _, zon := range shr.zones {
		if hld := shr.loans[loanKey{account, zon}]; hld != nil {
			sum += hld.Grantable(now)
		}
	}
	return sum
}

// borrow requests from other zones the share that the own zone lacks. An idle
// zone's allocator lends its part and has it back one lease after the zone
// needs it; a zone that is cut off does not answer.
func (shr *shares) borrow(now time.Time) []Decision {
	byLender := map[string][]share.Request{}
	for _, account := range sortedKeys(shr.allocators) {
		acc := shr.doc.Account(account)
		if acc == nil {
			continue
		}
		// Zones are asked one after the other, in the account's order: what one
		// lends, the next need not. Loans that each reacted to the others would
		// oscillate.
		shortage := shr.allocators[account].Shortage(shr.budget(acc))
		if shortage <= 0 && !shr.borrows(account) {
			continue
		}
		for _, zon := range fleet.Top("loan/"+account, shr.zones, len(shr.zones)) {
			shr.requestLoan(now, loanKey{account, zon}, shortage, byLender)
			if hld := shr.loans[loanKey{account, zon}]; hld != nil {
				shortage = max(0, shortage-hld.Held(now))
			}
		}
	}
	var decs []Decision
	for _, to := range sortedKeys(byLender) {
		decs = append(decs, send(to, ShareRequest{requestedAt: shr.ctl.uptime(), zone: shr.ctl.opt.self.zone, requests: byLender[to]}))
	}
	return decs
}

// borrows reports whether any zone lends a share of an account.
func (shr *shares) borrows(account string) bool {
	for _, zon := range shr.zones {
		if shr.loans[loanKey{account, zon}] != nil {
			return true
		}
	}
	return false
}

func (shr *shares) requestLoan(now time.Time, key loanKey, shortage float64, byLender map[string][]share.Request) {
	hld := shr.loans[key]
	if key.zone == shr.ctl.opt.self.zone || (hld == nil && shortage <= 0) {
		return
	}
	if hld == nil {
		hld = &share.Holder{}
		shr.loans[key] = hld
	}
	hld.SetNeed(shortage)
	hld.Trim(now, shr.loanInUse(now, key))
	to := shr.allocatorID(key.account, key.zone)
	if to == "" || !hld.Due(now, 0) || len(byLender[to]) >= maxRequests {
		return
	}
	byLender[to] = append(byLender[to], hld.Request(now, shr.ctl.started, key.account))
}

// loanInUse returns how much of the granted leases is covered by this loan
// alone; requesters use a lease until it expires.
func (shr *shares) loanInUse(now time.Time, key loanKey) float64 {
	alc, acc := shr.allocators[key.account], shr.doc.Account(key.account)
	if alc == nil || acc == nil {
		return 0
	}
	cover := shr.budget(acc)
	for _, zon := range shr.zones {
		if hld := shr.loans[loanKey{key.account, zon}]; hld != nil && zon != key.zone {
			cover += hld.Held(now)
		}
	}
	return max(0, alc.Used(now)-cover)
}

// lend answers another zone's allocator.
func (shr *shares) lend(now time.Time, from string, msg ShareRequest) []Decision {
	self := shr.ctl.opt.self
	if msg.zone == self.zone {
		return nil
	}
	var granted []share.AccountShare
	for _, req := range msg.requests {
		acc := shr.doc.Account(req.Account())
		alc := shr.allocator(now, req.Account())
		if acc == nil || alc == nil {
			continue
		}
		alc.ExpireNeeds(now)
		// Only the zone's own part is lent: a borrowed share that is lent on
		// would stay in use after its lender got it back.
		granted = append(granted, share.NewAccountShare(req.Account(), alc.Lend(now, msg.requestedAt, from, req, shr.budget(acc))))
	}
	if len(granted) == 0 {
		return nil
	}
	return []Decision{send(from, ShareGrant{requestedAt: msg.requestedAt, zone: self.zone, accounts: granted})}
}
