package pace

import (
	"sort"
)

// Peers holds the progress of one pool's streams over one interval. It is built
// before the checks of the interval, which only read it.
type Peers struct {
	// increments are the streams' tokens in the interval; Sort sorts them.
	increments []float64
}

// NewPeers returns an empty Peers.
func NewPeers() *Peers { return &Peers{} }

// Add adds one stream's tokens in the interval.
func (prs *Peers) Add(increment int) {
	prs.increments = append(prs.increments, float64(increment))
}

// Sort must be called once after the last Add.
func (prs *Peers) Sort() { sort.Float64s(prs.increments) }

// Len returns the number of streams.
func (prs *Peers) Len() int { return len(prs.increments) }

// Median returns the median increment, or 0 without streams.
func (prs *Peers) Median() float64 {
	if len(prs.increments) == 0 {
		return 0
	}
	return prs.increments[len(prs.increments)/2]
}
