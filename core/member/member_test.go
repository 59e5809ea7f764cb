package member

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lovagestream/core/sums"
)

var start = time.Unix(1000, 0)

func at(wait time.Duration) time.Time { return start.Add(wait) }

// threeMembers returns a set of three members: a is the oldest, c has the most
// processor.
func threeMembers() *Set {
	set := NewSet(Member{Address: "b", Zone: "z1", StartedAt: 20, MilliCPU: 400})
	set.SetHeartbeat(Heartbeat{Ready: true, StoreAge: -1})
	set.Linked(start, Member{Address: "a", Zone: "z1", StartedAt: 10, MilliCPU: 400})
	set.Linked(start, Member{Address: "c", Zone: "z2", StartedAt: 30, MilliCPU: 800})
	set.HeartbeatReceived(start, "a", Heartbeat{Ready: true, StoreAge: 0})
	set.HeartbeatReceived(start, "c", Heartbeat{Ready: true, StoreAge: -1})
	return set
}

// The coordinator must not be a member that is leaving, silent or not ready.
func TestCoordinatorFollowsFromMembers(t *testing.T) {
	set := threeMembers()
	require.Equal(t, "c", set.Coordinator(start))
	set.HeartbeatReceived(start, "c", Heartbeat{Ready: true, Leaving: true})
	require.Equal(t, "a", set.Coordinator(start))
	set.HeartbeatReceived(start, "a", Heartbeat{})
	require.Equal(t, "b", set.Coordinator(start))
	set.HeartbeatReceived(start, "a", Heartbeat{Ready: true})
	require.Equal(t, "b", set.Coordinator(at(2*time.Second)), "all others are silent")
	set.SetHeartbeat(Heartbeat{Ready: true, Leaving: true})
	require.Equal(t, "b", set.Coordinator(at(2*time.Second)), "no other member qualifies")
}

// All members are stopping. They must agree on the one that was the last not to, and on
// another one when it is gone.
func TestAllStoppingMembersAgreeOnACoordinator(t *testing.T) {
	list := []Member{{Address: "a", Zone: "z1", StartedAt: 10}, {Address: "b", Zone: "z1", StartedAt: 20}, {Address: "c", Zone: "z2", StartedAt: 30}}
	sets := map[string]*Set{}
	for _, own := range list {
		sets[own.Address] = NewSet(own)
		for _, mem := range list {
			if mem != own {
				sets[own.Address].Linked(start, mem)
			}
		}
	}
	hear := func(address string, bea Heartbeat) {
		for own, set := range sets {
			if own == address {
				set.SetHeartbeat(bea)
			} else {
				set.HeartbeatReceived(start, address, bea)
			}
		}
	}
	agree := func(address string) {
		t.Helper()
		for own, set := range sets {
			require.Equal(t, address, set.Coordinator(start), own)
		}
	}
	for _, mem := range list {
		hear(mem.Address, Heartbeat{Ready: true})
	}
	agree("a")
	hear("a", Heartbeat{Ready: true, Leaving: true})
	agree("b")
	hear("c", Heartbeat{Ready: true, Leaving: true})
	hear("b", Heartbeat{Ready: true, Leaving: true})
	agree("b")
	delete(sets, "b")
	for _, set := range sets {
		set.Unlinked(start, "b")
	}
	agree("a")
	hear("c", Heartbeat{Ready: true})
	agree("c")
}

// Those who may become the coordinator next, if it is lost or a zone is cut off, must be
// live members of each zone.
func TestSuccessorsAreOfEachZone(t *testing.T) {
	set := threeMembers()
	require.Equal(t, []string{"a", "c"}, set.Successors(start))
	set.HeartbeatReceived(start, "c", Heartbeat{Ready: true, Leaving: true})
	require.Equal(t, []string{"a"}, set.Successors(start))
	require.Empty(t, set.Successors(at(2*time.Second)), "all others are silent")
}

// A member that restarts must not take the coordinator's duty from one that
// kept running.
func TestRestartedMemberTakesNoDutyOver(t *testing.T) {
	set := threeMembers()
	set.Unlinked(start, "c")
	require.Equal(t, "a", set.Coordinator(start))
	set.Linked(start, Member{Address: "a", Zone: "z1", StartedAt: 90, MilliCPU: 400})
	require.Equal(t, "b", set.Coordinator(start), "a has restarted and is not ready yet")
	set.HeartbeatReceived(start, "a", Heartbeat{Ready: true})
	require.Equal(t, "b", set.Coordinator(start))
}

