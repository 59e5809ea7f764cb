package edge

import (
	"maps"
	"slices"
	"time"

	"lovagestream/core/fair"
	"lovagestream/io/entry"
	"lovagestream/io/lines"
	"lovagestream/io/mesh"
)

// Division of resources between client accounts, as far as it concerns several
// instances; see docs/design/accounts-fleet.md.

const (
	// minAccountInterval is the least time between two reports, and between two
	// notices of the coordinator.
	minAccountInterval = 300 * time.Millisecond
	// accountIntervalPerMember lengthens that interval in large fleets: the
	// coordinator gets at most 200 reports a second.
	accountIntervalPerMember = 5 * time.Millisecond
	// noticeResendInterval is how often a notice that hasn't changed is sent again. It
	// is a third of the time for which a notice is used.
	noticeResendInterval = fair.NoticeTTL / 3
	// noticeTolerance is the change of demand or share, as a part of it, from which a
	// notice counts as changed.
	noticeTolerance = 0.1
	// maxNotices bounds the resources whose notices are kept.
	maxNotices = 64
)

// heldNotice is the last notice on a resource and the instance that sent it.
type heldNotice struct {
	fair.Notice
	from string
}

// accounts is the control thread's state of the division between client accounts.
type accounts struct {
	// usage returns this instance's reports, and the accounts over their share by
	// its own division.
	usage      func(now time.Time) ([]fair.Usage, []fair.Standing)
	reportedAt time.Time
	// notices are the last notices by resource. Of two coordinators, the one whose notice
	// arrived later holds.
	notices map[string]heldNotice
	// board, sent and sentAt are used while this instance is the coordinator: the
	// reports of all instances and the last notice that was sent.
	board  *fair.Board
	sent   []fair.Standing
	sentAt time.Time
	// over are the accounts over their share that this instance knows of by its
	// own decisions.
	over  []fair.Standing
	watch *fair.Watch
}

func newAccounts() *accounts {
	return &accounts{
		usage:   func(time.Time) ([]fair.Usage, []fair.Standing) { return nil, nil },
		notices: map[string]heldNotice{}, board: fair.NewBoard(), watch: fair.NewWatch(),
	}
}

// byResource returns the fresh notices for the view; nil if there are none.
func (acs *accounts) byResource(now time.Time) map[string]fair.Notice {
	var out map[string]fair.Notice
	for resource, ntc := range acs.notices {
		if !ntc.Fresh(now) {
			delete(acs.notices, resource)
			continue
		}
		if out == nil {
			out = map[string]fair.Notice{}
		}
		out[resource] = ntc.Notice
	}
	return out
}

// accept takes the notice of a coordinator in place of what it said before.
func (acs *accounts) accept(now time.Time, from string, list []fair.Standing) {
	maps.DeleteFunc(acs.notices, func(_ string, ntc heldNotice) bool { return ntc.from == from })
	rows := map[string][]fair.Standing{}
	for _, sta := range list {
		rows[sta.Resource] = append(rows[sta.Resource], sta)
	}
	for resource, got := range rows {
		if _, have := acs.notices[resource]; !have && len(acs.notices) >= maxNotices {
			continue
		}
		acs.notices[resource] = heldNotice{Notice: fair.Notice{At: now, Rows: got}, from: from}
	}
}

// accountInterval is the interval of reports and notices.
func (ctl *Control) accountInterval(now time.Time) time.Duration {
	_, known := ctl.mem.Count(now)
	return max(minAccountInterval, time.Duration(known)*accountIntervalPerMember)
}

// divideAccounts reports what accounts ask of contended services, sends the
// coordinator's notice, and logs the accounts that passed their share or are back.
func (ctl *Control) divideAccounts(now time.Time) {
	if ctl.set.UndividedAccounts {
		return
	}
	acs := ctl.accounts
	interval := ctl.accountInterval(now)
	reports, over := acs.usage(now)
	if len(reports) > 0 && now.Sub(acs.reportedAt) >= interval {
		acs.reportedAt = now
		ctl.reportUsage(now, reports)
	}
	if ctl.coordinator == ctl.set.AdvertisedAddr {
		over = append(over, ctl.sched.Standings(now)...)
		over = append(over, ctl.sendNotice(now, interval)...)
	}
	acs.over = over
	passed, back := acs.watch.Update(now, over)
	for _, one := range passed {
		ctl.logAccount("account-over-share", one)
	}
	for _, one := range back {
		ctl.logAccount("account-within-share", one)
	}
}

