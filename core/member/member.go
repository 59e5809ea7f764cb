// Package member holds which entry instances there are, as one of them sees
// it, and the duties that follow from that alone: who forms the calls to the
// stage servers, and who reads the platform's store. Nobody is elected and
// nothing is written; instances that see different members may hold a duty
// twice for a moment, which the duties bear.
package member

import (
	"sort"
	"time"

	"lovagestream/core/sums"
)

// Member is one entry instance. Its fields are exported because a decoder
// fills them.
type Member struct {
	// Address is where peers connect, and the instance's name.
	Address string
	Zone    string
	// Born is the process's start in Unix milliseconds, by its own clock.
	Born int64
	// Share is in thousandths of a core.
	Share int
}

// Heartbeat is what an instance says of itself a few times a second.
type Heartbeat struct {
	// Ready instances know a configuration and servers.
	Ready bool
	// Leaving instances take no new duty.
	Leaving bool
	// Fresh is how long ago it heard from the store itself; negative if never.
	Fresh time.Duration
	// Version is that of its configuration, Digest that of what it knows of
	// servers.
	Version int64
	Digest  uint64
}

const (
	// shortPeriod is that of beats. A message and its answer cost some tens of
	// microseconds of a small instance's processor.
	shortPeriod = 200 * time.Millisecond
	// longPeriod is that of beats in the largest fleets.
	longPeriod = 400 * time.Millisecond
	// shortFleet is up to how many members beats have the short period; beyond,
	// it grows with them, so that a hub sends 1,000 beats a second at most, which
	// are 21 KB.
	shortFleet = 200
	// beatsMissed is how many beats of a live member may be missing, and
	// beatSlack what the last of them may be late: 850 ms in a fleet of up to 200,
	// less than requests can wait that it has taken over.
	beatsMissed = 4
	beatSlack   = 50 * time.Millisecond
	// deadAfter is how much later than that a silent link is cut and dialled again.
	deadAfter = 650 * time.Millisecond
	// forgotten is how long an address is tried after it was last heard of;
	// partitions of a minute are ordinary.
	forgotten = 2 * time.Minute
	// redial is the least time between tries of one address.
	redial = 400 * time.Millisecond
	// seekPeriod is that of an instance that has just started and sees no other:
	// they may come up at any moment.
	seekPeriod = 50 * time.Millisecond
	// staleAfter is how old the news of all others may be before an instance
	// reads the store itself, whatever its duty.
	staleAfter = 2500 * time.Millisecond
	// turnsAfter is how long the member with the higher address waits for the
	// other to dial: a beat and a link's opening. The other may not know of it.
	turnsAfter = 300 * time.Millisecond
	// maxMembers bounds the set; 403 instances are planned for.
	maxMembers = 2000
	// fullMesh is up to how many members everybody links to everybody. Beats of
	// 84 members that all link cost more than their traffic.
	fullMesh = 16
	// hubsPerZone members of each zone are linked to by all others beyond that:
	// one may be lost without its zone seeming dark.
	hubsPerZone = 2
	// failedFor is how long a member that could not be reached is passed over
	// as a hub.
	failedFor = 3 * time.Second
)

// info is what is known of one other member.
type info struct {
	Member
	beat   Heartbeat
	linked bool
	heard  time.Time
	// reportedAt is when it last sent a whole heartbeat; those since repeat it.
	reportedAt time.Time
	// known is when the address was last named or linked.
	known  time.Time
	dialed time.Time
	seed   bool
	// failed is when it last could not be reached, or was lost.
	failed time.Time
}

// Set is the members as one instance sees them.
type Set struct {
	self   Member
	beat   Heartbeat
	others map[string]*info
}

// NewSet returns the set of an instance that knows itself only.
func NewSet(self Member) *Set { return &Set{self: self, others: map[string]*info{}} }

// Self returns the instance itself.
func (set *Set) Self() Member { return set.self }

