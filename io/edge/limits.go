package edge

import (
	"time"

	"lovagestream/core/call"
	"lovagestream/core/rates"
	"lovagestream/core/stock"
	"lovagestream/io/lines"
	"lovagestream/io/mesh"
)

const (
	// limitResendInterval is how often a limit in force is sent to the peers
	// again by each instance that knows of it, so that a peer that missed it learns
	// of it within that time.
	limitResendInterval = time.Second
	// endResendInterval is the same for the end of a limit that hasn't taken
	// effect yet.
	endResendInterval = 250 * time.Millisecond
	// freeInterval is the least time between two requests that free results at a
	// limited server, and freeRateShare the largest part of the server's rate
	// that they use.
	freeInterval  = time.Second
	freeRateShare = 0.5
)

// limits is the control thread's state of rate-limited servers.
type limits struct {
	limiter *rates.Limiter
	// sentAt is when a server's limit was last sent to the peers, by its ID; freedAt
	// is when results were last freed at an address. Both are cleared with the
	// last limit.
	sentAt  map[string]time.Time
	freedAt map[string]time.Time
	// brittleSentAt is when a brittle server was last sent to the peers.
	brittleSentAt map[string]time.Time
}

func newLimits() *limits {
	return &limits{limiter: rates.NewLimiter(), sentAt: map[string]time.Time{}, freedAt: map[string]time.Time{}, brittleSentAt: map[string]time.Time{}}
}

// servers returns the limited servers; nil if there are none.
func (lim *limits) servers() map[string]bool {
	if lim.limiter.Len() == 0 {
		return nil
	}
	out := map[string]bool{}
	for _, one := range lim.limiter.All() {
		out[one.Server] = true
	}
	return out
}

// services returns the services with a limited or cold server; nil if there are
// none.
func (lim *limits) services(now time.Time, live map[string][]stock.Entry) map[string]bool {
	brittle := lim.limiter.BrittleServers()
	if !lim.limiter.Bounded() && brittle == nil {
		return nil
	}
	out := map[string]bool{}
	for name, list := range live {
		for _, ent := range list {
			if _, limited := lim.limiter.OwnRate(now, ent.ID); limited || brittle[ent.ID] > 0 {
				out[name] = true
			}
		}
	}
	return out
}

// reports returns all limits in force, for a new peer.
func (lim *limits) reports() []rates.Report {
	var out []rates.Report
	for _, one := range lim.limiter.All() {
		out = append(out, rates.Report{Server: one.Server, Rate: one.Rate})
	}
	return out
}

// observeLimit processes the rate limit in a server's answer. Answers of servers
// without a limit, before and now, post no event.
func (ctl *Control) observeLimit(server string, ans call.ResponseHead) {
	switch {
	case ans.RateLimitInvalid:
		ctl.noteUnreadable(server, "limit")
	case ans.RateLimited || ctl.View().LimitedServers[server]:
		ctl.post(evLimit{rates.Report{Server: server, Rate: ans.RateLimit, Ended: !ans.RateLimited}})
	}
}

type evLimit struct{ report rates.Report }

func (evt evLimit) apply(ctl *Control, now time.Time) { ctl.applyLimit(now, evt.report, "") }

// applyLimit applies a report of a server's limit, from an answer or a peer, and
// sends it to the peers if it changes anything.
func (ctl *Control) applyLimit(now time.Time, rep rates.Report, from string) {
	old, had := ctl.limits.limiter.Limit(rep.Server)
	if !had && !ctl.listed(rep.Server) {
		return
	}
	got := ctl.limits.limiter.Observe(now, rep)
	if got != rates.Unchanged {
		ctl.logLimit(now, rep, got, old, from)
		ctl.viewStale = true
	}
	if got != rates.Unchanged || from == "" && ctl.limits.resendDue(now, rep) {
		ctl.sendLimit(now, rep, from)
	}
}