// One member of each zone reads the store, and so does every member without
// recent store data from others.
func TestReaders(t *testing.T) {
	set := threeMembers()
	require.False(t, reads(set, start), "a is senior in the zone, and its store data is recent")
	require.False(t, reads(set, at(500*time.Millisecond)))
	set.HeartbeatReceived(at(time.Second), "a", Heartbeat{Ready: true, StoreAge: 3 * time.Second})
	set.HeartbeatReceived(at(time.Second), "c", Heartbeat{Ready: true, StoreAge: -1})
	require.True(t, reads(set, at(time.Second)), "a's store data is old")
	set.Unlinked(start, "a")
	require.True(t, reads(set, at(time.Second)), "most senior of its zone")
}

// A link that stopped delivering data must not stay open forever.
func TestSilentLinksAreClosedAndRedialled(t *testing.T) {
	set := threeMembers()
	require.Empty(t, set.Silent(at(time.Second)))
	require.Equal(t, []string{"a", "c"}, set.Silent(at(2*time.Second)))
	require.Empty(t, set.DialTargets(at(2*time.Second)))
	set.Unlinked(at(2*time.Second), "a")
	set.Unlinked(start, "c")
	require.Equal(t, []string{"a", "c"}, set.DialTargets(at(2*time.Second)), "after a while either end dials")
	require.Empty(t, set.DialTargets(at(2100*time.Millisecond)))
	require.Empty(t, set.DialTargets(at(5*time.Minute)), "dropped")
}

// Only one end of a pair dials at first; seeds are always dialled.
func TestOneEndDials(t *testing.T) {
	set := NewSet(Member{Address: "b", StartedAt: 1})
	set.Learn(start, []Member{{Address: "a", StartedAt: 2}, {Address: "c", StartedAt: 3}, {Address: "b", StartedAt: 9}})
	set.SetSeeds(start, []string{"s", "b"})
	require.Equal(t, []string{"c", "s"}, set.DialTargets(start))
	require.Equal(t, []string{"a", "c", "s"}, set.DialTargets(at(1500*time.Millisecond)))
	live, known := set.Count(start)
	require.Equal(t, 1, live)
	require.Equal(t, 3, known)
	require.Len(t, set.List(), 3)
}

// A zone must not count as unreachable while one of its members is live.
func TestUnreachableZones(t *testing.T) {
	set := threeMembers()
	require.Empty(t, set.UnreachableZones(start))
	require.Equal(t, map[string]bool{"z2": true}, set.UnreachableZones(at(2*time.Second)))
	set.Linked(at(2*time.Second), Member{Address: "d", Zone: "z2", StartedAt: 40})
	require.Empty(t, set.UnreachableZones(at(2*time.Second)))
}

// A large fleet must not form a full mesh, nor depend on a hub that is
// unreachable.
func TestLargeFleetsLinkToHubs(t *testing.T) {
	set := NewSet(Member{Address: "x", Zone: "z0", StartedAt: 999, MilliCPU: 200})
	var list []Member
	for num := range 60 {
		list = append(list, Member{Address: fmt.Sprintf("m%02d", num), Zone: fmt.Sprintf("z%d", num%3), StartedAt: int64(num + 1), MilliCPU: 200})
	}
	set.Learn(start, list)
	require.Equal(t, []string{"m00", "m01", "m02", "m03", "m04", "m05"}, set.DialTargets(start))
	require.False(t, set.SelfIsHub(start))
	set.Unlinked(at(time.Second), "m00")
	require.Equal(t, []string{"m01", "m02", "m03", "m04", "m05", "m06"}, set.DialTargets(at(time.Second)))
	require.Contains(t, set.DialTargets(at(5*time.Second)), "m00")
}

func reads(set *Set, now time.Time) bool {
	got, _ := set.StoreReader(now)
	return got
}

