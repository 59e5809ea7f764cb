package edge

import (
	"time"

	"lovagestream/core/call"
	"lovagestream/core/stock"
	"lovagestream/io/lines"
)

// Heard takes what an answer of a server says of the server itself.
func (ctl *Control) Heard(ent stock.Entry, ans call.Answer) {
	ctl.heardLimit(ent.ID, ans)
	ctl.heardLeaving(ent, ans)
	ctl.heardRetryAfter(ent, ans)
}

// heardLeaving takes a server's word that it leaves. Answers of servers that are
// known to leave cost nothing.
func (ctl *Control) heardLeaving(ent stock.Entry, ans call.Answer) {
	switch {
	case ans.LeavingOdd:
		ctl.post(evUnreadable{server: ent.ID, field: "leaving"})
	case ans.Leaving && !ctl.View().Left[ent.ID]:
		ctl.post(evLeaving{ent: ent})
	}
}

type evLeaving struct{ ent stock.Entry }

// apply tells the peers, too: one that places requests for this instance, or that
// sends its own, must know it as soon.
func (evt evLeaving) apply(ctl *Control, now time.Time) {
	kno, news := ctl.book.Announced(evt.ent)
	if news && ctl.put(now, kno, fromAnswer) {
		ctl.spread([]stock.Known{kno}, "")
	}
}

// fromAnswer is, in lines, whom a word came from that a server's answer said.
const fromAnswer = "answer"

// maxUnreadable bounds the words of servers of which it is noted that they can't be
// read.
const maxUnreadable = 256

// evUnreadable is a word of a server that can't be read; each is noted once.
type evUnreadable struct{ server, field string }

func (evt evUnreadable) apply(ctl *Control, _ time.Time) {
	if ctl.unreadable[evt] || len(ctl.unreadable) >= maxUnreadable {
		return
	}
	ctl.unreadable[evt] = true
	ctl.jou.Note(evt.field+"-unreadable", lines.Fields{"server": evt.server})
}
