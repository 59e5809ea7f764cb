package edge

import (
	"sync"
	"time"

	"lovagestream/core/call"
	"lovagestream/core/speed"
	"lovagestream/core/stock"
	"lovagestream/io/lines"
)

// ObserveResponse processes what a server's answer says about the server itself.
func (ctl *Control) ObserveResponse(ent stock.Entry, ans call.ResponseHead) {
	ctl.observeLoad(ent, ans)
	ctl.observeLimit(ent.ID, ans)
	ctl.observeBrittle(ent.ID, ans)
	ctl.observeLeaving(ent, ans)
	ctl.observeRetryAfter(ent, ans)
}

// observeLoad passes a server's load to the scheduler, if the server states how
// long work takes and runs pieces of stages, whose calls the scheduler divides.
func (ctl *Control) observeLoad(ent stock.Entry, ans call.ResponseHead) {
	if ans.LoadInvalid {
		ctl.noteUnreadable(ent.ID, "load")
	}
	if ans.WorkFactor > 0 && ctl.View().RunsPieces(ent.Service) {
		ctl.post(evLoad{ent: ent, load: speed.Load{Running: ans.Running, Waiting: ans.Waiting, Slots: ans.Slots, Factor: ans.WorkFactor}})
	}
}

type evLoad struct {
	ent  stock.Entry
	load speed.Load
}

func (evt evLoad) apply(ctl *Control, now time.Time) { ctl.sched.ObserveLoad(now, evt.ent, evt.load) }

// maxUnreadable bounds how many malformed fields and entries are logged.
const maxUnreadable = 256

// unreadable are malformed fields of servers' answers and malformed entries, each
// logged once for each server. A server that starts again under its ID is not
// logged again.
type unreadable struct {
	mu     sync.Mutex
	logged map[[2]string]bool
}

func newUnreadable() *unreadable { return &unreadable{logged: map[[2]string]bool{}} }

// add records a malformed field and reports whether it is to be logged.
func (unr *unreadable) add(server, field string) bool {
	unr.mu.Lock()
	defer unr.mu.Unlock()
	key := [2]string{server, field}
	if unr.logged[key] || len(unr.logged) >= maxUnreadable {
		return false
	}
	unr.logged[key] = true
	return true
}

// forget drops the servers that are gone, which makes room for others.
func (unr *unreadable) forget(gone func(server string) bool) {
	unr.mu.Lock()
	defer unr.mu.Unlock()
	for key := range unr.logged {
		if gone(key[0]) {
			delete(unr.logged, key)
		}
	}
}

// noteUnreadable counts a malformed field of a server's answer, and logs it once.
func (ctl *Control) noteUnreadable(server, field string) {
	ctl.calls.gau.Count("unreadable", field)
	if ctl.unreadable.add(server, field) {
		ctl.log.Log(field+"-unreadable", lines.Fields{"server": server})
	}
}