// Instances that all read a store because it is down must each read it less
// often.
func TestStoreReadersAreCounted(t *testing.T) {
	alone := NewSet(Member{Address: "x", Zone: "z", StartedAt: 9, MilliCPU: 100})
	got, readers := alone.StoreReader(start)
	require.True(t, got)
	require.Equal(t, 1, readers)
	set := NewSet(Member{Address: "x", Zone: "z", StartedAt: 9, MilliCPU: 100})
	for num := range 40 {
		adr := string(rune('A' + num))
		set.Linked(start, Member{Address: adr, Zone: "z", StartedAt: 1, MilliCPU: 200})
		set.HeartbeatReceived(start, adr, Heartbeat{Ready: true, StoreAge: time.Minute})
	}
	got, readers = set.StoreReader(start)
	require.True(t, got)
	require.Equal(t, 41, readers)
	// Members known only through hubs count too.
	for num := range 20 {
		set.Learn(start, []Member{{Address: "far" + string(rune('A'+num)), Zone: "y", StartedAt: 1, MilliCPU: 100}})
	}
	_, readers = set.StoreReader(start)
	require.Equal(t, 61, readers)
	// An instance that is cut off from all others counts only itself.
	_, readers = set.StoreReader(start.Add(time.Minute))
	require.Equal(t, 1, readers)
}

// A reader whose calls to the store fail must be replaced at once, by one instance of its zone.
func TestReaderThatFailsIsReplaced(t *testing.T) {
	hub := NewSet(Member{Address: "x", Zone: "z0", StartedAt: 2, MilliCPU: 200})
	hub.Linked(start, Member{Address: "a", Zone: "z0", StartedAt: 1, MilliCPU: 200})
	for num := range 80 {
		hub.Learn(start, []Member{{Address: fmt.Sprintf("m%03d", num), Zone: "z0", StartedAt: int64(num + 100), MilliCPU: 200}})
	}
	other := largeFleet(82)
	for _, set := range []*Set{hub, other} {
		set.HeartbeatReceived(start, "a", Heartbeat{Ready: true})
		require.False(t, reads(set, start))
		set.HeartbeatReceived(at(time.Second), "a", Heartbeat{Ready: true, StoreAge: time.Second, StoreFailing: true})
	}
	got, readers := hub.StoreReader(at(time.Second))
	require.True(t, got)
	require.Equal(t, 1, readers)
	require.False(t, reads(other, at(time.Second)), "it is linked to hubs only, like dozens of others")
	hub.HeartbeatReceived(at(2*time.Second), "a", Heartbeat{Ready: true})
	require.False(t, reads(hub, at(2*time.Second)), "a reads again")
}

// largeFleet returns a set of a fleet of the given size in which only the hub a
// is linked.
func largeFleet(size int) *Set {
	set := NewSet(Member{Address: "x", Zone: "z0", StartedAt: 9999, MilliCPU: 200})
	var list []Member
	for num := range size - 2 {
		list = append(list, Member{Address: fmt.Sprintf("m%03d", num), Zone: "z0", StartedAt: int64(num + 100), MilliCPU: 200})
	}
	set.Learn(start, list)
	set.Linked(start, Member{Address: "a", Zone: "z0", StartedAt: 1, MilliCPU: 800})
	return set
}

// Heartbeat traffic must not exceed the capacity of a hub's link.
func TestHeartbeatIntervalGrowsWithFleet(t *testing.T) {
	require.Equal(t, 200*time.Millisecond, largeFleet(3).HeartbeatInterval())
	require.Equal(t, 200*time.Millisecond, largeFleet(200).HeartbeatInterval())
	require.Equal(t, 300*time.Millisecond, largeFleet(300).HeartbeatInterval())
	require.Equal(t, 400*time.Millisecond, largeFleet(1000).HeartbeatInterval())
	for size, most := range map[int]time.Duration{3: 850 * time.Millisecond, 200: 850 * time.Millisecond, 300: 1250 * time.Millisecond} {
		set := largeFleet(size)
		set.HeartbeatReceived(start, "a", Heartbeat{Ready: true})
		require.True(t, set.Live(at(most), "a"))
		require.False(t, set.Live(at(most+time.Millisecond), "a"))
		require.Empty(t, set.Silent(at(most+deadLinkDelay)))
		require.Equal(t, []string{"a"}, set.Silent(at(most+deadLinkDelay+time.Millisecond)))
	}
}

// A repeated heartbeat must not make its sender's store data look newer.
func TestRepeatedHeartbeatKeepsStoreAge(t *testing.T) {
	set := largeFleet(20)
	set.HeartbeatReceived(start, "a", Heartbeat{Ready: true, StoreAge: time.Second, ConfigVersion: 7})
	for num := range 10 {
		require.EqualValues(t, 7, set.HeartbeatRepeated(at(time.Duration(num)*200*time.Millisecond), "a").ConfigVersion)
	}
	require.Equal(t, "a", set.Coordinator(at(2*time.Second)))
	require.False(t, reads(set, at(1400*time.Millisecond)))
	require.True(t, reads(set, at(1600*time.Millisecond)), "the store data was a second old when it was sent")
	require.EqualValues(t, -1, set.HeartbeatRepeated(start, "nobody").StoreAge)
}

