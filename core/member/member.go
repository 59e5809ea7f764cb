// Package member holds the cluster membership of entry instances as one of them
// sees it, and the duties that follow from it alone: which instance is the
// coordinator, that is, makes the calls to the backend servers, and which
// instances read the platform's store. There is no election and nothing is
// written. Instances with different views may hold a duty twice for a moment,
// which the duties tolerate.
package member

import (
	"sort"
	"time"

	"lovagestream/core/sums"
)

// Member is one entry instance.
type Member struct {
	// Address is where peers connect; it is also the instance's identity.
	Address string
	Zone    string
	// StartedAt is the start of the process in Unix milliseconds, by its own
	// clock.
	StartedAt int64
	// MilliCPU is the processor share in thousandths of a core.
	MilliCPU int
}

// Heartbeat is the state that an instance reports about itself a few times a
// second.
type Heartbeat struct {
	// Ready instances have a configuration and know backend servers.
	Ready bool
	// Leaving instances take on no duty.
	Leaving bool
	// StoreAge is the time since the instance itself last heard from the store;
	// negative if never.
	StoreAge time.Duration
	// StoreFailing is set if the instance reads the store and its calls fail.
	StoreFailing bool
	// ConfigVersion is the version of the instance's configuration,
	// ServerDigest the digest of its records of backend servers.
	ConfigVersion int64
	ServerDigest  uint64
	// ServersLost is set if the instance can't connect to the backend servers.
	ServersLost bool
	// Overloaded instances are short of processor time. They coordinate only if all
	// are overloaded.
	Overloaded bool
}

const (
	// minHeartbeatInterval is the heartbeat interval in small fleets. A
	// heartbeat and its answer cost some tens of microseconds of a small
	// instance's processor.
	minHeartbeatInterval = 200 * time.Millisecond
	// maxHeartbeatInterval is the heartbeat interval in the largest fleets.
	maxHeartbeatInterval = 400 * time.Millisecond
	// minIntervalFleet is the largest fleet that uses the shortest interval.
	// Beyond it the interval grows with the fleet, so that a hub sends at most
	// 1,000 heartbeats a second, which are 21 KB.
	minIntervalFleet = 200
	// maxMissedHeartbeats is the number of heartbeats that may be missing from
	// a live member, heartbeatSlack how late the last may be. Together they are
	// 850 ms in a fleet of up to 200, less than the requests that are taken
	// over from a lost member can wait.
	maxMissedHeartbeats = 4
	heartbeatSlack      = 50 * time.Millisecond
	// deadLinkDelay is the additional silence after which a link is closed and
	// dialled again.
	deadLinkDelay = 650 * time.Millisecond
	// forgetAfter is the time since it was last known at which an address is
	// dropped; partitions of a minute are ordinary.
	forgetAfter = 2 * time.Minute
	// redialInterval is the least interval between attempts to connect to one
	// address.
	redialInterval = 400 * time.Millisecond
	// startupRedialInterval is that interval for an instance that has just
	// started and sees no other: others may start at any moment.
	startupRedialInterval = 50 * time.Millisecond
	// maxStoreAge is the age of all others' store data at which an instance
	// reads the store itself, whatever its duty.
	maxStoreAge = 2500 * time.Millisecond
	// dialTurnDelay is how long the member with the higher address waits for
	// the other to dial: one heartbeat and the opening of a link. Then it dials
	// itself, since the other may not know its address.
	dialTurnDelay = 300 * time.Millisecond
	// maxMembers bounds the set; deployments of up to 403 instances are
	// planned.
	maxMembers = 2000
	// fullMeshLimit is the largest fleet in which all members link to each
	// other. In a full mesh of 84 members, heartbeats cost more than the
	// traffic itself.
	fullMeshLimit = 16
	// hubsPerZone is the number of hubs in each zone of a larger fleet. With
	// two, one may be lost without its zone seeming unreachable.
	hubsPerZone = 2
	// hubFailureTimeout is the time for which a member that could not be
	// reached is not chosen as a hub.
	hubFailureTimeout = 3 * time.Second
)

