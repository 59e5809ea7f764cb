package fair

import (
	"slices"
	"strings"
	"time"
)

const (
	// usageTTL is the age, counted from its arrival, up to which a report is
	// added up. The instances of a fleet of 400 report every two seconds.
	usageTTL = 3 * time.Second
	// maxReporters bounds the instances whose reports are kept.
	maxReporters = 512
	// MaxReported bounds the services in a report.
	MaxReported = 4
	// MaxNoticeRows bounds the accounts that a notice names for all resources.
	MaxNoticeRows = 16
	// namedFactor is how far above its share an account must be to be named.
	namedFactor = 1.05
)

// Board adds up the reports of all instances at the one that divides, and
// divides each resource between the accounts of the whole fleet. A later report
// of an instance replaces its earlier one. A Board is not safe for concurrent
// use.
//
// Load pattern: the requests of the account that floods and those of others
// come through different instances, none of which sees both.
type Board struct {
	reports map[string]report
}

type report struct {
	at   time.Time
	list []Usage
}

// NewBoard returns an empty board.
func NewBoard() *Board { return &Board{reports: map[string]report{}} }

// Put sets the report of an instance.
func (brd *Board) Put(now time.Time, from string, list []Usage) {
	if _, have := brd.reports[from]; !have && len(brd.reports) >= maxReporters {
		brd.expire(now)
		if len(brd.reports) >= maxReporters {
			return
		}
	}
	brd.reports[from] = report{at: now, list: list[:min(len(list), MaxReported)]}
}

func (brd *Board) expire(now time.Time) {
	for from, rep := range brd.reports {
		if now.Sub(rep.at) > usageTTL {
			delete(brd.reports, from)
		}
	}
}

// Reporters returns the instances with a report.
func (brd *Board) Reporters(now time.Time) []string {
	brd.expire(now)
	out := make([]string, 0, len(brd.reports))
	for from := range brd.reports {
		out = append(out, from)
	}
	slices.Sort(out)
	return out
}

// total is the sum of the reports on one resource.
type total struct {
	served  float64
	rest    float64
	refused float64
	demand  map[string]float64
	use     map[string]float64
}

// Standings returns the accounts over their share, those with the most demand
// first. A resource of which no account is over has a standing without an
// account's demand, which tells that it was divided. slots returns the number of
// slots of a resource's servers, the least that they are expected to do.
func (brd *Board) Standings(now time.Time, slots func(resource string) float64) []Standing {
	brd.expire(now)
	var out []Standing
	for resource, tot := range brd.totals() {
		out = append(out, Standing{Resource: resource})
		if len(tot.demand) < 2 {
			continue
		}
		demands := make([]float64, 0, len(tot.demand))
		for _, demand := range tot.demand {
			demands = append(demands, demand)
		}
		if tot.rest > 0 {
			demands = append(demands, tot.rest)
		}
		level := waterLevel(demands, capacity(slots(resource), tot.served, tot.refused, shrinkFactor))
		for account, demand := range tot.demand {
			if demand > level*namedFactor {
				out = append(out, Standing{Account: account, Resource: resource, Demand: demand, Use: tot.use[account], Share: level, Wait: excessWait(demand, level)})
			}
		}
	}
	slices.SortFunc(out, func(one, two Standing) int { return strings.Compare(one.Resource, two.Resource) })
	sortByDemand(out)
	return out[:min(len(out), MaxNoticeRows)]
}

func (brd *Board) totals() map[string]*total {
	out := map[string]*total{}
	for _, rep := range brd.reports {
		for _, usg := range rep.list {
			tot := out[usg.Resource]
			if tot == nil {
				tot = &total{demand: map[string]float64{}, use: map[string]float64{}}
				out[usg.Resource] = tot
			}
			tot.served += usg.Served
			tot.rest += usg.Rest
			tot.refused += usg.Refused
			for _, row := range usg.Rows {
				tot.demand[row.Account] += row.Demand
				tot.use[row.Account] += row.Use
			}
		}
	}
	return out
}
