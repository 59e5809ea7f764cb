package edge

import (
	"time"

	"lovagestream/core/marks"
	"lovagestream/core/stock"
	"lovagestream/io/lines"
	"lovagestream/io/mesh"
)

type evCrash struct {
	msg   mesh.Crash
	local bool
	// from is the peer that reported the crash; empty if it was observed here.
	from string
}

func (evt evCrash) apply(ctl *Control, now time.Time) {
	ctl.marks = ctl.marks.With(now, marks.NewCrash(evt.msg.Server, now), marks.Fingerprint(evt.msg.Request))
	ctl.rememberCrashed(now, evt.msg.Server)
	ctl.viewStale = true
	if evt.local {
		ctl.log.Log("server-lost-with-request", lines.Fields{"server": evt.msg.Server, "print": evt.msg.Request})
	} else if !ctl.mem.SelfIsHub(now) || ctl.mem.IsHub(now, evt.from) {
		// Only hubs forward reports, and only of instances that link to hubs only.
		return
	}
	for _, adr := range ctl.mem.Peers() {
		if adr != evt.from {
			ctl.lnk.Send(adr, evt.msg)
		}
	}
}

// noteRestarts records the servers that have ended, as a record shows: its server started in
// their place, or its entry lapsed.
func (ctl *Control) noteRestarts(now time.Time, rec stock.Record, got stock.Change) {
	for _, crs := range ctl.marks.Crashed() {
		ent, have := ctl.crashed[crs.Server()]
		if !have {
			continue
		}
		replaced := !rec.Removed && rec.Entry.Address == ent.Address && rec.Entry.Start() != ent.Start()
		lapsed := got == stock.Removed && rec.Entry.ID == ent.ID
		if replaced || lapsed {
			ctl.marks = ctl.marks.WithRestart(now, crs.Server())
			ctl.viewStale = true
		}
	}
}

// rememberCrashed keeps the entry of a server that crashed, as long as its crash is known.
func (ctl *Control) rememberCrashed(now time.Time, server string) {
	known := map[string]bool{server: true}
	for _, crs := range ctl.marks.Crashed() {
		known[crs.Server()] = true
	}
	for id := range ctl.crashed {
		if !known[id] {
			delete(ctl.crashed, id)
		}
	}
	for _, rec := range ctl.registry.All() {
		if rec.Entry.Start() == server && !rec.Removed {
			ctl.crashed[server] = rec.Entry
			return
		}
	}
	// Its entry has lapsed, or names a later start.
	ctl.marks = ctl.marks.WithRestart(now, server)
}