// resendDue reports whether a report that changes nothing here is to be sent
// again: a limit in force, or an end that hasn't taken effect. Each instance
// delays the end of a limit according to the reports that it has received itself.
func (lim *limits) resendDue(now time.Time, rep rates.Report) bool {
	interval := limitResendInterval
	if rep.Ended {
		interval = endResendInterval
	}
	return now.Sub(lim.sentAt[rep.Server]) >= interval
}

func (ctl *Control) listed(server string) bool {
	for _, ent := range ctl.live {
		if ent.ID == server {
			return true
		}
	}
	return false
}

// sendLimit sends a report to the peers. A hub forwards reports of instances that
// link only to hubs.
func (ctl *Control) sendLimit(now time.Time, rep rates.Report, from string) {
	if from != "" && (!ctl.mem.SelfIsHub(now) || ctl.mem.IsHub(now, from)) {
		return
	}
	ctl.limits.sentAt[rep.Server] = now
	for _, adr := range ctl.mem.Peers() {
		if adr != from {
			ctl.lnk.Send(adr, mesh.Limits{List: []rates.Report{rep}})
		}
	}
}

// applyDueLimits applies reports whose delay is over.
func (ctl *Control) applyDueLimits(now time.Time) {
	ctl.expireColdServers(now)
	ctl.expireBrittle(now)
	if !ctl.limits.limiter.Bounded() {
		clear(ctl.limits.sentAt)
		clear(ctl.limits.freedAt)
		return
	}
	before := map[string]rates.Limit{}
	for _, one := range ctl.limits.limiter.All() {
		before[one.Server] = one
	}
	for _, rep := range ctl.limits.limiter.ApplyPending(now) {
		got := rates.Changed
		if rep.Ended {
			got = rates.Ended
		}
		ctl.logLimit(now, rep, got, before[rep.Server], "")
		ctl.viewStale = true
	}
}

// logLimit logs a change of a limit: the rate, this instance's part of it, and
// how long the limit has been in force, in milliseconds.
func (ctl *Control) logLimit(now time.Time, rep rates.Report, got rates.Change, old rates.Limit, from string) {
	fie := lines.Fields{"server": rep.Server, "from": from}
	if lim, stands := ctl.limits.limiter.Limit(rep.Server); stands {
		fie["rate"], fie["own"] = lim.Rate, lim.OwnRate
	}
	if got == rates.Began {
		ctl.log.Log("limit-heard", fie)
		return
	}
	fie["before"], fie["age"] = old.Rate, now.Sub(old.Since).Milliseconds()
	if got == rates.Ended {
		ctl.log.Log("limit-ended", fie)
		return
	}
	ctl.log.Log("limit-changed", fie)
}

// sendFrees sends the requests that free collected results. At a server that is
// limited or paused the results wait and are freed together, since each such
// request counts against the limit.
func (ctl *Control) sendFrees(now time.Time) {
	for adr, handles := range ctl.frees {
		if ctl.evacuated[adr] {
			// No more requests go to this server; the results expire by
			// themselves.
			delete(ctl.frees, adr)
			continue
		}
		ent, listed := ctl.byAddress[adr]
		if !listed {
			ent = stock.Entry{Address: adr}
		}
		if ctl.pauses.left(now, ent.ID) > 0 || !ctl.freeAllowed(now, ent) {
			continue
		}
		ctl.calls.free(ent, handles)
		delete(ctl.frees, adr)
	}
}

// freeAllowed reports whether a server's limit allows a request that frees
// results now, and counts it.
func (ctl *Control) freeAllowed(now time.Time, ent stock.Entry) bool {
	own, limited := ctl.limits.limiter.OwnRate(now, ent.ID)
	if !limited {
		return true
	}
	interval := max(freeInterval, time.Duration(float64(time.Second)/(freeRateShare*own)))
	if now.Sub(ctl.limits.freedAt[ent.Address]) < interval {
		return false
	}
	ctl.limits.freedAt[ent.Address] = now
	return true
}
