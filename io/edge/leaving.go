package edge

import (
	"time"

	"lovagestream/core/call"
	"lovagestream/core/stock"
)

// observeLeaving processes a server's announcement that it is leaving. Answers of
// servers that are already known to leave post no event.
func (ctl *Control) observeLeaving(ent stock.Entry, ans call.ResponseHead) {
	switch {
	case ans.LeavingInvalid:
		ctl.noteUnreadable(ent.ID, "leaving")
	case ans.Leaving && !ctl.View().Unusable[ent.ID]:
		ctl.post(evLeaving{ent: ent})
	}
}

type evLeaving struct{ ent stock.Entry }

// apply also forwards the record to the peers at once: a peer that places requests
// for this instance, or sends its own to the server, must know of it too.
func (evt evLeaving) apply(ctl *Control, now time.Time) {
	rec, isNew := ctl.registry.LeavingRecord(evt.ent)
	if isNew && ctl.putRecord(now, rec, fromAnswer) {
		ctl.forward([]stock.Record{rec}, "")
	}
}

// fromAnswer is the source that is logged for a record taken from a server's
// answer.
const fromAnswer = "answer"
