package resume

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lovagestream/core/member"
)

var start = time.Unix(1000, 0)

func at(secs float64) time.Time { return start.Add(time.Duration(secs * float64(time.Second))) }

func without(list []member.Member, gone ...string) []member.Member {
	return slices.DeleteFunc(slices.Clone(list), func(mem member.Member) bool { return slices.Contains(gone, mem.Address) })
}

// Streams are taken up at any instance after the one that began them was lost, with another
// one or with its zone, or while the zone is cut off. Someone who is asked must know them.
func TestRecordIsFoundAfterLosses(t *testing.T) {
	for _, size := range []struct{ zones, perZone int }{{1, 3}, {2, 3}, {3, 2}, {3, 3}, {4, 2}, {5, 2}, {7, 2}} {
		t.Run(fmt.Sprintf("%dx%d", size.zones, size.perZone), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(1, uint64(size.zones)))
			var all []member.Member
			for num := range size.zones * size.perZone {
				all = append(all, member.Member{Address: fmt.Sprint("m", num), Zone: fmt.Sprint("z", num%size.zones)})
			}
			for num := range 300 {
				id := fmt.Sprint("s", num)
				origin := all[rng.IntN(len(all))]
				keepers := Keepers(id, origin.Zone, without(all, origin.Address))
				require.LessOrEqual(t, len(keepers), 1+otherZones)
				found := func(asker member.Member, lost ...string) bool {
					left := without(all, append(lost, asker.Address)...)
					return slices.Contains(keepers, asker.Address) || slices.ContainsFunc(Asked(id, asker.Zone, left), func(adr string) bool { return slices.Contains(keepers, adr) })
				}
				inZone := func(zone string) (out []string) {
					for _, mem := range all {
						if mem.Zone == zone {
							out = append(out, mem.Address)
						}
					}
					return out
				}
				for _, asker := range all {
					if asker == origin {
						continue
					}
					require.True(t, found(asker, origin.Address), "%s at %s", id, asker.Address)
					other := all[rng.IntN(len(all))].Address
					if other != asker.Address && len(keepers) > 1 {
						require.True(t, found(asker, origin.Address, other), "%s at %s without %s", id, asker.Address, other)
					}
					if asker.Zone != origin.Zone {
						require.True(t, found(asker, inZone(origin.Zone)...), "%s at %s without %s", id, asker.Address, origin.Zone)
						continue
					}
					var others []string
					for _, mem := range all {
						if mem.Zone != origin.Zone {
							others = append(others, mem.Address)
						}
					}
					require.True(t, found(asker, append(others, origin.Address)...), "%s at %s in its zone alone", id, asker.Address)
				}
			}
		})
	}
}

// Other instances must get each record once, and none whose time is over.
func TestRecordsAreSharedOnce(t *testing.T) {
	reg := NewRegistry()
	rec := Record{ID: "s1", Service: "model", Version: "v1", Until: at(12)}
	reg.Begin(at(0), rec)
	reg.Begin(at(0), rec)
	require.Equal(t, []Record{rec}, reg.TakeUnshared(at(1)))
	require.Empty(t, reg.TakeUnshared(at(1)))
	reg.Put(at(1), Record{ID: "s2", Service: "model", Version: "v2", Until: at(9)})
	require.Empty(t, reg.TakeUnshared(at(1)), "another instance has it")
	reg.Begin(at(2), Record{ID: "s3", Service: "model", Version: "v1", Until: at(3)})
	require.Empty(t, reg.TakeUnshared(at(4)), "its time is over")
	reg.Sweep(at(10))
	require.Equal(t, 1, reg.Len())
}

// A stream has the version that began it, whatever is said later.
func TestFirstRecordHolds(t *testing.T) {
	reg := NewRegistry()
	reg.Put(at(0), Record{ID: "s", Service: "model", Version: "v1", Until: at(12)})
	reg.Begin(at(1), Record{ID: "s", Service: "model", Version: "v2", Until: at(12)})
	reg.Put(at(1), Record{ID: "unknown", Service: "model", Until: at(12)})
	got, have := reg.Get(at(2), "s")
	require.True(t, have)
	require.Equal(t, "v1", got.Version)
	require.Equal(t, 1, reg.Len())
	_, have = reg.Get(at(12), "s")
	require.False(t, have, "its time is over")
}

// Callers that state endless deadlines, or any number of them, must not fill the memory.
func TestRegistryIsBounded(t *testing.T) {
	reg := NewRegistry()
	for num := range maxRecords + 5 {
		reg.Begin(at(0), Record{ID: fmt.Sprint(num), Service: "model", Version: "v1", Until: at(1e6)})
	}
	require.Equal(t, maxRecords, reg.Len())
	require.Equal(t, 5, reg.Dropped())
	reg.Sweep(at(0).Add(MaxLife))
	require.Zero(t, reg.Len())
	require.Empty(t, reg.unshared)
}

// A caller that names no stream is known by its request. If the same request began streams at
// two versions, nobody knows which one is its own.
func TestStreamsByRequest(t *testing.T) {
	reg := NewRegistry()
	version := func(secs float64) string {
		rec, _ := Common(reg.ByRequest(at(secs), 7))
		return rec.Version
	}
	require.Empty(t, version(0))
	reg.Begin(at(0), Record{ID: "a", Request: 7, Service: "model", Version: "v1", Until: at(12)})
	reg.Put(at(1), Record{ID: "b", Request: 7, Service: "model", Version: "v1", Until: at(9)})
	reg.Put(at(1), Record{ID: "c", Request: 8, Service: "model", Version: "v2", Until: at(9)})
	require.Equal(t, "v1", version(2))
	reg.Put(at(3), Record{ID: "d", Request: 7, Service: "model", Version: "v2", Until: at(9)})
	require.Empty(t, version(4))
	require.Equal(t, "v1", version(10), "the other callers' time is over")
	reg.Sweep(at(10))
	require.Equal(t, "v1", version(10))
	reg.Sweep(at(12))
	require.Empty(t, reg.byRequest)
}

// Each server must be observed by two instances of its zone, by others where the zone has too
// few, and by all where there are too few at all.
func TestServersAreObserved(t *testing.T) {
	var all []member.Member
	for num := range 9 {
		all = append(all, member.Member{Address: fmt.Sprint("m", num), Zone: fmt.Sprint("z", num%3)})
	}
	all = append(all, member.Member{Address: "lone", Zone: "z3"})
	count := func(start, zone string, list []member.Member) (total, own int) {
		for num, mem := range list {
			others := slices.Delete(slices.Clone(list), num, num+1)
			if Observes(start, zone, mem, others) {
				total++
				if mem.Zone == zone {
					own++
				}
			}
		}
		return total, own
	}
	for num := range 50 {
		start := fmt.Sprint("s", num)
		total, own := count(start, "z1", all)
		require.Equal(t, []int{2, 2}, []int{total, own})
		total, own = count(start, "z3", all)
		require.Equal(t, []int{2, 1}, []int{total, own})
		total, own = count(start, "no instances", all)
		require.Equal(t, []int{2, 0}, []int{total, own})
		total, _ = count(start, "z1", all[:1])
		require.Equal(t, 1, total)
	}
}

func BenchmarkObserves(b *testing.B) {
	var hubs []member.Member
	for num := range 13 {
		hubs = append(hubs, member.Member{Address: fmt.Sprint("m", num), Zone: fmt.Sprint("z", num%7)})
	}
	self := member.Member{Address: "m13", Zone: "z6"}
	for num := 0; b.Loop(); num++ {
		Observes("server", fmt.Sprint("z", num%7), self, hubs)
	}
}
