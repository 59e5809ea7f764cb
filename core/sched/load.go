package sched

import (
	"math"
	"time"

	"lovagestream/core/speed"
	"lovagestream/core/stock"
)

// loadFade is the time in which a server's statement of how long work takes loses
// most of its weight: other programs on its machine come and go several times a
// second.
const loadFade = 300 * time.Millisecond

// ObserveLoad records what a stage server says of its load. A report of another
// start of the server is dropped.
func (sch *Scheduler) ObserveLoad(now time.Time, ent stock.Entry, load speed.Load) {
	pol := sch.pools[ent.Service]
	if pol == nil {
		return
	}
	ser := pol.servers[ent.ID]
	if ser == nil || ser.ent.StartedAt != ent.StartedAt {
		return
	}
	ser.load, ser.loadAt = load, now
}

// reportedSlowdown is the slowdown to expect from the server's last report.
func (ser *server) reportedSlowdown(now time.Time) float64 {
	if ser.load.Factor <= 0 {
		return 0
	}
	return 1 + (ser.load.Factor-1)*math.Exp(-float64(now.Sub(ser.loadAt))/float64(loadFade))
}
