package edge

import (
	"time"

	"lovagestream/core/call"
	"lovagestream/core/stock"
	"lovagestream/io/lines"
)

// heardRetryAfter takes the time for which a server that turned a request away wants
// none from this instance.
func (ctl *Control) heardRetryAfter(ent stock.Entry, ans call.Answer) {
	switch {
	case ans.RetryAfterOdd:
		ctl.post(evUnreadable{server: ent.ID, field: "retry-after"})
	case ans.RetryAfter > 0:
		ctl.post(evPaused{ent: ent, wait: ans.RetryAfter})
	}
}

type evPaused struct {
	ent  stock.Entry
	wait time.Duration
}

func (evt evPaused) apply(ctl *Control, _ time.Time) {
	ctl.jou.Note("server-paused", lines.Fields{"server": evt.ent.ID, "service": evt.ent.Service, "wait": evt.wait.Milliseconds()})
}
