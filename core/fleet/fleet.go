// Package fleet tracks the other entry instances: which exist, which answer,
// which to keep links to, and which instance holds a duty.
//
// It does not define what is exchanged over the links and holds no other state.
// There is no leader and no consensus: each instance decides from the
// platform's list and from what it received itself, two views can differ for
// seconds, and every duty assigned here is harmless when two instances hold it.
package fleet

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// State is the state of another instance as this one sees it.
type State string

// The states of a member. Members in state Gone are kept only while they are
// listed.
const (
	Live      State = "live"
	Suspected State = "suspected"
	Leaving   State = "leaving"
	Gone      State = "gone"
)

// Score returns the rendezvous hashing weight of an instance for a key. The
// instance with the highest score holds the key, and when an instance leaves,
// only its own keys move.
func Score(key, id string) uint64 {
	var dig xxhash.Digest
	dig.Reset()
	_, _ = dig.WriteString(key)
	_, _ = dig.Write([]byte{0})
	_, _ = dig.WriteString(id)
	return dig.Sum64()
}

// Owner returns the identity with the highest score for a key, or "" if ids is
// empty.
func Owner(key string, ids []string) string {
	best, top := "", uint64(0)
	for _, id := range ids {
		sco := Score(key, id)
		if best == "" || sco > top || (sco == top && id < best) {
			best, top = id, sco
		}
	}
	return best
}

// Top returns the num identities with the highest scores for a key, highest
// first. It does not modify ids.
func Top(key string, ids []string, num int) []string {
	got := append([]string(nil), ids...)
	sort.Slice(got, func(i, j int) bool {
		left, right := Score(key, got[i]), Score(key, got[j])
		return left > right || (left == right && got[i] < got[j])
	})
	return got[:min(num, len(got))]
}
