package fleet

import (
	"sort"
	"time"
)

// Bounds on the links of one instance. Their number grows with the zone, not
// with the fleet; the cross-zone links grow with the number of zones.
const (
	// MaxFullMesh is the largest zone that is fully meshed.
	MaxFullMesh = 64
	// zoneLinks is the number of links that an instance of a larger zone opens
	// within it.
	zoneLinks = 32
	// CrossZoneLinks is the number of links that an instance opens to each
	// other zone.
	CrossZoneLinks = 2
	// maxProbes bounds the gone members of the own zone that are probed.
	maxProbes = 8
	// maxMembers bounds the members kept, far above the fleet size planned for
	// the next two years.
	maxMembers = 2048
)

// Members is the set of other entry instances.
type Members struct {
	self string
	zone string
	// leaving is set once when this instance is about to stop.
	leaving bool
	byID    map[string]*Member
	// links, live and the other lists below are sorted and derived from byID;
	// rebuild computes them again when a state changes.
	links []string
	// probes are the gone members that are probed from time to time, sorted.
	probes []string
	// live holds the live instances of the own zone, including this one.
	live []string
	// zones holds the live instances of each zone, including this one.
	zones map[string][]string
	// allZones holds the zones of all members, including gone ones that are
	// still listed, sorted.
	allZones []string
	// zoneSize is the number of instances of the own zone, including this one
	// and gone ones that are still listed.
	zoneSize int
}

// NewMembers returns the members as known to an instance of a zone before it
// has heard of any other.
func NewMembers(self, zone string) *Members {
	mbs := &Members{self: self, zone: zone, byID: map[string]*Member{}}
	mbs.rebuild()
	return mbs
}

// SetList applies the platform's list. What a live member announced itself
// takes precedence over the list.
func (mbs *Members) SetList(now time.Time, rows []Row) {
	for _, mem := range mbs.byID {
		mem.listed, mem.listLeaving = false, false
	}
	for _, row := range rows {
		mem := mbs.findOrAdd(row.id)
		if mem == nil {
			continue
		}
		mem.listed, mem.listLeaving = true, row.leaving
		if row.address != mem.address && !mem.goneAt.IsZero() {
			mem.goneAt, mem.unansweredSince = time.Time{}, time.Time{}
		}
		if mem.lastHeard.IsZero() || mem.stateAt(now) != Live {
			mem.zone, mem.address = row.zone, row.address
		}
	}
	if !mbs.Tick(now) {
		mbs.rebuild()
	}
}

// findOrAdd returns the member with an identity, adding it if needed; nil for
// this instance itself and if the set is full.
func (mbs *Members) findOrAdd(id string) *Member {
	if id == mbs.self || id == "" {
		return nil
	}
	mem := mbs.byID[id]
	if mem == nil && len(mbs.byID) < maxMembers {
		mem = &Member{id: id, state: Gone}
		mbs.byID[id] = mem
	}
	return mem
}

// MessageReceived records a message from a member. It returns false for a
// message of an earlier incarnation, which must be ignored: messages of a
// process that was replaced can still be in transit.
func (mbs *Members) MessageReceived(now time.Time, id string, incarnation uint64) bool {
	mem := mbs.findOrAdd(id)
	if mem == nil || incarnation < mem.incarnation {
		return false
	}
	if incarnation > mem.incarnation {
		mem.incarnation = incarnation
		mem.announcedLeaving = false
	}
	mem.lastHeard, mem.unansweredSince, mem.goneAt = now, time.Time{}, time.Time{}
	return true
}

// ApplyHeartbeat applies the state in a member's heartbeat and reports whether
// anything changed. zone and address are empty if this instance has
// acknowledged them.
func (mbs *Members) ApplyHeartbeat(now time.Time, id, zone, address string, leaving bool) bool {
	mem := mbs.byID[id]
	if mem == nil {
		return false
	}
	relocated := zone != "" && (mem.zone != zone || mem.address != address)
	if relocated {
		mem.zone, mem.address = zone, address
	}
	mem.announcedLeaving = mem.announcedLeaving || leaving
	stt := mem.stateAt(now)
	changed := relocated || stt != mem.state
	mem.state = stt
	if changed {
		mbs.rebuild()
	}
	return changed
}

// HeartbeatSent records that a heartbeat was sent to a member.
func (mbs *Members) HeartbeatSent(now time.Time, id string) {
	if mem := mbs.byID[id]; mem != nil && mem.unansweredSince.IsZero() {
		mem.unansweredSince = now
	}
}

// LinkFailed records that a connection to a member broke or could not be made.
func (mbs *Members) LinkFailed(now time.Time, id string) {
	if mem := mbs.byID[id]; mem != nil && !mem.linkFailedAt.After(mem.lastHeard) {
		mem.linkFailedAt = now
	}
}