// peerInfo is what is known of one other member.
type peerInfo struct {
	Member
	heartbeat Heartbeat
	linked    bool
	lastHeard time.Time
	// excused is the part of the time since lastHeard in which this instance read nothing.
	excused time.Duration
	// heartbeatAt is when its last full heartbeat arrived; repeats carry no new
	// state.
	heartbeatAt time.Time
	// lastKnown is when the address was last announced, confirmed or linked.
	lastKnown  time.Time
	lastDialed time.Time
	seed       bool
	// lastFailed is when a connection to it last failed or was lost.
	lastFailed time.Time
}

// Set is the membership as one instance sees it.
type Set struct {
	self      Member
	heartbeat Heartbeat
	others    map[string]*peerInfo
	// coordinator is the address of the coordinator that was last determined.
	coordinator string
}

// NewSet returns the set of an instance that knows only itself.
func NewSet(self Member) *Set { return &Set{self: self, others: map[string]*peerInfo{}} }

// Self returns this instance.
func (set *Set) Self() Member { return set.self }

// SetHeartbeat sets this instance's own heartbeat.
func (set *Set) SetHeartbeat(bea Heartbeat) { set.heartbeat = bea }

// SetSeeds sets the addresses that are dialled forever, replacing earlier ones.
func (set *Set) SetSeeds(now time.Time, addresses []string) {
	for _, inf := range set.others {
		inf.seed = false
	}
	for _, adr := range addresses {
		if adr == set.self.Address {
			continue
		}
		inf := set.others[adr]
		if inf == nil {
			inf = &peerInfo{Member: Member{Address: adr}, lastKnown: now}
			set.others[adr] = inf
		}
		inf.seed = true
	}
}

// Learn adds members that another instance announced.
func (set *Set) Learn(now time.Time, list []Member) {
	for _, mem := range list {
		if mem.Address == set.self.Address || mem.Address == "" {
			continue
		}
		inf := set.others[mem.Address]
		if inf == nil && len(set.others) >= maxMembers {
			continue
		}
		if inf == nil {
			inf = &peerInfo{lastKnown: now}
			set.others[mem.Address] = inf
		}
		// The start time that a linked member sent itself takes precedence over
		// announced ones. After its clock was set back it is lower than that of
		// its earlier run; an instance that kept the higher one would disagree
		// with the rest about the most senior member.
		if mem.StartedAt > inf.StartedAt && !inf.linked {
			inf.Member = mem
			inf.lastKnown = now
			// Failures before this start don't count. When all instances start
			// together, some are dialled before they are reachable; excluding
			// those as hubs left some instances with a coordinator of their own
			// for seconds.
			inf.lastFailed = time.Time{}
		}
	}
}

// Linked records an open link to a member, which introduced itself.
func (set *Set) Linked(now time.Time, mem Member) {
	inf := set.others[mem.Address]
	if inf == nil {
		inf = &peerInfo{}
		set.others[mem.Address] = inf
	}
	if mem.StartedAt != inf.StartedAt {
		inf.heartbeat = Heartbeat{StoreAge: -1}
	}
	inf.Member = mem
	inf.lastFailed = time.Time{}
	inf.linked = true
	inf.lastHeard, inf.excused = now, 0
	inf.lastKnown = now
}

// Unlinked records that the last link to a member was closed.
func (set *Set) Unlinked(now time.Time, address string) {
	if inf := set.others[address]; inf != nil {
		inf.linked = false
		inf.lastFailed = now
	}
}

// HeartbeatReceived records a member's heartbeat, and reports whether it may
// change the member's duties.
func (set *Set) HeartbeatReceived(now time.Time, address string, bea Heartbeat) bool {
	inf := set.others[address]
	if inf == nil {
		return false
	}
	changed := inf.heartbeat.Ready != bea.Ready || inf.heartbeat.Leaving != bea.Leaving || inf.heartbeat.Overloaded != bea.Overloaded
	inf.heartbeat = bea
	inf.heartbeatAt = now
	inf.lastHeard, inf.excused = now, 0
	inf.lastKnown = now
	return changed
}

// HeartbeatRepeated records that a member repeated its last heartbeat, and
// returns it.
func (set *Set) HeartbeatRepeated(now time.Time, address string) Heartbeat {
	inf := set.others[address]
	if inf == nil {
		return Heartbeat{StoreAge: -1}
	}
	inf.lastHeard, inf.excused = now, 0
	inf.lastKnown = now
	return inf.heartbeat
}

