package resume

import (
	"slices"
	"sort"

	"lovagestream/core/call"
	"lovagestream/core/member"
)

const (
	// otherZones is the number of zones beside its own in which an instance has others
	// keep the record of a stream: one of them may be lost, and one cut off.
	otherZones = 2
	// askedPerZone is the number of instances that are asked in each zone. Where an
	// instance has joined or left since, the record is with the second by hash.
	askedPerZone = 2
)

// Keepers returns the instances that keep the record of a stream for an instance of a
// zone: one of that zone and one of each of otherZones others, or two where there is one
// zone alone. members are those that it can send to.
func Keepers(id, zone string, members []member.Member) []string {
	byZone := rankedByZone(id, members)
	zones := zonesFor(id, zone, byZone, otherZones)
	if len(byZone) < 2 {
		return firstOf(byZone, zones, askedPerZone)
	}
	return firstOf(byZone, zones, 1)
}

// Asked returns the instances that an instance of a zone asks for the record of a
// stream. They include the Keepers that an instance of any zone has chosen, unless the
// membership has changed by more than one instance of a zone.
func Asked(id, zone string, members []member.Member) []string {
	byZone := rankedByZone(id, members)
	return firstOf(byZone, zonesFor(id, zone, byZone, otherZones+1), askedPerZone)
}

// Checks reports whether an instance is one of those that check the report of a server's
// end: two of each zone, so that one without a path doesn't decide.
func Checks(start string, self member.Member, others []member.Member) bool {
	byZone := rankedByZone(start, append([]member.Member{self}, others...))
	return slices.Contains(firstOf(byZone, []string{self.Zone}, askedPerZone), self.Address)
}

// Observers is the number of instances that keep a connection open to each server, to notice
// when it ends: one of them may end, or lose its path.
const Observers = 2

// Observes reports whether an instance is one of those that observe a server's start: the
// first by hash of its zone, or of others if the zone has too few.
func Observes(start, zone string, self member.Member, others []member.Member) bool {
	all := append([]member.Member{self}, others...)
	own := slices.DeleteFunc(slices.Clone(all), func(mem member.Member) bool { return mem.Zone != zone })
	if len(own) >= Observers {
		// The other zones needn't be ranked.
		all = own
	}
	byZone := rankedByZone(start, all)
	list := firstOf(byZone, zonesFor(start, zone, byZone, len(byZone)), Observers)
	return slices.Contains(list[:min(Observers, len(list))], self.Address)
}

// rankedByZone orders the members of each zone by rendezvous hash.
func rankedByZone(id string, members []member.Member) map[string][]string {
	byZone := map[string][]string{}
	for _, mem := range members {
		byZone[mem.Zone] = append(byZone[mem.Zone], mem.Address)
	}
	for _, list := range byZone {
		sortByHash(id, list)
	}
	return byZone
}

func sortByHash(id string, names []string) {
	sort.Slice(names, func(i, j int) bool { return call.HashFraction(id, names[i]) > call.HashFraction(id, names[j]) })
}

// zonesFor returns a zone and the first others by hash.
func zonesFor(id, zone string, byZone map[string][]string, others int) []string {
	var names []string
	for name := range byZone {
		names = append(names, name)
	}
	sortByHash(id, names)
	names = slices.DeleteFunc(names, func(name string) bool { return name == zone })
	return append([]string{zone}, names[:min(others, len(names))]...)
}

func firstOf(byZone map[string][]string, zones []string, num int) []string {
	var out []string
	for _, zone := range zones {
		list := byZone[zone]
		out = append(out, list[:min(num, len(list))]...)
	}
	return out
}
