package fair

import (
	"math"
	"time"
)

// rateWindow is the time constant of rates: it separates a flood of several
// seconds from a few requests that came together.
const rateWindow = 500 * time.Millisecond

// rate is an exponentially weighted number of events per second.
type rate struct {
	value float64
	at    time.Time
}

func (rat *rate) add(now time.Time, num float64) {
	rat.value = rat.get(now) + num/rateWindow.Seconds()
	rat.at = now
}

func (rat *rate) get(now time.Time) float64 {
	return rat.value * math.Exp(-max(0, now.Sub(rat.at).Seconds())/rateWindow.Seconds())
}
