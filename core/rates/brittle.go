package rates

import "time"

// Brittle servers fall over if they have to reject more than a stated number of requests
// in a second, and are away for seconds.
//
// Load pattern: the servers of a service let fewer requests wait in the middle of a load
// peak. Each entry instance that tries a full server again after a moment is harmless,
// but eight or seventy together reject-storm it. So the coordinator places all requests to
// such a service, and no more at a time than the servers run.

const (
	// brittleTTL is how long a server counts as brittle without stating it again.
	brittleTTL = 10 * time.Second
	// brittleEndDelay is how long after its last statement an answer without one ends
	// it: answers overtake each other.
	brittleEndDelay = raiseDelay
	// rejectionWindow is the time in which servers count their rejections, and
	// rejectionShare the part of the stated number that is spent: messages are
	// under way, and other instances may send too.
	rejectionWindow = time.Second
	rejectionShare  = 0.5
)

// brittleServer is the state of one brittle server.
type brittleServer struct {
	// rejections is the number that the server stated.
	rejections int
	statedAt   time.Time
	// rejected are the times of recent rejections, oldest first.
	rejected []time.Time
}

// ObserveBrittle records what an answer says of its server: the rejections in a second
// that it survives, or 0 if it says nothing. It reports whether the server began or ceased
// to be brittle.
func (lim *Limiter) ObserveBrittle(now time.Time, server string, rejections int) bool {
	old := lim.brittle[server]
	switch {
	case rejections > 0 && old != nil:
		old.rejections, old.statedAt = rejections, now
		return false
	case rejections > 0:
		if len(lim.brittle) >= maxServers {
			return false
		}
		lim.brittle[server] = &brittleServer{rejections: rejections, statedAt: now}
		return true
	case old != nil && now.Sub(old.statedAt) >= brittleEndDelay:
		delete(lim.brittle, server)
		return true
	}
	return false
}

// ExpireBrittle drops the servers that haven't stated for a while that they are brittle,
// and reports whether there were any.
func (lim *Limiter) ExpireBrittle(now time.Time) bool {
	before := len(lim.brittle)
	for id, bri := range lim.brittle {
		if now.Sub(bri.statedAt) >= brittleTTL {
			delete(lim.brittle, id)
		}
	}
	return len(lim.brittle) < before
}

// Rejected records that a server rejected a request for want of room.
func (lim *Limiter) Rejected(now time.Time, server string) {
	bri := lim.brittle[server]
	if bri == nil {
		return
	}
	bri.trim(now)
	if len(bri.rejected) < bri.rejections {
		bri.rejected = append(bri.rejected, now)
	}
}

func (bri *brittleServer) trim(now time.Time) {
	for len(bri.rejected) > 0 && now.Sub(bri.rejected[0]) >= rejectionWindow {
		bri.rejected = bri.rejected[1:]
	}
}

// MayReject reports whether a server survives that it rejects one more request now, and
// inFlight others that are on their way. It is true for servers that are not brittle.
func (lim *Limiter) MayReject(now time.Time, server string, inFlight int) bool {
	bri := lim.brittle[server]
	if bri == nil {
		return true
	}
	bri.trim(now)
	if len(bri.rejected) == 0 {
		return true
	}
	return float64(len(bri.rejected)+inFlight) < max(1, rejectionShare*float64(bri.rejections))
}

// BrittleServers returns the brittle servers with the rejections that they survive; nil
// if there are none.
func (lim *Limiter) BrittleServers() map[string]int {
	if len(lim.brittle) == 0 {
		return nil
	}
	out := make(map[string]int, len(lim.brittle))
	for id, bri := range lim.brittle {
		out[id] = bri.rejections
	}
	return out
}

// BrittleSlots returns how many of a server's slots this instance may fill: all, or its
// part if the server is brittle and others place requests too.
func (lim *Limiter) BrittleSlots(server string, slots int) int {
	if lim.brittle[server] == nil {
		return slots
	}
	return max(1, int(lim.coldFraction*float64(slots)))
}
