package member

import (
	"sort"
	"time"
)

// hubs are the members that all others link to: everybody in a small fleet, else
// the eldest of each zone that can be reached. They follow from the members
// alone; where views differ, a link too many stands or one is missing, and news
// comes another way.
func (set *Set) hubs(now time.Time) map[string]bool {
	out := map[string]bool{set.self.Address: true}
	byZone := map[string][]Member{set.self.Zone: {set.self}}
	num := 1
	for _, inf := range set.others {
		if inf.Born == 0 {
			continue
		}
		num++
		out[inf.Address] = true
		if inf.linked || now.Sub(inf.failed) > failedFor {
			byZone[inf.Zone] = append(byZone[inf.Zone], inf.Member)
		}
	}
	if num <= fullMesh {
		return out
	}
	clear(out)
	for _, list := range byZone {
		sort.Slice(list, func(i, j int) bool { return precedes(list[i], list[j]) })
		for _, mem := range list[:min(hubsPerZone, len(list))] {
			out[mem.Address] = true
		}
	}
	return out
}

// Hub reports whether this instance is one of those that all link to.
func (set *Set) Hub(now time.Time) bool { return set.hubs(now)[set.self.Address] }

// Names reports whether this instance names a newcomer of a zone to its peers:
// hubs name those of their own zone. In a fleet in which all link to all, who
// links first names everybody. Where all start again together, nobody may be
// there yet to name the first of a zone, and those who don't know of each other
// form calls side by side until they do.
func (set *Set) Names(now time.Time, zone string) bool {
	return set.Hub(now) && (zone == set.self.Zone || len(set.others) < fullMesh)
}

// IsHub reports whether a member is one of those that all link to.
func (set *Set) IsHub(now time.Time, address string) bool { return set.hubs(now)[address] }

// Targets returns whom this instance tells what it learns first: linked hubs of
// all zones, and the other linked members of its own.
func (set *Set) Targets(now time.Time) (hubs, others []string) {
	all := set.hubs(now)
	for _, inf := range set.links() {
		switch {
		case all[inf.Address]:
			hubs = append(hubs, inf.Address)
		case inf.Zone == set.self.Zone:
			others = append(others, inf.Address)
		}
	}
	sort.Strings(hubs)
	sort.Strings(others)
	return hubs, others
}

// Dial returns addresses to connect to now.
func (set *Set) Dial(now time.Time) []string { return set.dial(now, redial) }

// Seek returns the same, more often, for an instance that has just started.
func (set *Set) Seek(now time.Time) []string { return set.dial(now, seekPeriod) }

func (set *Set) dial(now time.Time, pause time.Duration) []string {
	var out []string
	hubs := set.hubs(now)
	for adr, inf := range set.others {
		if inf.linked {
			continue
		}
		if !inf.seed && now.Sub(inf.known) > forgotten {
			delete(set.others, adr)
			continue
		}
		if now.Sub(inf.dialed) < pause || !set.mine(now, inf, hubs) {
			continue
		}
		inf.dialed = now
		out = append(out, adr)
	}
	sort.Strings(out)
	return out
}

// mine reports whether a link to a member is wanted, and this end's to open.
func (set *Set) mine(now time.Time, inf *info, hubs map[string]bool) bool {
	if inf.Born == 0 {
		// A seed of which nothing is known.
		return true
	}
	if !hubs[inf.Address] {
		return false
	}
	if !hubs[set.self.Address] {
		return true
	}
	return set.self.Address < inf.Address || now.Sub(inf.known) > turnsAfter
}

// UnreachableZones are the other zones of which no member is live though some are
// known: they may be cut off, with their servers, or just have lost their entry
// instances.
func (set *Set) UnreachableZones(now time.Time) map[string]bool {
	unreachable := map[string]bool{}
	for _, inf := range set.others {
		if inf.Born == 0 || inf.Zone == "" || inf.Zone == set.self.Zone {
			continue
		}
		if _, seen := unreachable[inf.Zone]; !seen {
			unreachable[inf.Zone] = true
		}
		if set.live(now, inf) {
			unreachable[inf.Zone] = false
		}
	}
	for zon, is := range unreachable {
		if !is {
			delete(unreachable, zon)
		}
	}
	return unreachable
}
