package retry

import (
	"time"
)

// Window limits how many requests of each service an entry instance sends again within
// a sliding window: a ratio of the requests that it got, plus its part of a fixed number.
// Every instance limits what it sends itself, so that the limits add up to that of all
// instances whichever of them are live, cut off or stopping.
//
// Load pattern: the requests of one client account fail and are all retried.
// While other accounts send requests to the service, an account may use at most
// accountFactor times what is left of the limit, so that some is always left.
type Window struct {
	ratio  float64
	slack  float64
	length time.Duration
	part   float64
	// undivided is set if all accounts count as one.
	undivided bool
	services  map[string]*serviceCounts
	// knownSince is the time since which all retries of this instance are known.
	knownSince time.Time
}

// serviceCounts are the counts of one service.
type serviceCounts struct {
	buckets []bucket
	// reserved are the retries, by account, that may be sent and haven't been; its values
	// are positive.
	reserved map[string]int
}

// bucket counts what happened in a part of the window.
type bucket struct {
	at      time.Time
	first   int
	retries int
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
	// accountFactor bounds an account's retries by what is left of the limit.
	// One account gets two thirds of it, two get two fifths each. A lower
	// factor would refuse retries of an account with most of the traffic when a
	// server fails that all accounts use.
	accountFactor = 2
	// maxRetryAccounts bounds the accounts with an entry of their own in a bucket; the
	// others share the entry otherAccounts.
	maxRetryAccounts = 128
	otherAccounts    = "\x00"
	// usedShare leaves a fifth of the limit unused, because servers count with windows that
	// begin at other times and requests are in transit.
	usedShare = 0.8
	// unknownShare is the part of the limit that may be used while the retries of the last
	// window aren't known, as after a start: they may have used the rest.
	unknownShare = 0.25
)

// NewWindow returns a window of a length that allows ratio retries per request plus slack
// retries, of all instances together.
func NewWindow(ratio float64, slack int, length time.Duration) *Window {
	return &Window{ratio: ratio, slack: float64(slack), length: length, part: 1, services: map[string]*serviceCounts{}}
}

// SetPart sets this instance's part, in [0,1], of the fixed number of retries.
func (win *Window) SetPart(part float64) { win.part = part }

// SetKnownSince notes that retries before a time aren't known: an earlier process of this
// instance may have sent some.
func (win *Window) SetKnownSince(at time.Time) { win.knownSince = at }

// DivideByAccount switches the bound on one account's retries on or off; it is on
// by default.
func (win *Window) DivideByAccount(on bool) { win.undivided = !on }

// name returns the name under which an account is counted.
func (win *Window) name(account string) string {
	if win.undivided {
		return ""
	}
	return account
}

// AddRequest records a request for a service by an account, which is empty for requests
// without one.
func (win *Window) AddRequest(now time.Time, service, account string) {
	win.last(now, service, win.name(account)).first++
}

// Reserve reports whether the limit allows one more retry, and reserves it. A reserved
// retry must be sent or released.
func (win *Window) Reserve(now time.Time, service, account string) bool {
	if !win.Allows(now, service, account) {
		return false
	}
	win.services[service].reserve(win.name(account), 1)
	return true
}

// Send records that a reserved retry is sent now. It counts against the limit for the
// length of the window from now on: it may have waited for a server until now.
func (win *Window) Send(now time.Time, service, account string) {
	account = win.name(account)
	bkt := win.last(now, service, account)
	bkt.retries++
	bkt.add(account, 1)
	win.services[service].reserve(account, -1)
}

// Unsend records that the last retry that was sent reached no server; it is reserved again.
func (win *Window) Unsend(now time.Time, service, account string) {
	account = win.name(account)
	list := win.trim(now, service).buckets
	for idx := len(list) - 1; idx >= 0; idx-- {
		if list[idx].add(account, -1) {
			list[idx].retries--
			break
		}
	}
	win.services[service].reserve(account, 1)
}

// Release gives a reserved retry back.
func (win *Window) Release(service, account string) {
	if cnt := win.services[service]; cnt != nil {
		cnt.reserve(win.name(account), -1)
	}
}

// Allows reports whether the limit allows one more retry of an account.
func (win *Window) Allows(now time.Time, service, account string) bool {
	account = win.name(account)
	cnt := win.trim(now, service)
	first, several := 0, false
	own := 1 + cnt.reserved[account]
	retries := 1
	for _, num := range cnt.reserved {
		retries += num
	}
	for _, bkt := range cnt.buckets {
		first += bkt.first
		retries += bkt.retries
		own += bkt.of(account)
		several = several || bkt.several || bkt.account != account
	}
	limit := win.limit(now, first)
	if !several {
		return float64(retries) <= limit
	}
	// The limit of an instance may be a few retries: the first of an account
	// needs no more than that.
	left := limit - float64(retries)
	return left >= 0 && (own <= 1 || float64(own) <= accountFactor*left)
}

// limit returns the limit of retries, given the number of requests.
func (win *Window) limit(now time.Time, first int) float64 {
	limit := usedShare * (win.ratio*float64(first) + win.slack*win.part)
	if now.Sub(win.knownSince) < win.length {
		limit *= unknownShare
	}
	return limit
}

// Usage is how much of its limit a service has used in the last window.
type Usage struct {
	Requests, Retries int
	Limit             float64
}

// Usage returns the usage of all services.
func (win *Window) Usage(now time.Time) map[string]Usage {
	out := map[string]Usage{}
	for service := range win.services {
		var usg Usage
		for _, bkt := range win.trim(now, service).buckets {
			usg.Requests += bkt.first
			usg.Retries += bkt.retries
		}
		usg.Limit = win.limit(now, usg.Requests)
		out[service] = usg
	}
	return out
}

// trim returns the counts of a service without the buckets that are over.
func (win *Window) trim(now time.Time, service string) *serviceCounts {
	cnt := win.services[service]
	if cnt == nil {
		cnt = &serviceCounts{reserved: map[string]int{}}
		win.services[service] = cnt
	}
	for len(cnt.buckets) > 0 && now.Sub(cnt.buckets[0].at) > win.length+win.length/windowBuckets {
		cnt.buckets = cnt.buckets[1:]
	}
	return cnt
}

// last returns the present bucket of a service, in which an account sends a request.
func (win *Window) last(now time.Time, service, account string) *bucket {
	cnt := win.trim(now, service)
	if len(cnt.buckets) == 0 || now.Sub(cnt.buckets[len(cnt.buckets)-1].at) > win.length/windowBuckets {
		cnt.buckets = append(cnt.buckets, bucket{at: now, account: account})
	}
	bkt := &cnt.buckets[len(cnt.buckets)-1]
	bkt.several = bkt.several || bkt.account != account
	return bkt
}

func (cnt *serviceCounts) reserve(account string, num int) {
	cnt.reserved[account] += num
	if cnt.reserved[account] <= 0 {
		delete(cnt.reserved, account)
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
