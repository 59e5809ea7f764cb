package sched

import (
	"maps"
	"slices"
	"time"
)

// RetryBudget limits how many requests of a service are retried within a
// sliding window: a ratio of its first attempts plus a fixed number. The limit
// holds for all entry instances together; share is the part of the fixed number
// that this instance may use. Without it, a failing pool receives every request
// twice, which keeps it from recovering.
//
// Load pattern: the requests of one client account fail and are all retried.
// While other accounts send requests to the service, an account may use at most
// accountFactor times what is left of the budget, so that some is always left.
type RetryBudget struct {
	ratio  float64
	slack  float64
	window time.Duration
	share  float64
	// undivided is set if all accounts count as one.
	undivided bool
	buckets   map[string][]bucket
	// knownSince is the time since which all retries of the fleet that this instance
	// decides on are known to it.
	knownSince time.Time
}

// bucket counts what happened in a part of the window.
type bucket struct {
	at      time.Time
	first   int
	retries int
	// denied are the retries that were asked for and not allowed.
	denied int
	// account is one of the accounts that sent requests, several is set if there
	// were others.
	account string
	several bool
	// byAccount are the retries of each account, at most maxRetryAccounts.
	byAccount map[string]int
}

const (
	// windowBuckets is the number of buckets per window.
	windowBuckets = 20
	// accountFactor bounds an account's retries by what is left of the budget.
	// One account gets two thirds of it, two get two fifths each. A lower
	// factor would refuse retries of an account with most of the traffic when a
	// server fails that all accounts use.
	accountFactor = 2
	// maxRetryAccounts bounds the accounts with an entry of their own in a bucket; the
	// others share the entry otherAccounts.
	maxRetryAccounts = 128
	otherAccounts    = "\x00"
)

// NewRetryBudget returns a budget that allows ratio retries per first attempt
// plus slack retries in each window.
func NewRetryBudget(ratio float64, slack int, window time.Duration) *RetryBudget {
	return &RetryBudget{ratio: ratio, slack: float64(slack), window: window, share: 1, buckets: map[string][]bucket{}}
}

// SetShare sets this instance's share, in [0,1], of the fixed number of
// retries.
func (bud *RetryBudget) SetShare(share float64) { bud.share = share }

// SetKnownSince notes that retries before a time are not known here: another instance
// allowed them, or this one before its start.
func (bud *RetryBudget) SetKnownSince(at time.Time) { bud.knownSince = at }

// DivideByAccount switches the bound on one account's retries on or off; it is on
// by default.
func (bud *RetryBudget) DivideByAccount(on bool) { bud.undivided = !on }

// name returns the name under which an account is counted.
func (bud *RetryBudget) name(account string) string {
	if bud.undivided {
		return ""
	}
	return account
}

// Count records a first attempt, or a retry, of a service by an account, which
// is empty for requests without one.
func (bud *RetryBudget) Count(now time.Time, service, account string, retry bool) {
	list, account := bud.trim(now, service), bud.name(account)
	if len(list) == 0 || now.Sub(list[len(list)-1].at) > bud.window/windowBuckets {
		list = append(list, bucket{at: now, account: account})
	}
	last := &list[len(list)-1]
	last.several = last.several || last.account != account
	if retry {
		last.retries++
		last.add(account, 1)
	} else {
		last.first++
	}
	bud.buckets[service] = list
}

// Deny records that a counted retry was not allowed, so that it takes nothing
// from other accounts.
func (bud *RetryBudget) Deny(now time.Time, service, account string) {
	list, account := bud.trim(now, service), bud.name(account)
	for idx := len(list) - 1; idx >= 0; idx-- {
		if list[idx].add(account, -1) {
			list[idx].retries--
			list[idx].denied++
			return
		}
	}
}

// add changes the number of an account's retries; it doesn't go below zero.
func (bkt *bucket) add(account string, num int) bool {
	if _, have := bkt.byAccount[account]; !have && len(bkt.byAccount) >= maxRetryAccounts {
		account = otherAccounts
	}
	if bkt.byAccount[account]+num < 0 {
		return false
	}
	if bkt.byAccount == nil {
		bkt.byAccount = map[string]int{}
	}
	bkt.byAccount[account] += num
	return true
}

