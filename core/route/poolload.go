package route

import (
	"sort"
	"time"
)

// PoolLoad is the load of a pool's servers together.
type PoolLoad struct {
	// load is the calls running and waiting, size how many run at once.
	load float64
	size float64
	// perUnit is the median time for a unit of work on an idle server, in
	// seconds; 0 where no server has shown its own.
	perUnit float64
	entries int
}

// LoadOf sums the servers up, for one of some entry instances.
func LoadOf(servers []*Server, now time.Time, entries int) PoolLoad {
	poo := PoolLoad{entries: max(1, entries)}
	known := make([]float64, 0, len(servers))
	for _, srv := range servers {
		if srv.Leaving() || srv.hea.excluded(now) {
			continue
		}
		poo.load += srv.load(now, float64(max(1, entries)))
		poo.size += srv.size()
		if val := srv.spd.read(); val > 0 {
			known = append(known, val)
		}
	}
	if len(known) > 0 {
		sort.Float64s(known)
		poo.perUnit = known[len(known)/2]
	}
	return poo
}

// Load returns the calls running and waiting.
func (poo PoolLoad) Load() float64 { return poo.load }

// Size returns how many calls run at once.
func (poo PoolLoad) Size() float64 { return poo.size }

// PerUnit returns the seconds for a unit of work on an idle server, or 0.
func (poo PoolLoad) PerUnit() float64 { return poo.perUnit }

// PerToken returns the time for a token on a server with a full batch, as streams that
// ended showed it; 0 where none has.
func (poo PoolLoad) PerToken() time.Duration {
	return time.Duration(poo.perUnit * fullStretch * float64(time.Second))
}

// Entries returns how many entry instances share the servers.
func (poo PoolLoad) Entries() int { return poo.entries }