// Hubs must not keep a dead member known between them.
func TestHubsConfirmMembers(t *testing.T) {
	set := largeFleet(60)
	own := set.Sums()
	same := ^sums.Mask(0)
	dead := "m007"
	one := &sums.Sums{}
	one.Add(dead, 107)
	same &^= one.Diff(nil)
	for num := range 30 {
		now := at(time.Duration(num) * 10 * time.Second)
		set.HeartbeatReceived(now, "a", Heartbeat{Ready: true})
		var named []Member
		for _, mem := range set.List() {
			if !same.Has(mem.Address) && mem.Address != dead {
				named = append(named, mem)
			}
		}
		set.Confirm(now, "a", same, named)
		set.DialTargets(now)
	}
	_, known := set.Count(at(5 * time.Minute))
	require.Equal(t, 59, known)
	require.NotEqual(t, own.Digest(), set.Sums().Digest())
	list, same := set.Diverged(own.List())
	require.Equal(t, 63, same.Count())
	require.Len(t, list, 60-1-countIn(set, same))

	hub := largeFleet(60)
	hub.Confirm(at(time.Minute), "m001", sums.All, nil)
	hub.self.MilliCPU = 1000
	hub.Confirm(at(time.Minute), "a", sums.All, nil)
	hub.DialTargets(at(forgetAfter + time.Second))
	_, known = hub.Count(at(forgetAfter + time.Second))
	require.Equal(t, 2, known, "a hub ignores confirmations, and m001 is not a hub")
}

// countIn counts the members in some buckets, including the instance itself.
func countIn(set *Set, parts sums.Mask) int {
	num := 0
	for _, mem := range set.List() {
		if parts.Has(mem.Address) {
			num++
		}
	}
	return num
}

// Updates must be sent first to hubs and the own zone, not to all members.
func TestGossipTargetsAreHubsAndOwnZone(t *testing.T) {
	set := NewSet(Member{Address: "self", Zone: "z0", StartedAt: 1, MilliCPU: 800})
	for num := range 60 {
		set.Linked(start, Member{Address: fmt.Sprintf("m%02d", num), Zone: fmt.Sprintf("z%d", num%3), StartedAt: int64(num + 2), MilliCPU: 200})
	}
	hubs, others := set.GossipTargets(start)
	require.Equal(t, []string{"m00", "m01", "m02", "m04", "m05"}, hubs)
	require.Len(t, others, 19)
	for _, adr := range others {
		require.Equal(t, "z0", set.others[adr].Zone)
	}
}

// Members of a small fleet that start together must not stay unknown to each
// other.
func TestNewcomersAreAnnouncedInSmallFleet(t *testing.T) {
	set := threeMembers()
	require.True(t, set.AnnouncesNewcomer(start, "z1"))
	require.True(t, set.AnnouncesNewcomer(start, "z9"), "all link to all")
	for num := range fullMeshLimit {
		set.Learn(start, []Member{{Address: fmt.Sprintf("m%02d", num), Zone: "z3", StartedAt: 100 + int64(num), MilliCPU: 100}})
	}
	require.True(t, set.AnnouncesNewcomer(start, "z1"))
	require.False(t, set.AnnouncesNewcomer(start, "z9"), "a hub announces only its own zone")
}

// An instance that has just started must dial more often than the normal
// interval.
func TestStartedInstanceDialsOften(t *testing.T) {
	set := NewSet(Member{Address: "b", Zone: "z", StartedAt: 20})
	set.SetSeeds(start, []string{"a"})
	require.Equal(t, []string{"a"}, set.StartupDialTargets(start))
	require.Empty(t, set.StartupDialTargets(at(startupRedialInterval/2)))
	require.Equal(t, []string{"a"}, set.StartupDialTargets(at(startupRedialInterval)))
	require.Empty(t, set.DialTargets(at(2*startupRedialInterval)))
}

