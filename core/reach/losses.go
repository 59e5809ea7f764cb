package reach

import (
	"slices"
	"time"
)

// settleTime is for how long the path to a service's servers must work before its loss
// counts as over. Where some of the servers are reached, the path is lost and back
// several times a second.
const settleTime = time.Second

// loss is one loss of the path to the servers of a service.
type loss struct {
	since time.Time
	// backAt is when the path came back; zero while it is lost.
	backAt time.Time
}

// Losses tells an operator of lost paths, each loss once. It is not safe for
// concurrent use.
type Losses struct {
	losses map[string]*loss
}

// NewLosses returns a state without losses.
func NewLosses() *Losses { return &Losses{losses: map[string]*loss{}} }

// Ended is a loss that is over.
type Ended struct {
	Service string
	Lasted  time.Duration
}

// Update takes the services to which the path is lost now, and returns those whose loss
// has begun and those whose loss is over, sorted.
func (los *Losses) Update(now time.Time, lost []string) (begun []string, ended []Ended) {
	for _, name := range lost {
		if old := los.losses[name]; old != nil {
			old.backAt = time.Time{}
			continue
		}
		los.losses[name] = &loss{since: now}
		begun = append(begun, name)
	}
	for name, old := range los.losses {
		switch {
		case slices.Contains(lost, name):
		case old.backAt.IsZero():
			old.backAt = now
		case now.Sub(old.backAt) >= settleTime:
			delete(los.losses, name)
			ended = append(ended, Ended{Service: name, Lasted: old.backAt.Sub(old.since)})
		}
	}
	slices.Sort(begun)
	slices.SortFunc(ended, func(one, two Ended) int {
		if one.Service < two.Service {
			return -1
		}
		return 1
	})
	return begun, ended
}
