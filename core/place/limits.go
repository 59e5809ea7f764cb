package place

import (
	"time"
)

// PauseWait is the time until an engine takes requests of the entry instance
// again; 0 if one takes them now.
func (pol *Pool) PauseWait(qry Query) time.Duration {
	if qry.Paused == nil {
		return 0
	}
	wait, found := time.Duration(0), false
	for id, eng := range pol.engines {
		if eng.ent.Leaving {
			continue
		}
		if left := qry.Paused(id); !found || left < wait {
			wait, found = left, true
		}
	}
	return wait
}

// LimitWait is how long one more request waits behind ahead others until the
// engines' rate limits let it through; 0 if an engine without a limit is
// usable.
//
// If all engines of a service have set rate limits, callers must learn of the
// wait on arrival. It is computed from the rates, because the engines' load
// does not show it: the limits leave them half idle.
func (pol *Pool) LimitWait(now time.Time, ahead int) time.Duration {
	if !pol.rates.Bounded() {
		return 0
	}
	rate, allowed := 0.0, 0
	for id, eng := range pol.engines {
		if eng.ent.Leaving || !eng.rec.Available(now) {
			continue
		}
		own, limited := pol.rates.OwnRate(now, id)
		if !limited {
			return 0
		}
		rate += own
		if pol.rates.Allowed(now, id) {
			allowed++
		}
	}
	if rate == 0 || allowed > ahead {
		return 0
	}
	return time.Duration(float64(ahead+1-allowed) / rate * float64(time.Second))
}
