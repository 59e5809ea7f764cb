package member

import (
	"sort"
	"time"

	"lovagestream/core/reach"
)

// hubs returns the members that all others link to: every member of a small
// fleet, otherwise the most senior reachable members of each zone. They follow
// from the membership alone; where views differ, a link is superfluous or
// missing, and updates arrive over other links.
func (set *Set) hubs(now time.Time) map[string]bool {
	out := map[string]bool{set.self.Address: true}
	byZone := map[string][]Member{set.self.Zone: {set.self}}
	num := 1
	for _, inf := range set.others {
		if inf.StartedAt == 0 {
			continue
		}
		num++
		out[inf.Address] = true
		if inf.linked || now.Sub(inf.lastFailed) > hubFailureTimeout {
			byZone[inf.Zone] = append(byZone[inf.Zone], inf.Member)
		}
	}
	if num <= fullMeshLimit {
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

// SelfIsHub reports whether this instance is a hub.
func (set *Set) SelfIsHub(now time.Time) bool { return set.hubs(now)[set.self.Address] }

// AnnouncesNewcomer reports whether this instance announces a newcomer of a
// zone to its peers. Hubs announce those of their own zone; in a fleet that is
// fully meshed, whoever links first announces it whatever the zone. When all
// instances start together, there may be no member yet to announce the first of
// a zone, and instances that do not know of each other each act as coordinator
// until they do.
func (set *Set) AnnouncesNewcomer(now time.Time, zone string) bool {
	return set.SelfIsHub(now) && (zone == set.self.Zone || len(set.others) < fullMeshLimit)
}

// IsHub reports whether a member is a hub.
func (set *Set) IsHub(now time.Time, address string) bool { return set.hubs(now)[address] }

// GossipTargets returns the peers to which this instance sends updates first:
// the linked hubs of all zones and the other linked members of its own zone.
func (set *Set) GossipTargets(now time.Time) (hubs, others []string) {
	all := set.hubs(now)
	for _, inf := range set.linkedPeers() {
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

// LiveHubs returns the other hubs that are live; in a small fleet these are all members.
func (set *Set) LiveHubs(now time.Time) []Member {
	all := set.hubs(now)
	var out []Member
	for _, inf := range set.others {
		if all[inf.Address] && set.isLive(now, inf) {
			out = append(out, inf.Member)
		}
	}
	return out
}

// DialTargets returns the addresses to connect to now.
func (set *Set) DialTargets(now time.Time) []string { return set.dial(now, redialInterval) }

// StartupDialTargets is DialTargets with a shorter retry interval, for an
// instance that has just started.
func (set *Set) StartupDialTargets(now time.Time) []string {
	return set.dial(now, startupRedialInterval)
}

func (set *Set) dial(now time.Time, interval time.Duration) []string {
	var out []string
	hubs := set.hubs(now)
	for adr, inf := range set.others {
		if inf.linked {
			continue
		}
		if !inf.seed && now.Sub(inf.lastKnown) > forgetAfter {
			delete(set.others, adr)
			continue
		}
		if now.Sub(inf.lastDialed) < interval || !set.shouldDial(now, inf, hubs) {
			continue
		}
		inf.lastDialed = now
		out = append(out, adr)
	}
	sort.Strings(out)
	return out
}

// shouldDial reports whether a link to a member is wanted and this instance
// should open it.
func (set *Set) shouldDial(now time.Time, inf *peerInfo, hubs map[string]bool) bool {
	if inf.StartedAt == 0 {
		// A seed address whose member is not known yet.
		return true
	}
	if !hubs[inf.Address] {
		return false
	}
	if !hubs[set.self.Address] {
		return true
	}
	return set.self.Address < inf.Address || now.Sub(inf.lastKnown) > dialTurnDelay
}

// Relays returns the members that may relay requests to backend servers: the live ones
// that take requests and reach the servers, and in a fleet that is not fully meshed
// the members that this instance has no link to.
func (set *Set) Relays(now time.Time) []reach.Candidate {
	out := []reach.Candidate{}
	mesh := len(set.others) < fullMeshLimit
	for _, inf := range set.others {
		switch {
		case inf.StartedAt == 0:
		case set.isLive(now, inf) && inf.heartbeat.Ready && !inf.heartbeat.Leaving && !inf.heartbeat.ServersLost && !inf.heartbeat.Overloaded:
			out = append(out, reach.Candidate{Address: inf.Address, Zone: inf.Zone, Linked: true})
		case !mesh && !inf.linked && now.Sub(inf.lastFailed) > hubFailureTimeout:
			out = append(out, reach.Candidate{Address: inf.Address, Zone: inf.Zone})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Address < out[j].Address })
	return out
}

// UnreachableZones returns the other zones of which members are known but none
// is live: they may be partitioned off together with their backend servers, or
// may only have lost their entry instances.
func (set *Set) UnreachableZones(now time.Time) map[string]bool {
	unreachable := map[string]bool{}
	for _, inf := range set.others {
		if inf.StartedAt == 0 || inf.Zone == "" || inf.Zone == set.self.Zone {
			continue
		}
		if _, seen := unreachable[inf.Zone]; !seen {
			unreachable[inf.Zone] = true
		}
		if set.isLive(now, inf) {
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
