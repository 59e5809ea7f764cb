package reach

import "time"

const (
	// restTime is for how long an instance that couldn't relay is not asked.
	restTime = 500 * time.Millisecond
	// otherZoneCost and unlinkedCost are the costs of a relay in a zone other than the
	// instance's and the server's, and of one whose state is not known, in requests
	// that it relays at the same time. Both are paid only when the nearer ones are
	// busy.
	otherZoneCost = 2
	unlinkedCost  = 4
	// maxRests bounds the rests that are kept.
	maxRests = 4096
)

// Candidate is an entry instance that may relay requests.
type Candidate struct {
	Address string
	Zone    string
	// Linked is set if the instance is linked and said that it reaches the servers.
	Linked bool
}

// restKey names a relay that is not asked about a service, or any if that is "".
type restKey struct{ relay, service string }

// Relays chooses the entry instances that relay requests. It is not safe for
// concurrent use.
type Relays struct {
	inFlight map[string]int
	// rests are the relays that are not asked until a time.
	rests map[restKey]time.Time
}

// NewRelays returns a state in which all relays are idle.
func NewRelays() *Relays {
	return &Relays{inFlight: map[string]int{}, rests: map[restKey]time.Time{}}
}

// Choose returns the candidate with the least cost for a request from one zone to a
// server of a service in another, without those to avoid; false if there is none. Among
// equals, draw in [0,1) decides.
func (rls *Relays) Choose(now time.Time, list []Candidate, service, zone, serverZone string, avoid map[string]bool, draw float64) (Candidate, bool) {
	best, lowest := -1, 0
	start := int(draw * float64(len(list)))
	for num := range list {
		idx := (start + num) % len(list)
		can := list[idx]
		if avoid[can.Address] || now.Before(rls.rests[restKey{can.Address, ""}]) || now.Before(rls.rests[restKey{can.Address, service}]) {
			continue
		}
		cost := rls.inFlight[can.Address]
		if can.Zone != zone && can.Zone != serverZone {
			cost += otherZoneCost
		}
		if !can.Linked {
			cost += unlinkedCost
		}
		if best < 0 || cost < lowest {
			best, lowest = idx, cost
		}
	}
	if best < 0 {
		return Candidate{}, false
	}
	return list[best], true
}

// Started records a request given to a relay.
func (rls *Relays) Started(address string) { rls.inFlight[address]++ }

// Ended records the end of a request at a relay.
func (rls *Relays) Ended(address string) {
	if rls.inFlight[address]--; rls.inFlight[address] <= 0 {
		delete(rls.inFlight, address)
	}
}

// Rest keeps a relay from being asked for a while about a service whose servers it
// doesn't reach, or about any if service is "".
func (rls *Relays) Rest(now time.Time, address, service string) {
	if len(rls.rests) >= maxRests {
		for key, until := range rls.rests {
			if !now.Before(until) {
				delete(rls.rests, key)
			}
		}
	}
	if len(rls.rests) < maxRests {
		rls.rests[restKey{address, service}] = now.Add(restTime)
	}
}