// ExcuseSilence notes that this instance read nothing for a time, since it was late
// itself. Members may be silent for as much longer, up to twice as long as usual.
func (set *Set) ExcuseSilence(late time.Duration) {
	for _, inf := range set.others {
		inf.excused = min(inf.excused+late, set.maxSilence())
	}
}

// HeartbeatInterval returns the heartbeat interval.
func (set *Set) HeartbeatInterval() time.Duration {
	return min(maxHeartbeatInterval, minHeartbeatInterval*time.Duration(max(minIntervalFleet, len(set.others)+1))/minIntervalFleet)
}

// maxSilence returns how long a live member may be silent.
func (set *Set) maxSilence() time.Duration {
	return maxMissedHeartbeats*set.HeartbeatInterval() + heartbeatSlack
}

func (set *Set) isLive(now time.Time, inf *peerInfo) bool {
	return inf.linked && now.Sub(inf.lastHeard)-inf.excused <= set.maxSilence()
}

// Live reports whether a member is linked and was heard recently.
func (set *Set) Live(now time.Time, address string) bool {
	inf := set.others[address]
	return inf != nil && set.isLive(now, inf)
}

// linkedPeers returns the linked members, including silent ones.
func (set *Set) linkedPeers() []*peerInfo {
	var out []*peerInfo
	for _, inf := range set.others {
		if inf.linked {
			out = append(out, inf)
		}
	}
	return out
}

// Peers returns the addresses of the linked members.
func (set *Set) Peers() []string {
	var out []string
	for _, inf := range set.linkedPeers() {
		out = append(out, inf.Address)
	}
	sort.Strings(out)
	return out
}

// Silent returns the linked members whose links should be closed: the
// connection is open, but something on the path has lost its state, or the
// process at the other end is stopped.
func (set *Set) Silent(now time.Time) []string {
	var out []string
	for _, inf := range set.linkedPeers() {
		if now.Sub(inf.lastHeard) > set.maxSilence()+deadLinkDelay {
			out = append(out, inf.Address)
		}
	}
	sort.Strings(out)
	return out
}

// Count returns the numbers of live and of known members, including this
// instance.
func (set *Set) Count(now time.Time) (live, known int) {
	live, known = 1, 1
	for _, inf := range set.others {
		if inf.StartedAt == 0 {
			continue
		}
		known++
		if set.isLive(now, inf) {
			live++
		}
	}
	return live, known
}

// Part returns this instance's part, in (0,1], of what is divided evenly between zones
// and then between the known members of each. zones is the number of zones that the
// settings name: an instance that is cut off since its start knows no other zone.
func (set *Set) Part(zones int) float64 {
	own, seen := 1, map[string]bool{set.self.Zone: true}
	for _, inf := range set.others {
		if inf.StartedAt == 0 {
			continue
		}
		seen[inf.Zone] = true
		if inf.Zone == set.self.Zone {
			own++
		}
	}
	return 1 / float64(own*max(zones, len(seen)))
}

// List returns the members that are announced to others.
func (set *Set) List() []Member {
	out := []Member{set.self}
	for _, inf := range set.others {
		if inf.StartedAt != 0 {
			out = append(out, inf.Member)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Address < out[j].Address })
	return out
}

// Sums returns the sums over all members in List, each with its start time.
func (set *Set) Sums() *sums.Sums {
	out := &sums.Sums{}
	out.Add(set.self.Address, set.self.StartedAt)
	for _, inf := range set.others {
		if inf.StartedAt != 0 {
			out.Add(inf.Address, inf.StartedAt)
		}
	}
	return out
}

// Diverged returns the members in the buckets in which a peer's sums differ,
// and a mask of the buckets that are the same.
func (set *Set) Diverged(peerSums []uint64) (list []Member, same sums.Mask) {
	mas := set.Sums().Diff(peerSums)
	for _, mem := range set.List() {
		if mas.Has(mem.Address) {
			list = append(list, mem)
		}
	}
	return list, ^mas
}

// Confirm records that a hub knows the same members in some buckets, plus the
// members that it named, so that they are not dropped. Hubs ignore it: a hub is
// linked to all members itself, and two hubs that believed each other would
// keep a dead member known forever.
func (set *Set) Confirm(now time.Time, hub string, same sums.Mask, named []Member) {
	hubs := set.hubs(now)
	if hubs[set.self.Address] || !hubs[hub] {
		return
	}
	for adr, inf := range set.others {
		if same.Has(adr) {
			inf.lastKnown = now
		}
	}
	for _, mem := range named {
		if inf := set.others[mem.Address]; inf != nil && inf.StartedAt == mem.StartedAt {
			inf.lastKnown = now
		}
	}
}

