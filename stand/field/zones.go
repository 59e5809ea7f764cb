package field

import (
	"context"
	"time"
)

// evacuation is when a zone's servers were to get nothing; one that lasts has no end yet.
type evacuation struct {
	zone     int
	from, to time.Time
}

// evacBound is how long after its evacuation a zone's servers may still get requests.
const evacBound = 3 * time.Second

// evacuateZone takes a zone out and back, one zone at a time.
func (brk *breaker) evacuateZone(ctx context.Context) error {
	fld := brk.fld
	zone := brk.rng.IntN(len(zones))
	if !fld.evacuate(zone) {
		return nil
	}
	end := fld.open("zone-evacuated "+zones[zone], true, nil)
	defer end()
	key := "op/evacuate/" + zones[zone]
	fld.sto.Put(key, []byte("{}"))
	pause(ctx, evacBound+brk.length())
	fld.mu.Lock()
	fld.evacuations[len(fld.evacuations)-1].to = time.Now()
	fld.mu.Unlock()
	fld.sto.Delete(key)
	return nil
}

// evacuate notes that a zone is taken out, unless another one is.
func (fld *Field) evacuate(zone int) bool {
	fld.mu.Lock()
	defer fld.mu.Unlock()
	if num := len(fld.evacuations); num > 0 && fld.evacuations[num-1].to.IsZero() {
		return false
	}
	fld.evacuations = append(fld.evacuations, evacuation{zone: zone, from: time.Now()})
	return true
}

// evacuated checks that nothing began at servers of a zone that was out, pieces
// included, where nothing unplanned stood.
func (chk *checker) evacuated() {
	for _, out := range chk.fld.evacuations {
		from := out.from.Add(evacBound + slack)
		for id, runs := range chk.runs {
			for _, run := range runs {
				ser := chk.servers[run.Server]
				inside := run.At.After(from) && (out.to.IsZero() || run.At.Before(out.to))
				if ser != nil && ser.zone == out.zone && inside && !chk.fld.troubled(out.from.Add(-contact), run.At) {
					chk.fld.problem("EVAC %s ran at %s %s after its zone was taken out", id, run.Server, run.At.Sub(out.from))
				}
			}
		}
	}
}
