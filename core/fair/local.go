package fair

import (
	"maps"
	"math"
	"slices"
	"strings"
	"time"
)

const (
	// contendedFor is how long a service counts as contended after a server
	// refused a request or an account was held to its share.
	contendedFor = time.Second
	// minInFlight is the least number of requests in flight at which an instance
	// counts its service as contended: in a large fleet its part of the slots is
	// less than one.
	minInFlight = 4
	// The accounts may ask for growFactor times what was served lately while no
	// server refuses, which finds out whether there is more room, and for less the
	// more are refused, down to shrinkFactor at refusedShare: accounts within their
	// share find a free slot only if the others leave some. Instances that divide by
	// themselves see a few of the refusals each, and leave more.
	growFactor        = 1.05
	shrinkFactor      = 0.8
	localShrinkFactor = 0.65
	refusedShare      = 0.04
	// maxCredit is the number of requests above its share that an account may
	// send at once by the division of one instance, which sees few requests.
	// noticeCredit is the part of a request with which it starts by the
	// coordinator's notice: three requests at each instance of a large fleet would
	// be most of a second's work of a small service.
	maxCredit    = 3
	noticeCredit = 0.5
	// levelPeriod is how long a computed level is used.
	levelPeriod = 50 * time.Millisecond
	// NoticeTTL is the age, counted from its arrival, up to which the notice of the
	// coordinator is used. It is three times the interval at which the notice is
	// sent in a fleet of up to 200.
	NoticeTTL = 3 * time.Second
	// maxLocalAccounts bounds the accounts of a service with an entry of their own;
	// the others share the entry of otherAccounts and its share.
	maxLocalAccounts = 256
	otherAccounts    = "\x00"
	// MaxUsageRows bounds the accounts in a report. The demand of the others is
	// reported as one number.
	MaxUsageRows = 8
	// minRate is the rate, in requests per second, below which an account has no
	// demand.
	minRate = 0.01
	// The usual time of an answer follows shorter ones at once and longer ones
	// slowly, so that it is that of the work without the server's queue.
	workDown    = 0.2
	workUp      = 0.005
	defaultWork = 50 * time.Millisecond
	minWork     = time.Millisecond
)

// Room is what an instance may count on of a service.
type Room struct {
	// Slots is the instance's part of the service's slots.
	Slots float64
	// Notice is the last notice of the coordinator on the service.
	Notice Notice
}

// Notice is the last notice of an instance that divides a resource: the accounts
// that are over their share.
type Notice struct {
	// At is when it arrived, by this instance's clock.
	At   time.Time
	Rows []Standing
}

// Fresh reports whether the notice is still used.
func (ntc Notice) Fresh(now time.Time) bool { return !ntc.At.IsZero() && now.Sub(ntc.At) <= NoticeTTL }

// Usage is what one instance reports of a contended service. Demand, Use and
// Served are in servers, like those of Standing.
type Usage struct {
	Resource string
	// Served is what servers did for the instance.
	Served float64
	// Refused is what servers refused.
	Refused float64
	// Rows are the accounts with the most demand, Rest is the demand of all
	// others.
	Rows []Standing
	Rest float64
}

// Local divides a service without a queue between the accounts that use one
// instance. It is at work only while the service is contended and two accounts
// or more have demand. An account over its share is admitted with the part of
// its requests that the share covers.
//
// Load pattern: one account sends a plain service more than its servers can do,
// through all instances; servers refuse what comes, whoever sent it.
//
// A Local is not safe for concurrent use.
type Local struct {
	resource string
	accounts map[string]*localAccount
	served   rate
	refused  rate
	// work is the usual time of an answer.
	work     time.Duration
	inFlight int
	// refusedAt is when a server last refused a request, heldAt when an account
	// was last held to its share.
	refusedAt time.Time
	heldAt    time.Time
	// level is the level of the own division, computed at levelAt.
	level   float64
	levelAt time.Time
}

// localAccount is what a Local knows of one account.
type localAccount struct {
	demand rate
	use    rate
	credit float64
}

// NewLocal returns the division of a service.
func NewLocal(resource string) *Local {
	return &Local{resource: resource, accounts: map[string]*localAccount{}, work: defaultWork}
}

// Ask counts a request and reports whether its account may send it now. If not,
// the standing says why.
func (loc *Local) Ask(now time.Time, account string, rom Room) (Standing, bool) {
	acc := loc.account(now, account)
	acc.demand.add(now, 1)
	sta, over := Standing{}, false
	if loc.contended(now, rom) {
		sta, over = loc.standing(now, account, acc, rom)
	}
	if !over {
		acc.credit = maxCredit + 1
	} else {
		if acc.credit > 1 && rom.Notice.Fresh(now) {
			acc.credit = noticeCredit
		}
		acc.credit += sta.Share / sta.Demand
	}
	if acc.credit < 1 {
		loc.heldAt = now
		return sta, false
	}
	acc.credit--
	acc.use.add(now, 1)
	loc.inFlight++
	return sta, true
}

// Ended records the end of an admitted request, and its time if a server
// answered it.
func (loc *Local) Ended(now time.Time, answered bool, took time.Duration) {
	loc.inFlight = max(0, loc.inFlight-1)
	if !answered {
		return
	}
	loc.served.add(now, 1)
	weight := workUp
	if took < loc.work {
		weight = workDown
	}
	loc.work = max(minWork, loc.work+time.Duration(weight*float64(took-loc.work)))
}

