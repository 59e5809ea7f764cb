package speed

import (
	"math"
	"time"
)

// Server is the speed of one start of a server. Its figures are logarithms of
// the ratio of time to nominal time.
type Server struct {
	trk       *Tracker
	id        string
	startedAt int64
	address   string
	// mean is the lasting value, and weight the number of observations behind it.
	// spells is the number of independent deviations in them.
	mean   float64
	weight float64
	spells float64
	// factor is the lasting factor as it is used.
	factor float64
	// deviation is the estimated deviation from mean when it was last seen.
	deviation float64
	seen      time.Time
	// report is the deviation that the server reported.
	report     float64
	reportedAt time.Time
}

// observe records one observation.
func (ser *Server) observe(now time.Time, value, weight float64) {
	trk := ser.trk
	clip := clipDeviations * math.Sqrt(trk.noise)
	old, known := ser.mean, ser.weight > 0
	if !known {
		old = trk.center
	}
	dev := value - old
	if !known && trk.variance == 0 && trk.noiseCount <= noiseWeight {
		// Before the first observations nothing says what is usual.
		trk.center, old, dev = value, value, 0
	}
	// Observations that follow each other closely see the same deviation.
	fresh := 1.0
	if known && !ser.seen.IsZero() {
		fresh = 1 - trk.observed.persistence(now.Sub(ser.seen))
	}
	if ser.weight >= maxWeight {
		ser.spells *= 1 - 1.0/maxWeight
	}
	ser.weight = min(maxWeight, ser.weight+weight)
	ser.spells = min(ser.weight, ser.spells+fresh)
	ser.mean = old + bounded(dev, clip+math.Sqrt(trk.variance))*weight/ser.weight
	if known && ser.weight >= minWeight {
		near := bounded(dev, 2*clip)
		trk.noiseCount = min(maxNoiseWeight, trk.noiseCount+weight)
		trk.noise += (near*near*weight*ser.weight/(ser.weight+weight) - trk.noise) * weight / trk.noiseCount
		ser.observeDeviation(now, near, weight)
	}
	ser.seen = now
	ser.refresh()
}

// observeDeviation updates the momentary deviation, and how deviations fade.
func (ser *Server) observeDeviation(now time.Time, dev, weight float64) {
	trk := ser.trk
	expected := 0.0
	if !ser.seen.IsZero() {
		age := now.Sub(ser.seen)
		trk.observed.add(age, ser.deviation, dev)
		expected = trk.observed.left(age) * ser.deviation
	}
	if !ser.reportedAt.IsZero() {
		trk.reported.add(now.Sub(ser.reportedAt), ser.report, dev)
	}
	ser.deviation = expected + latestShare*weight*(dev-expected)
}

// latestShare is the share of the latest observation of full weight in the momentary
// deviation.
const latestShare = 0.5

func bounded(value, bound float64) float64 { return max(-bound, min(bound, value)) }

// err is the variance of the mean's error: that of single observations, and of
// the deviations that several of them shared.
func (ser *Server) err() float64 {
	shared := ser.trk.observed.steps[0].rho
	return ser.trk.noise * ((1-shared)/ser.weight + shared/max(1, ser.spells))
}

// refresh computes the lasting factor as it is used: the estimate is drawn
// towards the mean of all servers by the share of its error in its variance.
func (ser *Server) refresh() {
	trk := ser.trk
	if trk.variance == 0 || ser.weight == 0 {
		ser.factor = 1
		return
	}
	ser.factor = math.Exp((ser.mean - trk.center) * trk.variance / (trk.variance + ser.err()))
}

// Lasting is the server's lasting factor.
func (ser *Server) Lasting() float64 { return ser.factor }

// Factor is the expected ratio of time to nominal time for work begun now.
func (ser *Server) Factor(now time.Time) float64 {
	trk := ser.trk
	if !trk.observed.usable && !trk.reported.usable {
		return ser.factor
	}
	left := 0.0
	seen := trk.observed.at(now, ser.seen)
	stated := trk.reported.at(now, ser.reportedAt)
	switch {
	case stated != nil && (seen == nil || stated.rho > seen.rho):
		left = stated.slope * ser.report
	case seen != nil:
		left = seen.slope * ser.deviation
	}
	if left > -minMomentary && left < minMomentary {
		return ser.factor
	}
	return ser.factor * math.Exp(left)
}