// SetHeartbeat sets what the instance says of itself.
func (set *Set) SetHeartbeat(bea Heartbeat) { set.beat = bea }

// Seeds names addresses to try for ever.
func (set *Set) Seeds(now time.Time, addresses []string) {
	for _, inf := range set.others {
		inf.seed = false
	}
	for _, adr := range addresses {
		if adr == set.self.Address {
			continue
		}
		inf := set.others[adr]
		if inf == nil {
			inf = &info{Member: Member{Address: adr}, known: now}
			set.others[adr] = inf
		}
		inf.seed = true
	}
}

// Learn takes the members in that another instance named.
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
			inf = &info{known: now}
			set.others[mem.Address] = inf
		}
		// What a member says of itself on an open link is newer than what others
		// name, also where its clock was set back before it started: its start
		// looks older than the one before, and whoever took the later one would
		// hold another for the eldest than the rest does.
		if mem.Born > inf.Born && !inf.linked {
			inf.Member = mem
			inf.known = now
			// Whatever failed was before this start: where all start together, machines
			// are dialled that are still unreachable, and passed over as hubs for it they left
			// some instances with a forming one of their own for seconds.
			inf.failed = time.Time{}
		}
	}
}

// Linked notes an open link to a member, which introduced itself.
func (set *Set) Linked(now time.Time, mem Member) {
	inf := set.others[mem.Address]
	if inf == nil {
		inf = &info{}
		set.others[mem.Address] = inf
	}
	if mem.Born != inf.Born {
		inf.beat = Heartbeat{Fresh: -1}
	}
	inf.Member = mem
	inf.failed = time.Time{}
	inf.linked = true
	inf.heard = now
	inf.known = now
}

// Unlinked notes that the last link to a member has ended.
func (set *Set) Unlinked(now time.Time, address string) {
	if inf := set.others[address]; inf != nil {
		inf.linked = false
		inf.failed = now
	}
}

// Heard notes a member's beat, and reports whether it may take or leave duties
// by it.
func (set *Set) Heard(now time.Time, address string, bea Heartbeat) bool {
	inf := set.others[address]
	if inf == nil {
		return false
	}
	moved := inf.beat.Ready != bea.Ready || inf.beat.Leaving != bea.Leaving
	inf.beat = bea
	inf.reportedAt = now
	inf.heard = now
	inf.known = now
	return moved
}

// Again notes that a member's last beat still holds, and returns that.
func (set *Set) Again(now time.Time, address string) Heartbeat {
	inf := set.others[address]
	if inf == nil {
		return Heartbeat{Fresh: -1}
	}
	inf.heard = now
	inf.known = now
	return inf.beat
}

// Period returns how often to beat.
func (set *Set) Period() time.Duration {
	return min(longPeriod, shortPeriod*time.Duration(max(shortFleet, len(set.others)+1))/shortFleet)
}

// silence is how long a live member may be silent.
func (set *Set) silence() time.Duration { return beatsMissed*set.Period() + beatSlack }

func (set *Set) live(now time.Time, inf *info) bool {
	return inf.linked && now.Sub(inf.heard) <= set.silence()
}

// Live reports whether a member is linked and was heard a moment ago.
func (set *Set) Live(now time.Time, address string) bool {
	inf := set.others[address]
	return inf != nil && set.live(now, inf)
}

// links returns linked members, silent ones included.
func (set *Set) links() []*info {
	var out []*info
	for _, inf := range set.others {
		if inf.linked {
			out = append(out, inf)
		}
	}
	return out
}

// Peers returns the addresses of linked members.
func (set *Set) Peers() []string {
	var out []string
	for _, inf := range set.links() {
		out = append(out, inf.Address)
	}
	sort.Strings(out)
	return out
}

