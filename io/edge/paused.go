package edge

import (
	"sync"
	"time"

	"lovagestream/core/call"
	"lovagestream/core/pause"
	"lovagestream/core/stock"
	"lovagestream/io/lines"
)

// pauses are the servers that accept no requests from this instance for a time.
// They are checked again when a request is sent, so that a request placed before
// the server asked for the pause isn't sent either.
type pauses struct {
	mu     sync.RWMutex
	active *pause.Set[string]
	// next are the servers whose pause was named after the start that their entry names had
	// ended. It has those in active alone.
	next map[string]bool
}

func newPauses() *pauses { return &pauses{active: pause.NewSet[string](), next: map[string]bool{}} }

// add adds a pause; next is set if the start that the server's entry names had ended before.
func (pau *pauses) add(now time.Time, one pause.Server, next bool) bool {
	pau.mu.Lock()
	defer pau.mu.Unlock()
	added := pau.active.Add(now, one.ID, one.Until)
	if next && pau.active.Remaining(now, one.ID) > 0 {
		pau.next[one.ID] = true
	}
	return added
}

func (pau *pauses) left(now time.Time, server string) time.Duration {
	pau.mu.RLock()
	defer pau.mu.RUnlock()
	return pau.active.Remaining(now, server)
}

// list returns the pauses in force; nil if there are none.
func (pau *pauses) list(now time.Time) []pause.Server {
	pau.mu.RLock()
	defer pau.mu.RUnlock()
	var out []pause.Server
	pau.active.Each(now, func(id string, until time.Time) {
		out = append(out, pause.Server{ID: id, Until: until})
	})
	return out
}

// forget drops the pause that the earlier start of a server named. It reports whether no pause
// is left.
func (pau *pauses) forget(server string) bool {
	pau.mu.Lock()
	defer pau.mu.Unlock()
	if pau.next[server] {
		delete(pau.next, server)
		return false
	}
	pau.active.Delete(func(id string) bool { return id == server })
	return true
}

func (pau *pauses) sweep(now time.Time) {
	pau.mu.Lock()
	defer pau.mu.Unlock()
	pau.active.Sweep(now)
	for id := range pau.next {
		if pau.active.Remaining(now, id) == 0 {
			delete(pau.next, id)
		}
	}
}

// observeRetryAfter processes the Retry-After of a server that refused a request,
// which pauses the server for this instance.
func (ctl *Control) observeRetryAfter(ent stock.Entry, ans call.ResponseHead) {
	if ans.RetryAfterInvalid {
		ctl.noteUnreadable(ent.ID, "retry-after")
	}
	if ans.RetryAfter <= 0 {
		return
	}
	now := ctl.clk.Now()
	one := pause.Server{ID: ent.ID, Until: now.Add(ans.RetryAfter)}
	if ctl.pauses.add(now, one, ctl.View().EndedStarts[ent.Start()]) {
		ctl.post(evPaused{service: ent.Service, server: one, wait: ans.RetryAfter})
	}
}

type evPaused struct {
	service string
	server  pause.Server
	wait    time.Duration
}

func (evt evPaused) apply(ctl *Control, now time.Time) {
	ctl.sched.PauseCalls(now, evt.server)
	ctl.log.Log("server-paused", lines.Fields{"server": evt.server.ID, "service": evt.service, "wait": evt.wait.Milliseconds()})
}

// MaySend returns a *pause.Error if the server is paused for this instance.
func (ctl *Control) MaySend(server string) error {
	if left := ctl.pauses.left(ctl.clk.Now(), server); left > 0 {
		return &pause.Error{Server: server, Remaining: left}
	}
	return nil
}

// Paused returns which of the servers are paused for this instance. If none
// accepts requests now, wait is the time until the first pause ends.
func (ctl *Control) Paused(list []stock.Entry) (paused map[string]bool, wait time.Duration) {
	now := ctl.clk.Now()
	for _, ent := range list {
		left := ctl.pauses.left(now, ent.ID)
		if left == 0 {
			continue
		}
		if paused == nil {
			paused = map[string]bool{}
		}
		paused[ent.ID] = true
		if wait == 0 || left < wait {
			wait = left
		}
	}
	for _, ent := range list {
		if !ent.Leaving && !paused[ent.ID] {
			return paused, 0
		}
	}
	return paused, wait
}
