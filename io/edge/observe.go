package edge

import (
	"time"

	"lovagestream/core/resume"
	"lovagestream/io/conns"
	"lovagestream/io/lines"
	"lovagestream/io/mesh"
)

// updateObserved observes the servers that are this instance's to observe: those of which
// streams can be resumed, and that may start again under their ID.
func (ctl *Control) updateObserved(now time.Time) {
	var list []conns.Observed
	if ctl.tab != nil && !ctl.stopping && ctl.mem.SelfIsHub(now) {
		self, hubs := ctl.mem.Self(), ctl.mem.LiveHubs(now)
		for _, ent := range ctl.live {
			if ent.StartedAt != 0 && !ent.Leaving && ctl.tab.Resumable(ent.Service) && resume.Observes(ent.Start(), ent.Zone, self, hubs) {
				list = append(list, conns.Observed{Start: ent.Start(), Service: ent.Service, Address: ent.Address})
			}
		}
	}
	ctl.streams.observed = len(list)
	ctl.observe(list)
}

// evServerEnded reports that an observed server has ended.
type evServerEnded struct{ start string }

func (evt evServerEnded) apply(ctl *Control, now time.Time) {
	if !ctl.addEnd(now, now, evt.start) {
		return
	}
	ctl.calls.gau.Count("server-ends", "observed")
	ctl.log.Log("server-ended", lines.Fields{"server": evt.start})
	ctl.spread(now, "", mesh.Crash{Server: evt.start, Ended: true, At: now})
}