// A heartbeat reports a change only if it may change its sender's duties.
func TestHeartbeatReportsDutyChange(t *testing.T) {
	set := threeMembers()
	require.False(t, set.HeartbeatReceived(start, "a", Heartbeat{Ready: true, ConfigVersion: 7}))
	require.True(t, set.HeartbeatReceived(start, "a", Heartbeat{Ready: true, Leaving: true}))
	require.True(t, set.HeartbeatReceived(start, "a", Heartbeat{}))
	require.False(t, set.HeartbeatReceived(start, "nobody", Heartbeat{Ready: true}))
}

// A member must not be rejected as a hub for a failure before its start.
func TestStartClearsEarlierFailure(t *testing.T) {
	set := NewSet(Member{Address: "m00", Zone: "z1", StartedAt: 50, MilliCPU: 100})
	var list []Member
	for num := range 2 * fullMeshLimit {
		list = append(list, Member{Address: fmt.Sprintf("m%02d", num+1), Zone: "z1", StartedAt: 100 + int64(num), MilliCPU: 100})
	}
	set.Learn(start, list)
	set.SetSeeds(start, []string{"big"})
	set.Unlinked(at(10*time.Millisecond), "big")
	set.Learn(at(20*time.Millisecond), []Member{{Address: "big", Zone: "z1", StartedAt: 300, MilliCPU: 900}})
	require.True(t, set.IsHub(at(30*time.Millisecond), "big"))
	set.Unlinked(at(40*time.Millisecond), "big")
	require.False(t, set.IsHub(at(50*time.Millisecond), "big"), "it failed since")
}

// An overloaded member must not coordinate or relay while another can.
func TestOverloadedMemberCoordinatesLast(t *testing.T) {
	set := threeMembers()
	set.HeartbeatReceived(start, "c", Heartbeat{Ready: true, Overloaded: true})
	require.Equal(t, "a", set.Coordinator(start))
	require.Len(t, set.Relays(start), 1)
	set.HeartbeatReceived(start, "a", Heartbeat{Ready: true, Overloaded: true})
	require.Equal(t, "b", set.Coordinator(start))
	set.SetHeartbeat(Heartbeat{Ready: true, Overloaded: true})
	require.Equal(t, "c", set.Coordinator(start), "all are overloaded")
}

// An instance that read nothing must not take the others for silent, nor excuse a member
// that is gone for long.
func TestOwnLatenessExcusesSilence(t *testing.T) {
	set := threeMembers()
	require.False(t, set.Live(at(1200*time.Millisecond), "a"))
	set.ExcuseSilence(700 * time.Millisecond)
	require.True(t, set.Live(at(1200*time.Millisecond), "a"))
	set.ExcuseSilence(time.Minute)
	require.False(t, set.Live(at(2*time.Second), "a"))
	set.HeartbeatReceived(at(2*time.Second), "a", Heartbeat{Ready: true})
	require.False(t, set.Live(at(3200*time.Millisecond), "a"), "the excuse is of an earlier silence")
}

// Parts of what all instances have together must not exceed the whole: in a fleet, in zones
// that are cut off, and after a start of all of them that see nobody yet or their zone alone.
func TestPartsAddUpToTheWhole(t *testing.T) {
	list := []Member{{Address: "a1", Zone: "a"}, {Address: "a2", Zone: "a"}, {Address: "a3", Zone: "a"}, {Address: "b1", Zone: "b"}, {Address: "b2", Zone: "b"}, {Address: "c1", Zone: "c"}, {Address: "d1", Zone: "d"}, {Address: "d2", Zone: "d"}}
	sum := func(zones int, sees func(own, oth Member) bool) (total float64) {
		for num, own := range list {
			own.StartedAt = int64(num + 1)
			set := NewSet(own)
			for num, oth := range list {
				oth.StartedAt = int64(num + 1)
				if oth != own && sees(own, oth) {
					set.Learn(start, []Member{oth})
				}
			}
			total += set.Part(zones)
		}
		return total
	}
	everybody := func(_, _ Member) bool { return true }
	require.InDelta(t, 1, sum(4, everybody), 1e-9)
	require.InDelta(t, 1, sum(0, everybody), 1e-9, "the settings name no zones")
	require.InDelta(t, 1, sum(4, func(own, oth Member) bool { return own.Zone == oth.Zone }), 1e-9)
	nobody := sum(4, func(_, _ Member) bool { return false })
	require.LessOrEqual(t, nobody*0.25, 1.0, "a quarter is used after a start")
}
