package speed

import (
	"math"
	"math/bits"
	"time"
)

const (
	// fadingSteps is the number of age steps, each twice as long as the one
	// before; the first ends at one millisecond, the last covers some seconds.
	fadingSteps = 14
	// fadingDecay is the decay of the sums of a step with each pair.
	fadingDecay = 0.998
	// minPairs is the least number of pairs of a step that is used, and minScore
	// the least deviation of its correlation from 0, in standard deviations.
	minPairs = 30
	minScore = 4
)

// fading measures how much of a deviation is left after some time, from pairs of
// a deviation seen earlier and the one seen next. A report that is false or old
// shows no correlation and has no effect, whatever it says.
type fading struct {
	steps [fadingSteps]fadingStep
	// usable is set while the correlation of a step is significant, and measured
	// once a step has enough pairs to tell.
	usable   bool
	measured bool
	// far counts the pairs that are too far apart for the steps; nothing is left
	// of such a deviation.
	far int
}

// fadingStep holds the pairs of about one age.
type fadingStep struct {
	count, sumXX, sumXY, sumYY float64
	// slope is the share of a deviation that is left, rho its correlation; both
	// are 0 unless significant.
	slope, rho float64
}

// step returns the index of an age.
func step(age time.Duration) int {
	return min(fadingSteps, bits.Len64(uint64(max(0, age.Milliseconds()))))
}

func (fad *fading) add(age time.Duration, early, late float64) {
	idx := step(age)
	if idx >= fadingSteps {
		fad.far++
		fad.measured = fad.measured || fad.far >= minPairs
		return
	}
	stp := &fad.steps[idx]
	stp.count = stp.count*fadingDecay + 1
	stp.sumXX = stp.sumXX*fadingDecay + early*early
	stp.sumXY = stp.sumXY*fadingDecay + early*late
	stp.sumYY = stp.sumYY*fadingDecay + late*late
	stp.slope, stp.rho = 0, 0
	fad.measured = fad.measured || stp.count >= minPairs
	if stp.count >= minPairs && stp.sumXY > 0 {
		if rho := stp.sumXY / math.Sqrt(stp.sumXX*stp.sumYY); rho*math.Sqrt(stp.count) >= minScore {
			stp.slope, stp.rho = min(1, stp.sumXY/stp.sumXX), rho
		}
	}
	fad.fill()
}

// fill gives steps with too few pairs the values of the next older step: less
// time leaves no less of a deviation.
func (fad *fading) fill() {
	fad.usable = false
	for idx := fadingSteps - 1; idx >= 0; idx-- {
		stp := &fad.steps[idx]
		if stp.count < minPairs && idx+1 < fadingSteps {
			stp.slope, stp.rho = fad.steps[idx+1].slope, fad.steps[idx+1].rho
		}
		fad.usable = fad.usable || stp.rho > 0
	}
}

// at returns the step of a deviation last seen at a time, or nil if nothing of
// it is left.
func (fad *fading) at(now, seen time.Time) *fadingStep {
	if !fad.usable || seen.IsZero() {
		return nil
	}
	idx := step(now.Sub(seen))
	if idx >= fadingSteps || fad.steps[idx].rho == 0 {
		return nil
	}
	return &fad.steps[idx]
}

// left is the share of a deviation that is left after an age.
func (fad *fading) left(age time.Duration) float64 {
	if idx := step(age); idx < fadingSteps {
		return fad.steps[idx].slope
	}
	return 0
}

// persistence is the share of what two deviations have in common at once that
// they still have in common an age apart.
func (fad *fading) persistence(age time.Duration) float64 {
	idx := step(age)
	if idx >= fadingSteps || fad.steps[0].rho == 0 {
		return 0
	}
	return min(1, fad.steps[idx].rho/fad.steps[0].rho)
}
