package edge

import (
	"time"

	"lovagestream/core/call"
	"lovagestream/io/lines"
	"lovagestream/io/mesh"
)

// observeBrittle processes whether a server says that it is brittle.
func (ctl *Control) observeBrittle(server string, ans call.ResponseHead) {
	if ans.BrittleInvalid {
		ctl.noteUnreadable(server, "brittle")
		return
	}
	if ans.Brittle > 0 || ctl.View().BrittleServers[server] > 0 {
		ctl.post(evBrittle{server: server, rejections: ans.Brittle})
	}
}

type evBrittle struct {
	server     string
	rejections int
}

func (evt evBrittle) apply(ctl *Control, now time.Time) {
	ctl.applyBrittle(now, evt.server, evt.rejections, "")
}

// applyBrittle applies a statement of a server, or a peer's report of one; from is the
// peer. What is new is passed on, and what goes on once a second.
func (ctl *Control) applyBrittle(now time.Time, server string, rejections int, from string) {
	if !ctl.listed(server) {
		return
	}
	changed := ctl.limits.limiter.ObserveBrittle(now, server, rejections)
	if changed {
		ctl.log.Log("server-brittle", lines.Fields{"server": server, "rejections": rejections, "from": from})
		ctl.viewStale = true
	}
	due := from == "" && rejections > 0 && now.Sub(ctl.limits.brittleSentAt[server]) >= limitResendInterval
	if !changed && !due || from != "" && (!ctl.mem.SelfIsHub(now) || ctl.mem.IsHub(now, from)) {
		return
	}
	ctl.limits.brittleSentAt[server] = now
	for _, adr := range ctl.mem.Peers() {
		if adr != from {
			ctl.lnk.Send(adr, mesh.Limits{Brittle: map[string]int{server: rejections}})
		}
	}
}

// expireBrittle drops the servers that say no more that they are brittle.
func (ctl *Control) expireBrittle(now time.Time) {
	if ctl.limits.limiter.ExpireBrittle(now) {
		ctl.viewStale = true
	}
	if ctl.limits.limiter.BrittleServers() == nil {
		clear(ctl.limits.brittleSentAt)
	}
}
