package route

import (
	"sort"
	"time"
)

// PoolLoad is the combined load of a pool's servers.
type PoolLoad struct {
	// load is the number of calls running and queued; slots is the number that
	// run concurrently.
	load  float64
	slots float64
	// timePerUnit is the median time per unit of work on an idle server, in
	// seconds; 0 if no server has been measured.
	timePerUnit    float64
	entryInstances int
}

// NewPoolLoad sums the load of the servers as seen by one of several entry
// instances.
func NewPoolLoad(servers []*Server, now time.Time, instances int) PoolLoad {
	pld := PoolLoad{entryInstances: max(1, instances)}
	times := make([]float64, 0, len(servers))
	for _, srv := range servers {
		if srv.Leaving() || srv.brk.excluded(now) {
			continue
		}
		pld.load += srv.load(now, float64(max(1, instances)))
		pld.slots += srv.slots()
		if val := srv.spd.meanTimePerUnit(); val > 0 {
			times = append(times, val)
		}
	}
	if len(times) > 0 {
		sort.Float64s(times)
		pld.timePerUnit = times[len(times)/2]
	}
	return pld
}

// Load returns the number of calls running and queued.
func (pld PoolLoad) Load() float64 { return pld.load }

// Slots returns the number of calls that run concurrently.
func (pld PoolLoad) Slots() float64 { return pld.slots }

// TimePerUnit returns the time per unit of work on an idle server, in seconds,
// or 0 if unknown.
func (pld PoolLoad) TimePerUnit() float64 { return pld.timePerUnit }

// TimePerToken returns the time per output token on a server with a full batch,
// measured from completed streams; 0 if none has completed.
func (pld PoolLoad) TimePerToken() time.Duration {
	return time.Duration(pld.timePerUnit * fullBatchSlowdown * float64(time.Second))
}

// EntryInstances returns the number of entry instances that share the servers.
func (pld PoolLoad) EntryInstances() int { return pld.entryInstances }