// of returns the number of an account's retries.
func (bkt *bucket) of(account string) int {
	if num, have := bkt.byAccount[account]; have || len(bkt.byAccount) < maxRetryAccounts {
		return num
	}
	return bkt.byAccount[otherAccounts]
}

func (bud *RetryBudget) trim(now time.Time, service string) []bucket {
	list := bud.buckets[service]
	for len(list) > 0 && now.Sub(list[0].at) > bud.window+bud.window/windowBuckets {
		list = list[1:]
	}
	return list
}

// Allow reports whether one more retry of an account is within the budget. The
// retry itself may already be counted.
func (bud *RetryBudget) Allow(now time.Time, service, account string) bool {
	account = bud.name(account)
	first, retries, denied, own := 0, 0, 0, 0
	several := false
	for _, bkt := range bud.trim(now, service) {
		first += bkt.first
		retries += bkt.retries
		denied += bkt.denied
		own += bkt.of(account)
		several = several || bkt.several || bkt.account != account
	}
	limit := bud.limit(now, first)
	if !several {
		return float64(retries+denied) <= limit
	}
	// The limit of an instance may be a few retries: the first of an account
	// needs no more than that.
	left := limit - float64(retries)
	return left >= 0 && (own <= 1 || float64(own) <= accountFactor*left)
}

// limit returns the limit of retries, given the number of first attempts.
func (bud *RetryBudget) limit(now time.Time, first int) float64 {
	slack := bud.slack * bud.share
	if now.Sub(bud.knownSince) < bud.window {
		slack *= unknownShare
	}
	return budgetShare * (bud.ratio*float64(first) + slack)
}

// unknownShare is the part of the fixed number that may be used while the retries of the
// last window aren't known: it may have been used up, and several instances may have
// started since, one after the other.
const unknownShare = 0.25

// Usage is how much of its retry budget a service has used in the last window.
type Usage struct {
	First, Retries int
	Limit          float64
}

// Usage returns the usage of all services.
func (bud *RetryBudget) Usage(now time.Time) map[string]Usage {
	out := map[string]Usage{}
	for service := range bud.buckets {
		var usg Usage
		for _, bkt := range bud.trim(now, service) {
			usg.First += bkt.first
			usg.Retries += bkt.retries
		}
		usg.Limit = bud.limit(now, usg.First)
		out[service] = usg
	}
	return out
}

// RetryCount is the number of first attempts and of retries of a service in a part of the
// window that began an age ago.
type RetryCount struct {
	Service        string
	Age            time.Duration
	First, Retries int
}

// History returns the counts of the last window, for the next coordinator, and for how long
// all retries are known.
func (bud *RetryBudget) History(now time.Time) (counts []RetryCount, known time.Duration) {
	for _, service := range slices.Sorted(maps.Keys(bud.buckets)) {
		for _, bkt := range bud.trim(now, service) {
			counts = append(counts, RetryCount{Service: service, Age: now.Sub(bkt.at), First: bkt.first, Retries: bkt.retries})
		}
	}
	return counts, min(now.Sub(bud.knownSince), bud.window)
}

// Inherit replaces the counts by those of the coordinator before, which it sent at a time.
func (bud *RetryBudget) Inherit(sent time.Time, counts []RetryCount, known time.Duration) {
	clear(bud.buckets)
	for _, cnt := range counts {
		bud.buckets[cnt.Service] = append(bud.buckets[cnt.Service], bucket{at: sent.Add(-cnt.Age), first: cnt.First, retries: cnt.Retries})
	}
	for _, list := range bud.buckets {
		slices.SortFunc(list, func(one, two bucket) int { return one.at.Compare(two.at) })
	}
	bud.knownSince = sent.Add(-known)
}

// budgetShare leaves a fifth of the budget unused, because other instances
// count with windows that begin at other times and requests are in transit.
const budgetShare = 0.8
