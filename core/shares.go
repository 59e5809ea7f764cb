package core

import (
	"math"
	"sort"
	"time"

	"lovagestream/core/config"
	"lovagestream/core/fleet"
	"lovagestream/core/share"
)

const (
	// maxRequests bounds the accounts of one message; the others are sent with
	// the next.
	maxRequests = 128
	// minShareRaise is the least relative increase of a share that is reported
	// to the driver; decreases are always reported.
	minShareRaise = 0.02
)

// shares is the component that divides the contracts among entry instances.
// Inside a zone, rendezvous hashing over the live members selects the instance
// that allocates an account's part.
type shares struct {
	ctl *Control
	// doc, live and zoneSize are those that the current floors derive from.
	doc      *config.Document
	live     []string
	zoneSize int
	// zones are the zones with any other instance.
	zones []string
	// holders holds the accounts with demand or a lease here.
	holders map[string]*share.Holder
	// allocators holds the accounts that this instance allocates.
	allocators map[string]*share.Allocator
	// loans holds what this instance borrows as an allocator.
	loans map[loanKey]*share.Holder
	// reported holds the shares last reported to the driver.
	reported map[string]float64
	// floorsChanged is set when any floor may have changed; lapsed holds
	// accounts that are no longer among holders.
	floorsChanged bool
	lapsed        []string
	// resumedAt is when the last pause ended, or zero.
	resumedAt time.Time
}

// loanKey is an account and the lending zone.
type loanKey struct {
	account string
	zone    string
}

var _ component = (*shares)(nil)

func newShares(ctl *Control) *shares {
	return &shares{
		ctl:        ctl,
		holders:    map[string]*share.Holder{},
		allocators: map[string]*share.Allocator{},
		loans:      map[loanKey]*share.Holder{},
		reported:   map[string]float64{},
	}
}

func (shr *shares) step(now time.Time, ev Event) []Decision {
	if shr.ctl.conf.doc == nil {
		return nil
	}
	shr.refresh()
	var decs []Decision
	switch evt := ev.(type) {
	case DemandReported:
		shr.applyDemand(evt)
		decs = shr.requestLeases(now)
	case MessageReceived:
		switch msg := evt.msg.(type) {
		case ShareRequest:
			decs = shr.answerRequest(now, evt.from, msg)
		case ShareGrant:
			shr.applyGrant(now, msg)
		default:
			return nil
		}
	case Tick:
		shr.sweep(now)
		decs = append(shr.requestLeases(now), shr.borrow(now)...)
	case resumed:
		// Another allocator may have taken over during the pause and granted
		// shares that are free by this state.
		clear(shr.allocators)
		clear(shr.loans)
		shr.resumedAt = now
	default:
		return nil
	}
	return append(decs, shr.reportShares(now)...)
}

func (shr *shares) fill(vie *View) {
	vie.shares = make(map[string]float64, len(shr.holders))
	for account := range shr.holders {
		vie.shares[account] = shr.reported[account]
	}
}

// refresh applies a new configuration or a change of members.
func (shr *shares) refresh() {
	mem := shr.ctl.members
	if shr.doc == shr.ctl.conf.doc && sameNames(shr.live, mem.Live()) && sameNames(shr.zones, mem.Zones()) && shr.zoneSize == mem.ZoneSize() {
		return
	}
	if shr.doc != nil && shr.standalone() && len(mem.All()) > 0 {
		shr.endStandalone()
	}
	shr.floorsChanged = true
	shr.doc, shr.live, shr.zones, shr.zoneSize = shr.ctl.conf.doc, mem.Live(), mem.Zones(), mem.ZoneSize()
	for account := range shr.allocators {
		if !shr.allocates(account) {
			delete(shr.allocators, account)
		}
	}
	for account := range shr.reported {
		if shr.doc.Account(account) == nil {
			delete(shr.reported, account)
			delete(shr.holders, account)
			delete(shr.allocators, account)
		}
	}
}

// endStandalone turns the shares that a single instance used without leases
// into leases, which it must renew like any other.
func (shr *shares) endStandalone() {
	now := shr.ctl.now
	for account, hld := range shr.holders {
		hld.ApplyGrant(now, now, shr.reported[account])
	}
}

func sameNames(one, two []string) bool {
	if len(one) != len(two) {
		return false
	}
	for i := range one {
		if one[i] != two[i] {
			return false
		}
	}
	return true
}

// standalone reports whether the list was read and names no other instance.
func (shr *shares) standalone() bool { return shr.ctl.list.hasList && len(shr.zones) == 0 }