// SetLeaving marks this instance as about to stop, so that no duty falls on it.
func (mbs *Members) SetLeaving() {
	mbs.leaving = true
	mbs.rebuild()
}

// Resumed records that this process was paused. Its knowledge is outdated until
// members are heard again, and their silence is no evidence because this
// process was not receiving.
func (mbs *Members) Resumed(now time.Time) {
	for _, mem := range mbs.byID {
		if !mem.lastHeard.IsZero() {
			mem.unansweredSince = now.Add(-SuspectAfter)
		}
		mem.goneAt = time.Time{}
	}
	mbs.Tick(now)
}

// Tick updates the state of every member and reports whether any changed.
func (mbs *Members) Tick(now time.Time) bool {
	changed := false
	for id, mem := range mbs.byID {
		stt := mem.stateAt(now)
		if stt == mem.state {
			continue
		}
		changed = true
		mem.state = stt
		if stt == Gone {
			mem.goneAt, mem.unansweredSince = now, time.Time{}
			if !mem.listed {
				delete(mbs.byID, id)
			}
		}
	}
	if changed {
		mbs.rebuild()
	}
	return changed
}

func (mbs *Members) rebuild() {
	mbs.zones = map[string][]string{}
	if !mbs.leaving {
		mbs.zones[mbs.zone] = []string{mbs.self}
	}
	ownZone, gone := []string{}, []string{}
	far, farGone := map[string][]string{}, map[string][]string{}
	zoneSet := map[string]bool{}
	mbs.zoneSize = 1
	for id, mem := range mbs.byID {
		zoneSet[mem.zone] = true
		if mem.zone == mbs.zone {
			mbs.zoneSize++
		}
		switch mem.state {
		case Live:
			mbs.zones[mem.zone] = append(mbs.zones[mem.zone], id)
		case Gone:
			if mem.zone == mbs.zone {
				gone = append(gone, id)
			} else {
				farGone[mem.zone] = append(farGone[mem.zone], id)
			}
			continue
		}
		if mem.zone == mbs.zone {
			ownZone = append(ownZone, id)
			continue
		}
		far[mem.zone] = append(far[mem.zone], id)
	}
	for _, ids := range mbs.zones {
		sort.Strings(ids)
	}
	mbs.live = mbs.zones[mbs.zone]
	mbs.links = ownZone
	if len(ownZone) > MaxFullMesh {
		mbs.links = Top(mbs.self, ownZone, zoneLinks)
	}
	for _, ids := range far {
		mbs.links = append(mbs.links, Top(mbs.self, ids, CrossZoneLinks)...)
	}
	sort.Strings(mbs.links)
	mbs.probes = Top(mbs.self, gone, maxProbes)
	for _, ids := range farGone {
		mbs.probes = append(mbs.probes, Top(mbs.self, ids, CrossZoneLinks)...)
	}
	sort.Strings(mbs.probes)
	mbs.allZones = mbs.allZones[:0:0]
	for zon := range zoneSet {
		mbs.allZones = append(mbs.allZones, zon)
	}
	sort.Strings(mbs.allZones)
}

// Links returns the members to exchange heartbeats with, sorted.
func (mbs *Members) Links() []string { return mbs.links }

// Probes returns the gone members that are still listed and should be sent a
// heartbeat from time to time, sorted. Without probes, both sides of a healed
// partition would keep taking each other for gone.
func (mbs *Members) Probes() []string { return mbs.probes }

// Linked reports whether heartbeats are sent to a member.
func (mbs *Members) Linked(id string) bool {
	at := sort.SearchStrings(mbs.links, id)
	return at < len(mbs.links) && mbs.links[at] == id
}

// Live returns the live instances of the own zone, sorted, including this one
// unless it is about to stop.
func (mbs *Members) Live() []string { return mbs.live }

// LiveIn returns the live instances of a zone, sorted.
func (mbs *Members) LiveIn(zone string) []string { return mbs.zones[zone] }

// Zones returns the zones of all other members, sorted, including zones without
// a live member.
func (mbs *Members) Zones() []string { return mbs.allZones }

// ZoneSize returns the number of instances of the own zone, including this one
// and gone ones that are still listed.
func (mbs *Members) ZoneSize() int { return mbs.zoneSize }

// Find returns a member, or nil.
func (mbs *Members) Find(id string) *Member { return mbs.byID[id] }

// All returns every member, sorted by identity.
func (mbs *Members) All() []*Member {
	all := make([]*Member, 0, len(mbs.byID))
	for _, mem := range mbs.byID {
		all = append(all, mem)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].id < all[j].id })
	return all
}