// Refused records that servers refused a request.
func (loc *Local) Refused(now time.Time) {
	loc.refusedAt = now
	loc.refused.add(now, 1)
}

// contended reports whether servers refuse requests, or would without the
// division.
func (loc *Local) contended(now time.Time, rom Room) bool {
	return now.Sub(loc.refusedAt) < contendedFor || now.Sub(loc.heldAt) < contendedFor || float64(loc.inFlight) >= max(minInFlight, rom.Slots)
}

// standing returns the standing of an account and whether it is over its share:
// by the coordinator's notice while that is fresh, else by the own division.
func (loc *Local) standing(now time.Time, account string, acc *localAccount, rom Room) (Standing, bool) {
	if rom.Notice.Fresh(now) {
		for _, sta := range rom.Notice.Rows {
			if sta.Account == account {
				return sta, sta.OverShare()
			}
		}
		return Standing{}, false
	}
	level := loc.ownLevel(now, rom)
	demand := loc.servers(acc.demand.get(now))
	if demand <= level {
		return Standing{}, false
	}
	return loc.row(now, account, acc, level), true
}

func (loc *Local) row(now time.Time, account string, acc *localAccount, level float64) Standing {
	demand := loc.servers(acc.demand.get(now))
	return Standing{Account: account, Resource: loc.resource, Demand: demand, Use: loc.servers(acc.use.get(now)), Share: level, Wait: excessWait(demand, level)}
}

// excessWait is how long an account's excess of the last half second takes at its
// share.
func excessWait(demand, share float64) time.Duration {
	if share <= 0 {
		return maxWait
	}
	return time.Duration(min(maxWait.Seconds(), max(0, (demand-share)/share*rateWindow.Seconds())) * float64(time.Second))
}

// servers converts requests per second to servers.
func (loc *Local) servers(requests float64) float64 { return requests * loc.work.Seconds() }

// ownLevel is the level of the division between the accounts of this instance,
// over what servers do for it: at least its part of the slots.
func (loc *Local) ownLevel(now time.Time, rom Room) float64 {
	if now.Sub(loc.levelAt) < levelPeriod {
		return loc.level
	}
	var demands []float64
	for name, acc := range loc.accounts {
		if got := acc.demand.get(now); got >= minRate {
			demands = append(demands, loc.servers(got))
		} else {
			delete(loc.accounts, name)
		}
	}
	loc.level, loc.levelAt = math.Inf(1), now
	if len(demands) > 1 {
		loc.level = waterLevel(demands, capacity(rom.Slots, loc.servers(loc.served.get(now)), loc.servers(loc.refused.get(now)), localShrinkFactor))
	}
	return loc.level
}

// capacity is what accounts may ask for together of servers that did so much of
// late, at least their slots; less by shrink while they refuse.
func capacity(slots, served, refused, shrink float64) float64 {
	share := 0.0
	if refused > 0 {
		share = min(1, refused/(served+refused)/refusedShare)
	}
	return max(slots, served) * (growFactor - share*(growFactor-shrink))
}

// account returns the entry of an account.
func (loc *Local) account(now time.Time, name string) *localAccount {
	if len(loc.accounts) >= maxLocalAccounts && loc.accounts[name] == nil {
		maps.DeleteFunc(loc.accounts, func(_ string, acc *localAccount) bool { return acc.demand.get(now) < minRate })
		if len(loc.accounts) >= maxLocalAccounts {
			name = otherAccounts
		}
	}
	acc := loc.accounts[name]
	if acc == nil {
		acc = &localAccount{credit: maxCredit}
		loc.accounts[name] = acc
	}
	return acc
}

// Usage returns the report for the coordinator, or false while the service is
// not contended.
func (loc *Local) Usage(now time.Time, rom Room) (Usage, bool) {
	if !loc.contended(now, rom) {
		return Usage{}, false
	}
	out := Usage{Resource: loc.resource, Served: loc.servers(loc.served.get(now)), Refused: loc.servers(loc.refused.get(now))}
	for name, acc := range loc.accounts {
		if acc.demand.get(now) >= minRate && name != otherAccounts {
			out.Rows = append(out.Rows, Standing{Account: name, Resource: loc.resource, Demand: loc.servers(acc.demand.get(now)), Use: loc.servers(acc.use.get(now))})
		}
	}
	if oth := loc.accounts[otherAccounts]; oth != nil {
		out.Rest = loc.servers(oth.demand.get(now))
	}
	sortByDemand(out.Rows)
	for len(out.Rows) > MaxUsageRows {
		last := len(out.Rows) - 1
		out.Rest += out.Rows[last].Demand
		out.Rows = out.Rows[:last]
	}
	return out, true
}

// Standings returns the accounts over their share by the own division, while
// that is in force.
func (loc *Local) Standings(now time.Time, rom Room) []Standing {
	if rom.Notice.Fresh(now) || !loc.contended(now, rom) {
		return nil
	}
	level := loc.ownLevel(now, rom)
	var out []Standing
	for name, acc := range loc.accounts {
		if sta := loc.row(now, name, acc, level); sta.OverShare() {
			out = append(out, sta)
		}
	}
	sortByDemand(out)
	return out
}

func sortByDemand(list []Standing) {
	slices.SortFunc(list, func(one, two Standing) int {
		switch {
		case one.Demand > two.Demand:
			return -1
		case one.Demand < two.Demand:
			return 1
		}
		return strings.Compare(one.Account, two.Account)
	})
}