// zonePart returns a zone's part of an account's contract. The parts of zones
// without any instance go to the other zones in proportion, since they can't be
// used there. Before the list is read, every zone counts as having instances.
func (shr *shares) zonePart(acc *config.Account, zone string) float64 {
	con := acc.Contract()
	if !shr.ctl.list.hasList {
		return con.ZoneShare(zone)
	}
	sum := con.ZoneShare(shr.ctl.opt.self.zone)
	for _, zon := range shr.zones {
		if zon != shr.ctl.opt.self.zone {
			sum += con.ZoneShare(zon)
		}
	}
	if sum <= 0 {
		return 0
	}
	return con.ZoneShare(zone) / sum
}

// floor returns the share that is used without a lease. Instances that crashed
// count until the list drops them, since each may be back before the others
// notice.
func (shr *shares) floor(acc *config.Account) float64 {
	if shr.standalone() {
		return 1
	}
	return shr.zonePart(acc, shr.ctl.opt.self.zone) * share.Floor / float64(shr.zoneSize)
}

// budget returns what the own zone's allocator may grant, without loans.
func (shr *shares) budget(acc *config.Account) float64 {
	return shr.zonePart(acc, shr.ctl.opt.self.zone) * (1 - share.Floor)
}

// allocatorID returns the instance that allocates an account's part in a zone.
func (shr *shares) allocatorID(account, zone string) string {
	return fleet.Owner("share/"+account, shr.ctl.members.LiveIn(zone))
}

func (shr *shares) allocates(account string) bool {
	return shr.allocatorID(account, shr.ctl.opt.self.zone) == shr.ctl.opt.self.id
}

func (shr *shares) applyDemand(evt DemandReported) {
	for _, hld := range shr.holders {
		hld.SetNeed(0)
	}
	for _, dem := range evt.list {
		acc := shr.doc.Account(dem.account)
		if acc == nil {
			continue
		}
		hld := shr.holders[dem.account]
		if hld == nil {
			hld = &share.Holder{}
			shr.holders[dem.account] = hld
		}
		con := acc.Contract()
		need := max(dem.rate/con.Rate(), float64(dem.running)/float64(con.Concurrency()), dem.tokens/con.Tokens())
		hld.SetNeed(need)
	}
}

// requestLeases requests a lease for each account that is due, from the
// account's allocator.
func (shr *shares) requestLeases(now time.Time) []Decision {
	if shr.standalone() {
		return nil
	}
	self := shr.ctl.opt.self
	byAllocator := map[string][]share.Request{}
	var notDue []string
	for _, account := range sortedKeys(shr.holders) {
		hld := shr.holders[account]
		hld.Trim(now, 0)
		if hld.Due(now, shr.floorOf(account)) {
			shr.addRequest(now, account, byAllocator)
		} else {
			notDue = append(notDue, account)
		}
	}
	for _, account := range notDue {
		if !shr.holders[account].DueSoon(now, shr.floorOf(account)) {
			continue
		}
		if len(byAllocator[shr.allocatorID(account, self.zone)]) > 0 {
			shr.addRequest(now, account, byAllocator)
		}
	}
	if own := byAllocator[self.id]; len(own) > 0 {
		requestedAt := shr.ctl.uptime()
		shr.applyGrant(now, ShareGrant{requestedAt: requestedAt, accounts: shr.grantShares(now, requestedAt, self.id, own)})
		delete(byAllocator, self.id)
	}
	var decs []Decision
	for _, to := range sortedKeys(byAllocator) {
		decs = append(decs, send(to, ShareRequest{requestedAt: shr.ctl.uptime(), requests: byAllocator[to]}))
	}
	return decs
}

// addRequest adds an account to the message to its allocator.
func (shr *shares) addRequest(now time.Time, account string, byAllocator map[string][]share.Request) {
	to := shr.allocatorID(account, shr.ctl.opt.self.zone)
	if to != "" && len(byAllocator[to]) < maxRequests {
		byAllocator[to] = append(byAllocator[to], shr.holders[account].Request(now, shr.ctl.started, account))
	}
}

// floorOf is floor for an account that may have been removed from the
// configuration; such an account needs nothing.
func (shr *shares) floorOf(account string) float64 {
	if acc := shr.doc.Account(account); acc != nil {
		return shr.floor(acc)
	}
	return 1
}

