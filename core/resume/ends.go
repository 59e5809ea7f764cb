package resume

import "time"

const (
	// endTime is how long the end of a server's start is remembered: entries of the next
	// start come within seconds, and name another.
	endTime = 30 * time.Second
	// maxEnds bounds the starts that are remembered.
	maxEnds = 1024
)

// Ends are the starts of servers that were seen to end: their connections were closed and new
// ones refused. Which software runs at their addresses since isn't known until an entry says
// so. The zero value is empty.
type Ends struct {
	until map[string]time.Time
}

// Add adds a start. It reports whether it is new.
func (end *Ends) Add(now time.Time, start string) bool {
	if end.until == nil {
		end.until = map[string]time.Time{}
	}
	_, have := end.until[start]
	if !have && len(end.until) >= maxEnds {
		return false
	}
	end.until[start] = now.Add(endTime)
	return !have
}

// Sweep forgets starts that ended long ago. It reports whether there were any.
func (end *Ends) Sweep(now time.Time) bool {
	before := len(end.until)
	for start, until := range end.until {
		if now.After(until) {
			delete(end.until, start)
		}
	}
	return len(end.until) < before
}

// Starts returns the starts that ended, or nil.
func (end *Ends) Starts() map[string]bool {
	if len(end.until) == 0 {
		return nil
	}
	out := make(map[string]bool, len(end.until))
	for start := range end.until {
		out[start] = true
	}
	return out
}
