package back

import (
	"net/http"
	"strconv"
	"time"
)

// sample is the load from a point in time on.
type sample struct {
	at      time.Time
	running int
	waiting int
}

// history holds recent load samples, oldest first. The first one is at least
// reportLag old, so that a delayed report always finds its sample.
type history []sample

// LoadBody is a load report on the wire, sent with a reply or on request.
type LoadBody struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// AgeMillis is the age of the figures in milliseconds.
	AgeMillis int64 `json:"age_ms"`
}

// recordLoad adds the current load to the history. Sequences that are done
// count as running until they leave the batch at the end of the step.
func (eng *engine) recordLoad(now time.Time) {
	smp := sample{at: now, running: len(eng.batch), waiting: len(eng.waiting)}
	eng.hist = append(eng.hist.trim(now.Add(-eng.mod.reportLag)), smp)
}

// trim drops the samples older than the newest one at or before a time.
func (his history) trim(before time.Time) history {
	keep := 0
	for i, smp := range his {
		if !smp.at.After(before) {
			keep = i
		}
	}
	if keep < len(his)/2 {
		return his
	}
	return append(history(nil), his[keep:]...)
}

// loadReport returns the load as it was reportLag ago.
func (eng *engine) loadReport(now time.Time) LoadBody {
	eng.mu.Lock()
	defer eng.mu.Unlock()
	bod := LoadBody{AgeMillis: eng.mod.reportLag.Milliseconds()}
	before := now.Add(-eng.mod.reportLag)
	for _, smp := range eng.hist {
		if smp.at.After(before) {
			break
		}
		bod.Running, bod.Waiting = smp.running, smp.waiting
	}
	return bod
}

// eventsBody is the reply of GET /v1/cache-events. A gap in the event numbers
// means lost events.
type eventsBody struct {
	Events     []cacheEvent `json:"events"`
	BlockBytes int          `json:"block-bytes"`
}

func (srv *Server) cacheEvents(wri http.ResponseWriter, req *http.Request) {
	after, err := strconv.Atoi(req.URL.Query().Get("after"))
	if err != nil && req.URL.Query().Has("after") {
		http.Error(wri, "after: want a whole number", http.StatusBadRequest)
		return
	}
	if srv.swi.waitUnfrozen(req.Context()) != nil {
		return
	}
	eng := srv.eng
	eng.mu.Lock()
	events := eng.cache.eventsAfter(after, time.Now().Add(-eng.mod.eventLag))
	eng.mu.Unlock()
	reply(wri, eventsBody{Events: events, BlockBytes: blockBytes})
}
