package entry

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"lovagestream/core/fair"
	"lovagestream/core/sched"
	"lovagestream/core/stock"
	"lovagestream/core/table"
	"lovagestream/io/lines"
)

// local returns the division of a plain service. The caller holds the lock.
func (pln *plainState) local(service string) *fair.Local {
	loc := pln.locals[service]
	if loc == nil {
		loc = fair.NewLocal(service)
		pln.locals[service] = loc
	}
	return loc
}

// room returns what this instance may count on of a plain service.
func (viw *View) room(service string) fair.Room {
	return fair.Room{Slots: Slots(viw.Servers[service]) / float64(max(1, viw.Known)), Notice: viw.Notices[service]}
}

// Slots returns the number of slots of the servers that aren't leaving.
func Slots(list []stock.Entry) float64 {
	num := 0
	for _, ent := range list {
		if !ent.Leaving {
			num += max(1, ent.Slots)
		}
	}
	return float64(num)
}

// askShare reports whether the account's share of a plain service covers this
// request. If not, the caller has been refused.
func (arq *activeRequest) askShare() bool {
	if arq.viw.UndividedAccounts {
		return true
	}
	pln := arq.srv.pln
	pln.mu.Lock()
	sta, ok := pln.local(arq.service).Ask(arq.arrived, arq.account(), arq.viw.room(arq.service))
	pln.mu.Unlock()
	if ok {
		return true
	}
	arq.standing = sta
	patience := time.Duration(sched.MaxRetryAfterShare * float64(arq.deadline.Sub(arq.arrived)))
	return arq.refuse(sched.ReasonOverShare, max(defaultRetryAfter, min(sta.Wait, patience)))
}

// endShare records the end of a request that askShare has admitted.
func (arq *activeRequest) endShare(took time.Duration) {
	if arq.viw.UndividedAccounts {
		return
	}
	pln := arq.srv.pln
	pln.mu.Lock()
	defer pln.mu.Unlock()
	pln.local(arq.service).Ended(arq.srv.clk.Now(), arq.answered, took)
}

// serversRefused records that no server took the request.
func (arq *activeRequest) serversRefused() {
	pln := arq.srv.pln
	pln.mu.Lock()
	defer pln.mu.Unlock()
	pln.local(arq.service).Refused(arq.srv.clk.Now())
}

// Usage returns the reports on the contended plain services, and the accounts
// that are over their share by this instance's own division.
func (srv *Server) Usage(now time.Time) (reports []fair.Usage, over []fair.Standing) {
	viw := srv.ctl.View()
	pln := srv.pln
	pln.mu.Lock()
	defer pln.mu.Unlock()
	for service, loc := range pln.locals {
		if !isPlain(viw.Table, service) {
			delete(pln.locals, service)
			continue
		}
		rom := viw.room(service)
		if usg, ok := loc.Usage(now, rom); ok && len(reports) < fair.MaxReported {
			reports = append(reports, usg)
			over = append(over, loc.Standings(now, rom)...)
		}
	}
	return reports, over
}

func isPlain(tab *table.Table, service string) bool {
	if tab == nil {
		return false
	}
	svc := tab.Service(service)
	return svc != nil && svc.Model == nil && svc.Batch == nil
}

// StandingFields returns the log fields of an account's standing. Amounts are in
// servers, the wait is in milliseconds.
func StandingFields(sta fair.Standing) lines.Fields {
	round := func(num float64) float64 { return math.Round(100*num) / 100 }
	return lines.Fields{
		"resource": sta.Resource, "account-demand": round(sta.Demand), "account-use": round(sta.Use),
		"account-share": round(sta.Share), "account-wait": sta.Wait.Milliseconds(),
	}
}

// AccountCount counts the requests of one account.
type AccountCount struct {
	Requests  int64 `json:"requests"`
	Refused   int64 `json:"refused"`
	OverShare int64 `json:"over-share"`
	// Waiting are those without a decision now.
	Waiting int64 `json:"waiting"`
}

const (
	// maxCountedAccounts bounds the accounts whose requests are counted; the
	// others are counted under RestOfAccounts.
	maxCountedAccounts = 2048
	// RestOfAccounts is the name of all accounts that are not named.
	RestOfAccounts = "*rest"
)

// countAccount counts a request of the account.
func (srv *Server) countAccount(account, reason string, refused bool) {
	srv.countsMu.Lock()
	defer srv.countsMu.Unlock()
	cnt := srv.counts[account]
	if cnt == nil {
		if len(srv.counts) >= maxCountedAccounts {
			account = RestOfAccounts
		}
		if cnt = srv.counts[account]; cnt == nil {
			cnt = &AccountCount{}
			srv.counts[account] = cnt
		}
	}
	cnt.Requests++
	if refused {
		cnt.Refused++
	}
	if reason == sched.ReasonOverShare {
		cnt.OverShare++
	}
}

// AccountCounts returns the counts of the accounts with the most requests, at
// most num, and of all others together. waiting are the requests without a
// decision by account.
func (srv *Server) AccountCounts(num int, waiting map[string]int64) map[string]AccountCount {
	srv.countsMu.Lock()
	defer srv.countsMu.Unlock()
	names := slices.SortedFunc(maps.Keys(srv.counts), func(one, two string) int {
		return cmp.Or(cmp.Compare(srv.counts[two].Requests, srv.counts[one].Requests), strings.Compare(one, two))
	})
	out := map[string]AccountCount{}
	for idx, name := range names {
		cnt := *srv.counts[name]
		cnt.Waiting = waiting[name]
		if idx < num {
			out[name] = cnt
			continue
		}
		sum := out[RestOfAccounts]
		out[RestOfAccounts] = AccountCount{Requests: sum.Requests + cnt.Requests, Refused: sum.Refused + cnt.Refused, OverShare: sum.OverShare + cnt.OverShare, Waiting: sum.Waiting + cnt.Waiting}
	}
	return out
}