func (ctl *Control) logAccount(kind string, one fair.Over) {
	fie := lines.Fields{"account": one.Account, "lasted": one.Lasted.Milliseconds()}
	maps.Copy(fie, entry.StandingFields(one.Standing))
	ctl.log.Log(kind, fie)
}

func (ctl *Control) reportUsage(now time.Time, reports []fair.Usage) {
	if ctl.coordinator == ctl.set.AdvertisedAddr {
		ctl.accounts.board.Put(now, ctl.set.AdvertisedAddr, reports)
		return
	}
	ctl.lnk.Send(ctl.coordinator, mesh.Usages{List: reports})
}

// sendNotice sends the accounts over their share to the instances that reported, if
// that has changed or is due again, and returns them.
func (ctl *Control) sendNotice(now time.Time, interval time.Duration) []fair.Standing {
	acs := ctl.accounts
	list := acs.board.Standings(now, func(service string) float64 { return entry.Slots(ctl.servers[service]) })
	since := now.Sub(acs.sentAt)
	if len(list) == 0 && len(acs.sent) == 0 || since < interval || since < noticeResendInterval && sameNotice(acs.sent, list) {
		return list
	}
	acs.sent, acs.sentAt = list, now
	acs.accept(now, ctl.set.AdvertisedAddr, list)
	for _, adr := range acs.board.Reporters(now) {
		if adr != ctl.set.AdvertisedAddr {
			ctl.lnk.Send(adr, mesh.Standings{List: list})
		}
	}
	return list
}

// sameNotice reports whether two notices name the same accounts with about the same
// shares.
func sameNotice(one, two []fair.Standing) bool {
	near := func(old, cur float64) bool { return max(old-cur, cur-old) <= noticeTolerance*old }
	return len(one) == len(two) && !slices.ContainsFunc(one, func(sta fair.Standing) bool {
		return !slices.ContainsFunc(two, func(oth fair.Standing) bool {
			return sta.Account == oth.Account && sta.Resource == oth.Resource && near(sta.Demand, oth.Demand) && near(sta.Share, oth.Share)
		})
	})
}

// handleUsages adds a peer's report up, whether or not this instance counts itself
// as the coordinator: the peer may know better.
func (ctl *Control) handleUsages(now time.Time, from string, msg mesh.Usages) {
	ctl.accounts.board.Put(now, from, msg.List)
}

// handleStandings takes the notice of a coordinator.
func (ctl *Control) handleStandings(now time.Time, from string, msg mesh.Standings) {
	if ctl.set.UndividedAccounts {
		return
	}
	ctl.accounts.accept(now, from, msg.List)
	ctl.viewStale = true
}

// waitingByAccount counts the requests of this instance that wait for a decision;
// nil if no metrics name accounts.
func (ctl *Control) waitingByAccount() map[string]int64 {
	if ctl.set.AccountMetrics == 0 {
		return nil
	}
	out := map[string]int64{}
	for _, req := range ctl.pending {
		if !req.placed {
			out[req.spec.Account]++
		}
	}
	return out
}

// accountMetric is the standing of an account at a resource in the metrics.
// Amounts are in servers.
type accountMetric struct {
	Demand float64 `json:"demand"`
	Use    float64 `json:"use"`
	Share  float64 `json:"share"`
	WaitMS int64   `json:"wait-ms"`
}

// overShareMetrics returns the accounts over their share by resource, at most num
// of them, and all others together.
func overShareMetrics(list []fair.Standing, num int) map[string]map[string]accountMetric {
	out := map[string]map[string]accountMetric{}
	named := 0
	for _, sta := range list {
		if !sta.OverShare() {
			continue
		}
		name := sta.Account
		if named >= num {
			name = entry.RestOfAccounts
		}
		named++
		if out[sta.Resource] == nil {
			out[sta.Resource] = map[string]accountMetric{}
		}
		sum := out[sta.Resource][name]
		out[sta.Resource][name] = accountMetric{Demand: sum.Demand + sta.Demand, Use: sum.Use + sta.Use, Share: sum.Share + sta.Share, WaitMS: max(sum.WaitMS, sta.Wait.Milliseconds())}
	}
	return out
}
