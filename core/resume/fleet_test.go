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

// modelStream is a stream of a fleet and what is true of it.
type modelStream struct {
	rec     Record
	keepers []string
	named   bool
}

// Whatever starts again, is cut off or released: a stream gets its version, or none if no
// instance that is asked has kept the record.
func TestFleetKnowsVersionsOrNothing(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		var all []member.Member
		regs := map[string]*Registry{}
		for num := range 3 + rng.IntN(10) {
			mem := member.Member{Address: fmt.Sprint("m", num), Zone: fmt.Sprint("z", num%3)}
			all, regs[mem.Address] = append(all, mem), NewRegistry()
		}
		now, release, cut := start, 0, ""
		reached := func(from member.Member) []member.Member {
			return slices.DeleteFunc(slices.Clone(all), func(mem member.Member) bool {
				return mem == from || cut != "" && (mem.Zone == cut) != (from.Zone == cut)
			})
		}
		known, unknown := 0, 0
		var begun []modelStream
		for num := range 300 {
			now = now.Add(time.Duration(rng.IntN(100)) * time.Millisecond)
			mem := all[rng.IntN(len(all))]
			switch draw := rng.IntN(20); {
			case draw == 0:
				regs[mem.Address] = NewRegistry()
			case draw == 1 && rng.IntN(4) == 0:
				for adr := range regs {
					regs[adr] = NewRegistry()
				}
			case draw == 2:
				release++
			case draw == 3:
				cut = []string{"", "z0", "z1"}[rng.IntN(3)]
			case draw < 10 || len(begun) == 0:
				stm := modelStream{rec: Record{ID: fmt.Sprint("s", num), Request: uint64(num + 1), Service: "model", Version: fmt.Sprint("v", release+rng.IntN(2)), Until: now.Add(8 * time.Second)}, named: rng.IntN(3) > 0}
				regs[mem.Address].Begin(now, stm.rec)
				stm.keepers = append(Keepers(stm.rec.ID, mem.Zone, reached(mem)), mem.Address)
				for _, rec := range regs[mem.Address].TakeUnshared(now) {
					for _, adr := range stm.keepers {
						regs[adr].Put(now, rec)
					}
				}
				begun = append(begun, stm)
			default:
				stm := begun[rng.IntN(len(begun))]
				if !stm.rec.Until.After(now) {
					continue
				}
				got, kept := ask(now, regs, mem, reached(mem), stm)
				require.Equal(t, kept, got.Known(), "seed %d, step %d", seed, num)
				if kept {
					known++
					require.Equal(t, stm.rec.Version, got.Version, "seed %d, step %d", seed, num)
				} else {
					unknown++
				}
			}
		}
		require.Positive(t, known, "seed %d", seed)
		if seed == 0 {
			t.Logf("known %d times, unknown %d times", known, unknown)
		}
	}
}

// ask asks for a stream as an instance does. It returns the record that is found, and whether one
// of those asked has kept it.
func ask(now time.Time, regs map[string]*Registry, from member.Member, reached []member.Member, stm modelStream) (got Record, kept bool) {
	asked := Asked(stm.rec.ID, from.Zone, reached)
	if !stm.named {
		asked = nil
		for _, mem := range reached {
			asked = append(asked, mem.Address)
		}
	}
	var found []Record
	for _, adr := range append(asked, from.Address) {
		rec, have := regs[adr].Get(now, stm.rec.ID)
		kept = kept || have
		switch {
		case stm.named && have:
			return rec, true
		case !stm.named:
			found = append(found, regs[adr].ByRequest(now, stm.rec.Request)...)
		}
	}
	got, _ = Common(found)
	return got, kept
}