// Silent returns linked members whose links should be cut: the connection
// stands, but something between its ends has lost track of it, or the other
// end stands still.
func (set *Set) Silent(now time.Time) []string {
	var out []string
	for _, inf := range set.links() {
		if now.Sub(inf.heard) > set.silence()+deadAfter {
			out = append(out, inf.Address)
		}
	}
	sort.Strings(out)
	return out
}

// Count returns live members and all that are known, this one included.
func (set *Set) Count(now time.Time) (live, known int) {
	live, known = 1, 1
	for _, inf := range set.others {
		if inf.Born == 0 {
			continue
		}
		known++
		if set.live(now, inf) {
			live++
		}
	}
	return live, known
}

// List returns the members that are worth naming to others.
func (set *Set) List() []Member {
	out := []Member{set.self}
	for _, inf := range set.others {
		if inf.Born != 0 {
			out = append(out, inf.Member)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Address < out[j].Address })
	return out
}

// Sums are those of all members that are worth naming, each with its start.
func (set *Set) Sums() *sums.Sums {
	out := &sums.Sums{}
	out.Add(set.self.Address, set.self.Born)
	for _, inf := range set.others {
		if inf.Born != 0 {
			out.Add(inf.Address, inf.Born)
		}
	}
	return out
}

// Diverged returns the members of the parts in which a peer's sums differ, and
// the parts in which they don't.
func (set *Set) Diverged(told []uint64) (list []Member, same sums.Mask) {
	mas := set.Sums().Differ(told)
	for _, mem := range set.List() {
		if mas.Has(mem.Address) {
			list = append(list, mem)
		}
	}
	return list, ^mas
}

// Confirm notes that a hub knows the same members in some parts, and those that
// it named: they are not forgotten. A hub itself is linked to all and believes
// no other on it, so that no two keep a dead member known between them.
func (set *Set) Confirm(now time.Time, hub string, same sums.Mask, named []Member) {
	hubs := set.hubs(now)
	if hubs[set.self.Address] || !hubs[hub] {
		return
	}
	for adr, inf := range set.others {
		if same.Has(adr) {
			inf.known = now
		}
	}
	for _, mem := range named {
		if inf := set.others[mem.Address]; inf != nil && inf.Born == mem.Born {
			inf.known = now
		}
	}
}

// precedes orders members for a duty: the larger first, since the small ones have
// processor time for their own traffic only; then those that run longest, so
// that a member which comes or comes back takes nothing over.
func precedes(one, two Member) bool {
	switch {
	case one.Share != two.Share:
		return one.Share > two.Share
	case one.Born != two.Born:
		return one.Born < two.Born
	}
	return one.Address < two.Address
}

// Coordinator returns the member that forms the calls to stage servers. It is this
// one if nobody else can.
func (set *Set) Coordinator(now time.Time) string {
	best, found := set.self, set.beat.Ready && !set.beat.Leaving
	for _, inf := range set.others {
		if !set.live(now, inf) || inf.beat.Leaving || !inf.beat.Ready {
			continue
		}
		if !found || precedes(inf.Member, best) {
			best, found = inf.Member, true
		}
	}
	return best.Address
}

// Reader reports whether this instance reads the store, and how many others do
// so for the same reason: the eldest of each zone reads, whether it leaves or
// not, and everybody who hears no fresh news.
func (set *Set) Reader(now time.Time) (reads bool, crowd int) {
	// Who sees but the hubs counts all that it heard of.
	known, alone := 1, true
	first := true
	news := false
	for _, inf := range set.others {
		if inf.Born > 0 {
			known++
		}
		if !set.live(now, inf) {
			continue
		}
		alone = false
		if inf.Zone == set.self.Zone && inf.beat.Ready && precedes(inf.Member, set.self) {
			first = false
		}
		if inf.beat.Fresh >= 0 && inf.beat.Fresh+now.Sub(inf.reportedAt) < staleAfter {
			news = true
		}
	}
	switch {
	case first || alone:
		return true, 1
	case !news:
		return true, known
	}
	return false, 0
}