func sortedKeys[V any](byName map[string]V) []string {
	names := make([]string, 0, len(byName))
	for name := range byName {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// allocator returns the allocator state of an account; nil if another instance
// allocates it.
func (shr *shares) allocator(now time.Time, account string) *share.Allocator {
	if !shr.allocates(account) {
		return nil
	}
	alc := shr.allocators[account]
	if alc == nil {
		alc = share.NewAllocator(shr.allocatorSince(now, account))
		shr.allocators[account] = alc
	}
	return alc
}

// allocatorSince returns the time since which no other instance can have
// granted leases on an account. An instance that fell silent has granted
// nothing since its last message, so its successor's grace period begins there.
func (shr *shares) allocatorSince(now time.Time, account string) time.Time {
	self := shr.ctl.opt.self
	names := append([]string(nil), shr.live...)
	for _, mem := range shr.ctl.members.All() {
		if mem.State() == fleet.Suspected && mem.Zone() == self.zone {
			names = append(names, mem.ID())
		}
	}
	previous := shr.ctl.members.Find(fleet.Owner("share/"+account, names))
	if previous == nil || previous.State() != fleet.Suspected {
		return now
	}
	if shr.resumedAt.After(previous.LastHeard()) {
		return shr.resumedAt
	}
	return previous.LastHeard()
}

// grantShares grants shares to a requester of the own zone.
func (shr *shares) grantShares(now time.Time, requestedAt time.Duration, from string, reqs []share.Request) []share.AccountShare {
	var granted []share.AccountShare
	for _, req := range reqs {
		acc := shr.doc.Account(req.Account())
		alc := shr.allocator(now, req.Account())
		if acc == nil || alc == nil {
			continue
		}
		alc.ExpireNeeds(now)
		budget := shr.budget(acc) + shr.borrowed(now, req.Account())
		granted = append(granted, share.NewAccountShare(req.Account(), alc.Grant(now, requestedAt, from, req, budget)))
	}
	return granted
}

func (shr *shares) answerRequest(now time.Time, from string, msg ShareRequest) []Decision {
	if msg.zone != "" {
		return shr.lend(now, from, msg)
	}
	mem := shr.ctl.members.Find(from)
	if mem == nil || mem.Zone() != shr.ctl.opt.self.zone {
		return nil
	}
	granted := shr.grantShares(now, msg.requestedAt, from, msg.requests)
	if len(granted) == 0 {
		return nil
	}
	return []Decision{send(from, ShareGrant{requestedAt: msg.requestedAt, accounts: granted})}
}

// applyGrant applies shares of the own zone, or another zone's loan.
func (shr *shares) applyGrant(now time.Time, msg ShareGrant) {
	requestedAt := shr.ctl.started.Add(msg.requestedAt)
	for _, acs := range msg.accounts {
		if msg.zone != "" {
			key := loanKey{acs.Account(), msg.zone}
			if hld := shr.loans[key]; hld != nil {
				hld.ApplyLoan(now, requestedAt, acs.Share(), shr.loanInUse(now, key))
			}
			continue
		}
		if hld := shr.holders[acs.Account()]; hld != nil {
			hld.ApplyGrant(now, requestedAt, acs.Share())
		}
	}
}

// sweep removes idle accounts, requesters and loans.
func (shr *shares) sweep(now time.Time) {
	for account, hld := range shr.holders {
		if hld.Idle(now) {
			delete(shr.holders, account)
			shr.lapsed = append(shr.lapsed, account)
		}
	}
	for account, alc := range shr.allocators {
		alc.ExpireNeeds(now)
		if !alc.Prune(now) {
			delete(shr.allocators, account)
		}
	}
	for key, hld := range shr.loans {
		if hld.Idle(now) {
			delete(shr.loans, key)
		}
	}
}

// reportShares reports changed shares to the driver: decreases always,
// increases from minShareRaise on.
func (shr *shares) reportShares(now time.Time) []Decision {
	accounts := append(sortedKeys(shr.holders), shr.lapsed...)
	if shr.floorsChanged {
		accounts = nil
		for _, acc := range shr.doc.Accounts() {
			accounts = append(accounts, acc.Name())
		}
	}
	shr.floorsChanged, shr.lapsed = false, nil
	var changed []share.AccountShare
	for _, name := range accounts {
		acc := shr.doc.Account(name)
		if acc == nil {
			continue
		}
		got := shr.floor(acc)
		if hld := shr.holders[acc.Name()]; hld != nil {
			got = min(1, got+hld.Held(now))
		}
		old, has := shr.reported[acc.Name()]
		if has && got <= old && old-got < 1e-9 || has && got > old && got-old < minShareRaise*math.Max(old, 1e-6) {
			continue
		}
		shr.reported[acc.Name()] = got
		changed = append(changed, share.NewAccountShare(acc.Name(), got))
	}
	if len(changed) == 0 {
		return nil
	}
	return []Decision{Shares{accounts: changed}}
}
