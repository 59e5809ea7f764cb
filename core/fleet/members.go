package fleet

import (
	"sort"
	"time"
)

// Bounds of the links of one instance. They grow with the zone, not with the
// fleet, and the cross-zone part with the number of zones.
const (
	// MaxMesh is the largest zone in which every pair is linked.
	MaxMesh = 64
	// neighbours is how many an instance of a larger zone chooses.
	neighbours = 32
	// CrossLinks is how many it chooses in each other zone.
	CrossLinks = 2
	// maxProbes bounds the gone members of the own zone that are tried.
	maxProbes = 8
	// maxMembers bounds the members kept, far above the two-year size.
	maxMembers = 2048
)

// Members is the set of other entry instances.
type Members struct {
	self string
	zone string
	// leaving is set once when this instance is about to stop.
	leaving bool
	byID    map[string]*Member
	// links, live and peers are sorted and follow from byID; rebuild makes
	// them again when a state changes.
	links []string
	// probes are gone members that are tried now and then, sorted.
	probes []string
	// live holds the live instances of the own zone, this one included.
	live []string
	// zones holds the live instances of each zone, this one included.
	zones map[string][]string
	// places holds the zones of all members, gone ones that are still listed
	// included, sorted.
	places []string
	// near counts the instances of the own zone, this one and gone ones that
	// are still listed included.
	near int
}

// NewMembers returns the members as an instance of a zone knows them before
// it has heard anything.
func NewMembers(self, zone string) *Members {
	mbs := &Members{self: self, zone: zone, byID: map[string]*Member{}}
	mbs.rebuild()
	return mbs
}

// SetList takes what the platform's list says. A member heard directly stays
// what it is, whatever the list says.
func (mbs *Members) SetList(now time.Time, rows []Row) {
	for _, mem := range mbs.byID {
		mem.listed, mem.listLeaving = false, false
	}
	for _, row := range rows {
		mem := mbs.enter(row.id)
		if mem == nil {
			continue
		}
		mem.listed, mem.listLeaving = true, row.leaving
		if row.address != mem.address && !mem.goneAt.IsZero() {
			mem.goneAt, mem.tried = time.Time{}, time.Time{}
		}
		if mem.heard.IsZero() || mem.judge(now) != Live {
			mem.zone, mem.address = row.zone, row.address
		}
	}
	if !mbs.Tick(now) {
		mbs.rebuild()
	}
}

// enter returns the member of an identity; nil for this instance itself and
// where the set is full.
func (mbs *Members) enter(id string) *Member {
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

// Heard takes a word of a member itself. It reports false for a word of an
// earlier incarnation, which must be ignored: a process that was replaced can
// have words under way.
func (mbs *Members) Heard(now time.Time, id string, incarnation uint64) bool {
	mem := mbs.enter(id)
	if mem == nil || incarnation < mem.incarnation {
		return false
	}
	if incarnation > mem.incarnation {
		mem.incarnation = incarnation
		mem.saidLeaving = false
	}
	mem.heard, mem.tried, mem.goneAt = now, time.Time{}, time.Time{}
	return true
}

// Described takes what a member's heartbeat says of it; zone and address are
// empty where this instance has shown to know them.
// It reports whether anything changed.
func (mbs *Members) Described(now time.Time, id, zone, address string, leaving bool) bool {
	mem := mbs.byID[id]
	if mem == nil {
		return false
	}
	moved := zone != "" && (mem.zone != zone || mem.address != address)
	if moved {
		mem.zone, mem.address = zone, address
	}
	mem.saidLeaving = mem.saidLeaving || leaving
	stt := mem.judge(now)
	changed := moved || stt != mem.state
	mem.state = stt
	if changed {
		mbs.rebuild()
	}
	return changed
}

// Tried notes that a heartbeat went to a member.
func (mbs *Members) Tried(now time.Time, id string) {
	if mem := mbs.byID[id]; mem != nil && mem.tried.IsZero() {
		mem.tried = now
	}
}

// Lost notes that a connection to a member broke or could not be made.
func (mbs *Members) Lost(now time.Time, id string) {
	if mem := mbs.byID[id]; mem != nil && !mem.lost.After(mem.heard) {
		mem.lost = now
	}
}

// Leave says that this instance is about to stop: no duty falls on it.
func (mbs *Members) Leave() {
	mbs.leaving = true
	mbs.rebuild()
}

// Resumed says that this process was paused. What it last knew is worth nothing
// until members speak again, and their silence says nothing either, since
// nobody listened.
func (mbs *Members) Resumed(now time.Time) {
	for _, mem := range mbs.byID {
		if !mem.heard.IsZero() {
			mem.tried = now.Add(-SuspectAfter)
		}
		mem.goneAt = time.Time{}
	}
	mbs.Tick(now)
}

// Tick judges every member again and reports whether any state changed.
func (mbs *Members) Tick(now time.Time) bool {
	changed := false
	for id, mem := range mbs.byID {
		stt := mem.judge(now)
		if stt == mem.state {
			continue
		}
		changed = true
		mem.state = stt
		if stt == Gone {
			mem.goneAt, mem.tried = now, time.Time{}
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
	near, gone := []string{}, []string{}
	far, farGone := map[string][]string{}, map[string][]string{}
	places := map[string]bool{}
	mbs.near = 1
	for id, mem := range mbs.byID {
		places[mem.zone] = true
		if mem.zone == mbs.zone {
			mbs.near++
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
			near = append(near, id)
			continue
		}
		far[mem.zone] = append(far[mem.zone], id)
	}
	for _, ids := range mbs.zones {
		sort.Strings(ids)
	}
	mbs.live = mbs.zones[mbs.zone]
	mbs.links = near
	if len(near) > MaxMesh {
		mbs.links = Top(mbs.self, near, neighbours)
	}
	for _, ids := range far {
		mbs.links = append(mbs.links, Top(mbs.self, ids, CrossLinks)...)
	}
	sort.Strings(mbs.links)
	mbs.probes = Top(mbs.self, gone, maxProbes)
	for _, ids := range farGone {
		mbs.probes = append(mbs.probes, Top(mbs.self, ids, CrossLinks)...)
	}
	sort.Strings(mbs.probes)
	mbs.places = mbs.places[:0:0]
	for zon := range places {
		mbs.places = append(mbs.places, zon)
	}
	sort.Strings(mbs.places)
}

// Links returns the members to exchange heartbeats with, sorted.
func (mbs *Members) Links() []string { return mbs.links }

// Probes returns gone members that the list still names and that are worth a
// heartbeat now and then, sorted: when a partition ends, each side has the
// other for gone.
func (mbs *Members) Probes() []string { return mbs.probes }

// Linked reports whether heartbeats go to a member.
func (mbs *Members) Linked(id string) bool {
	at := sort.SearchStrings(mbs.links, id)
	return at < len(mbs.links) && mbs.links[at] == id
}

// Live returns the live instances of the own zone, sorted, this one included
// unless it is about to stop.
func (mbs *Members) Live() []string { return mbs.live }

// LiveIn returns the live instances of a zone, sorted.
func (mbs *Members) LiveIn(zone string) []string { return mbs.zones[zone] }

// Zones returns the zones of all other members, sorted, those included of
// which nothing is heard.
func (mbs *Members) Zones() []string { return mbs.places }

// Near returns how many instances the own zone has, this one and those of
// which nothing is heard included.
func (mbs *Members) Near() int { return mbs.near }

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
