package limit

import (
	"math"
	"time"
)

// rateMean is an exponentially weighted moving average of events a second.
type rateMean struct {
	perSecond float64
}

// add counts events that happen now.
func (rmn *rateMean) add(events float64) { rmn.perSecond += events / demandTimeConstant.Seconds() }

// decay advances the time.
func (rmn *rateMean) decay(passed time.Duration) { rmn.perSecond = rmn.after(passed) }

// after returns the average after some time without events.
func (rmn *rateMean) after(passed time.Duration) float64 {
	return rmn.perSecond * math.Exp(-passed.Seconds()/demandTimeConstant.Seconds())
}
