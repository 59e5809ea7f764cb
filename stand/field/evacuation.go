package field

import (
	"context"
	"time"
)

// evacuation is the time span in which a zone's servers must get no requests; to
// is zero while it lasts.
type evacuation struct {
	zone     int
	from, to time.Time
}

// evacuationBound is how long after the start of an evacuation the zone's servers
// may still get requests.
const evacuationBound = 3 * time.Second

// evacuateZone evacuates a zone for a while, one zone at a time.
func (inj *injector) evacuateZone(ctx context.Context) error {
	clu := inj.cluster
	zone := inj.rng.IntN(len(zones))
	if !clu.beginEvacuation(zone) {
		return nil
	}
	end := clu.beginDisturbance("zone-evacuated "+zones[zone], true, nil)
	defer end()
	key := "op/evacuate/" + zones[zone]
	clu.sto.Put(key, []byte("{}"))
	sleep(ctx, evacuationBound+inj.drawDuration())
	clu.mu.Lock()
	clu.evacuations[len(clu.evacuations)-1].to = time.Now()
	clu.mu.Unlock()
	clu.sto.Delete(key)
	return nil
}

// beginEvacuation records the start of an evacuation. It reports false if another
// zone is being evacuated.
func (clu *Cluster) beginEvacuation(zone int) bool {
	clu.mu.Lock()
	defer clu.mu.Unlock()
	if num := len(clu.evacuations); num > 0 && clu.evacuations[num-1].to.IsZero() {
		return false
	}
	clu.evacuations = append(clu.evacuations, evacuation{zone: zone, from: time.Now()})
	return true
}

// checkEvacuated checks that no run, not even of a piece, started at a server of an
// evacuated zone outside of unplanned disturbances.
func (chk *checker) checkEvacuated() {
	for _, out := range chk.cluster.evacuations {
		from := out.from.Add(evacuationBound + clockSlack)
		for id, runs := range chk.runs {
			for _, run := range runs {
				ser := chk.servers[run.Server]
				inside := run.At.After(from) && (out.to.IsZero() || run.At.Before(out.to))
				if ser != nil && ser.zone == out.zone && inside && !chk.cluster.disturbedAnywhere(out.from.Add(-quietBefore), run.At) {
					chk.cluster.addProblem("EVAC %s ran at %s %s after the evacuation of its zone began", id, run.Server, run.At.Sub(out.from))
				}
			}
		}
	}
}