// precedes orders members by seniority: larger instances first, because small
// ones need their processor for their own traffic; then those with the earlier
// start, so that a member that joins or returns takes no duty over.
func precedes(one, two Member) bool {
	switch {
	case one.MilliCPU != two.MilliCPU:
		return one.MilliCPU > two.MilliCPU
	case one.StartedAt != two.StartedAt:
		return one.StartedAt < two.StartedAt
	}
	return one.Address < two.Address
}

// Coordinator returns the address of the member that makes the calls to the
// backend servers. It is this instance if no other qualifies. While all are leaving it is
// the last one that wasn't, and once that one is gone the most senior: if each
// coordinated for itself, each would use the whole of what all have together.
func (set *Set) Coordinator(now time.Time) string {
	best, fit := set.self, set.fitness(set.self, set.heartbeat)
	for _, inf := range set.others {
		if !set.isLive(now, inf) {
			continue
		}
		own := set.fitness(inf.Member, inf.heartbeat)
		if own > fit || own == fit && own > unfit && precedes(inf.Member, best) {
			best, fit = inf.Member, own
		}
	}
	set.coordinator = best.Address
	return best.Address
}

// fitness orders members by how fit they are to coordinate.
type fitness int

const (
	unfit fitness = iota
	leaving
	leavingLast
	overloaded
	fit
)

func (set *Set) fitness(mem Member, bea Heartbeat) fitness {
	switch {
	case !bea.Ready:
		return unfit
	case bea.Leaving && mem.Address == set.coordinator:
		return leavingLast
	case bea.Leaving:
		return leaving
	case bea.Overloaded:
		return overloaded
	}
	return fit
}

// Successors returns the addresses of the members that may be the next coordinator of
// all instances, or of one zone alone: the most senior ready member of each zone, other
// than this instance.
func (set *Set) Successors(now time.Time) []string {
	first := map[string]Member{}
	for _, inf := range set.others {
		if !set.isLive(now, inf) || inf.heartbeat.Leaving || !inf.heartbeat.Ready {
			continue
		}
		if best, have := first[inf.Zone]; !have || precedes(inf.Member, best) {
			first[inf.Zone] = inf.Member
		}
	}
	var out []string
	for _, mem := range first {
		out = append(out, mem.Address)
	}
	sort.Strings(out)
	return out
}

// hasFreshStore reports whether a member heard from the store recently.
func (inf *peerInfo) hasFreshStore(now time.Time) bool {
	return inf.heartbeat.StoreAge >= 0 && inf.heartbeat.StoreAge+now.Sub(inf.heartbeatAt) < maxStoreAge
}

// StoreFresh reports whether this instance, which last heard from the store at storeAt,
// or a live member heard from it recently.
func (set *Set) StoreFresh(now, storeAt time.Time) bool {
	if !storeAt.IsZero() && now.Sub(storeAt) < maxStoreAge {
		return true
	}
	for _, inf := range set.others {
		if set.isLive(now, inf) && inf.hasFreshStore(now) {
			return true
		}
	}
	return false
}

// StoreReader reports whether this instance reads the store, and how many
// instances do so for the same reason. The most senior member of each zone
// reads, even if it is leaving, and so does every instance that gets no recent
// store data from others.
func (set *Set) StoreReader(now time.Time) (reads bool, readers int) {
	// An instance linked only to hubs counts all members it knows of.
	known, alone := 1, true
	senior := true
	fresh := false
	// An instance that is linked to hubs only can't tell which others take over as well.
	mayReplace := len(set.others) < fullMeshLimit || set.SelfIsHub(now)
	for _, inf := range set.others {
		if inf.StartedAt > 0 {
			known++
		}
		if !set.isLive(now, inf) {
			continue
		}
		alone = false
		replaced := inf.heartbeat.StoreFailing && mayReplace
		if inf.Zone == set.self.Zone && inf.heartbeat.Ready && precedes(inf.Member, set.self) && !replaced {
			senior = false
		}
		fresh = fresh || inf.hasFreshStore(now)
	}
	switch {
	case senior || alone:
		return true, 1
	case !fresh:
		return true, known
	}
	return false, 0
}
