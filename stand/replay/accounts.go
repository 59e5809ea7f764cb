package replay

import (
	"fmt"
	"slices"
)

// minRequests is the number of requests from which an account's refused share
// is measured alone.
const minRequests = 20

// floodFactor is the factor by which floods raise the rate of all requests.
func (sim *simulation) floodFactor() float64 {
	usual, now := 0.0, 0.0
	for _, acc := range sim.scn.Accounts {
		weight := acc.Weight * float64(max(1, acc.Count))
		usual += weight
		now += weight * max(1, sim.floods[acc.Name])
	}
	if usual == 0 {
		return 1
	}
	return now / usual
}

// drawAccount draws the account of a request, and returns its priority.
func (sim *simulation) drawAccount() (string, int) {
	total := 0.0
	for _, acc := range sim.scn.Accounts {
		total += acc.Weight * float64(max(1, acc.Count)) * max(1, sim.floods[acc.Name])
	}
	left := sim.accountRnd.Float64() * total
	last := len(sim.scn.Accounts) - 1
	for idx, acc := range sim.scn.Accounts {
		left -= acc.Weight * float64(max(1, acc.Count)) * max(1, sim.floods[acc.Name])
		if left >= 0 && idx < last {
			continue
		}
		if acc.Count > 1 {
			return fmt.Sprintf("%s-%d", acc.Name, sim.accountRnd.IntN(acc.Count)), acc.Priority
		}
		return acc.Name, acc.Priority
	}
	return "", 0
}

// countAccounts sums the requests up by account.
func (res *Result) countAccounts(scn *Scenario, requests []*request) {
	if len(scn.Accounts) == 0 {
		return
	}
	res.Accounts = map[string]AccountStats{}
	all, refused := 0, 0
	for _, req := range requests {
		sta := res.Accounts[req.account]
		sta.Requests++
		if req.served {
			sta.Served++
		}
		if req.refused {
			sta.Refused++
		}
		res.Accounts[req.account] = sta
		if !slices.Contains(scn.Immodest, req.account) {
			all++
			if req.refused {
				refused++
			}
		}
	}
	res.MeanRefused = float64(refused) / float64(max(1, all))
	for name, sta := range res.Accounts {
		if sta.Requests >= minRequests && !slices.Contains(scn.Immodest, name) {
			res.WorstRefused = max(res.WorstRefused, float64(sta.Refused)/float64(sta.Requests))
		}
	}
}
