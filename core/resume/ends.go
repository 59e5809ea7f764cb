package resume

import (
	"time"

	"lovagestream/core/stock"
)

const (
	// endTime is how long the end of a server's start is remembered: entries of the next
	// start come within seconds, and name another.
	endTime = 30 * time.Second
	// maxEnds bounds the starts that are remembered.
	maxEnds = 1024
	// lateEntries is how many entries that a server wrote before its end may arrive after it.
	lateEntries = 1
)

// Ends are the starts of servers that seem to have ended: their connections were closed and
// new ones refused. What software answers at their addresses isn't known until an entry says
// so. The zero value is empty.
type Ends struct {
	ends map[string]end
	// running is when starts were last seen to run that were said to have ended. It has at
	// most maxEnds entries.
	running map[string]time.Time
}

// end is the end of a start.
type end struct {
	// at is when the start is said to have ended, until when that is forgotten.
	at    time.Time
	until time.Time
	// sequence is that of the last entry before the end.
	sequence int64
}

// Add adds a start that is said to have ended at a time, and of which the last entry is
// known. It reports whether it is new.
func (ens *Ends) Add(now, at time.Time, last stock.Entry) bool {
	if ens.ends == nil {
		ens.ends, ens.running = map[string]end{}, map[string]time.Time{}
	}
	start := last.Start()
	if _, have := ens.ends[start]; have || len(ens.ends) >= maxEnds || ens.running[start].After(at) {
		return false
	}
	ens.ends[start] = end{at: at, until: now.Add(endTime), sequence: last.Sequence}
	return true
}

// Running takes the end of a start back, which was seen to run at a time. Reports of its end
// before that are ignored. It reports whether the end was known.
func (ens *Ends) Running(at time.Time, start string) bool {
	_, have := ens.ends[start]
	delete(ens.ends, start)
	if ens.running == nil {
		ens.ends, ens.running = map[string]end{}, map[string]time.Time{}
	}
	if _, known := ens.running[start]; known || len(ens.running) < maxEnds {
		ens.running[start] = at
	}
	return have
}

// Observe forgets starts that ended long ago, and those that have not ended: they go on
// writing entries. It reports whether there were any.
func (ens *Ends) Observe(now time.Time, live []stock.Entry) bool {
	for start, at := range ens.running {
		if now.Sub(at) > endTime {
			delete(ens.running, start)
		}
	}
	before := len(ens.ends)
	if before == 0 {
		return false
	}
	for start, end := range ens.ends {
		if now.After(end.until) {
			delete(ens.ends, start)
		}
	}
	for _, ent := range live {
		if end, have := ens.ends[ent.Start()]; have && ent.Sequence > end.sequence+lateEntries {
			delete(ens.ends, ent.Start())
		}
	}
	return len(ens.ends) < before
}

// Times returns when the starts seem to have ended.
func (ens *Ends) Times() map[string]time.Time {
	out := make(map[string]time.Time, len(ens.ends))
	for start, end := range ens.ends {
		out[start] = end.at
	}
	return out
}

// Starts returns the starts that seem to have ended, or nil.
func (ens *Ends) Starts() map[string]bool {
	if len(ens.ends) == 0 {
		return nil
	}
	out := make(map[string]bool, len(ens.ends))
	for start := range ens.ends {
		out[start] = true
	}
	return out
}
