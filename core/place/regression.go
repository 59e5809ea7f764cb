package place

import "time"

const (
	// fitDecay is the decay of the sums with each sample: about the last
	// hundred count.
	fitDecay = 0.99
	// nominalDecay is that of the samples which engines are compared by: about
	// the last thousand count.
	nominalDecay = 0.999
	// minSamples is the weight from which the regression is used.
	minSamples = 20
	// minRate and maxRate, in tokens per millisecond, bound the learnt rate.
	// The time of an engine that stalls says nothing about prefill.
	minRate = 5.0
	maxRate = 400.0
	// maxSample is the longest time of a sample; longer ones are ignored.
	maxSample = 3 * time.Second
)

// regression fits the time to the first event to the number of prompt tokens by
// least squares, with exponentially decaying samples.
type regression struct {
	decay                           float64
	count, sumX, sumY, sumXX, sumXY float64
}

func newRegression(decay float64) regression { return regression{decay: decay} }

func (reg *regression) add(tokens float64, took time.Duration) {
	if took > maxSample || took <= 0 {
		return
	}
	x, y := tokens, float64(took)/float64(time.Millisecond)
	reg.count = reg.count*reg.decay + 1
	reg.sumX = reg.sumX*reg.decay + x
	reg.sumY = reg.sumY*reg.decay + y
	reg.sumXX = reg.sumXX*reg.decay + x*x
	reg.sumXY = reg.sumXY*reg.decay + x*y
}

// rate returns the prefill rate in tokens per millisecond.
func (reg *regression) rate() float64 {
	det := reg.count*reg.sumXX - reg.sumX*reg.sumX
	if reg.count < minSamples || det <= 0 {
		return defaultRate
	}
	slope := (reg.count*reg.sumXY - reg.sumX*reg.sumY) / det
	if slope <= 0 {
		return maxRate
	}
	return min(maxRate, max(minRate, 1/slope))
}

// prefillTime is the prefill time of a number of tokens, without the fixed time
// of a request.
func (reg *regression) prefillTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / reg.rate() * float64(time.Millisecond))
}

// ready reports whether there are enough samples.
func (reg *regression) ready() bool { return reg.count >= minSamples }

// fixedTime is the time of a request without prefill.
func (reg *regression) fixedTime() time.Duration {
	if !reg.ready() {
		return defaultBase / 2
	}
	return time.Duration(max(minFixed, (reg.sumY-reg.sumX/reg.rate())/reg.count) * float64(time.Millisecond))
}

// minFixed is the least fixed time of a request, in milliseconds.
const minFixed = 1.0
