// Package sums lets two instances find where their sets differ without
// exchanging all of them (anti-entropy): each hashes its items into buckets,
// adds up the hashes of each bucket and sends the sums.
package sums

import (
	"encoding/binary"
	"math/bits"

	"github.com/cespare/xxhash/v2"
)

// Buckets is the number of buckets of a set. The sums of all take 512 bytes;
// one bucket of 3,000 servers holds about 47 records of 90 bytes.
const Buckets = 64

// Mask is a set of buckets, one bit each.
type Mask uint64

// All selects all buckets.
const All = ^Mask(0)

// Has reports whether the mask has the bucket of a key.
func (mas Mask) Has(key string) bool { return mas&(1<<Bucket(key)) != 0 }

// Count returns the number of buckets in the mask.
func (mas Mask) Count() int { return bits.OnesCount64(uint64(mas)) }

// Bucket returns the bucket of a key.
func Bucket(key string) int { return int(xxhash.Sum64String(key) % Buckets) }

// Sums holds the sums of a set of items. An item is a key and a number that
// distinguishes the versions of that key. The zero value is that of the empty
// set.
type Sums struct {
	buckets [Buckets]uint64
}

func hash(key string, number int64) uint64 {
	var raw [8]byte
	binary.LittleEndian.PutUint64(raw[:], uint64(number))
	dig := xxhash.New()
	_, _ = dig.WriteString(key)
	_, _ = dig.Write(raw[:])
	return dig.Sum64()
}

// Add adds an item.
func (sum *Sums) Add(key string, number int64) { sum.buckets[Bucket(key)] += hash(key, number) }

// Remove removes an item that was added.
func (sum *Sums) Remove(key string, number int64) { sum.buckets[Bucket(key)] -= hash(key, number) }

// Digest returns a value that is equal for equal sets, whatever the order in
// which items were added, and 0 for the empty set.
func (sum *Sums) Digest() uint64 {
	var out uint64
	for _, one := range sum.buckets {
		out += one
	}
	return out
}

// List returns the sums to send; it is empty for the empty set.
func (sum *Sums) List() []uint64 {
	if sum.buckets == [Buckets]uint64{} {
		return nil
	}
	return append([]uint64(nil), sum.buckets[:]...)
}

// Diff returns the buckets that differ from a peer's sums. Peer sums of another
// length count as those of the empty set.
func (sum *Sums) Diff(peer []uint64) Mask {
	var mas Mask
	for idx, one := range sum.buckets {
		var oth uint64
		if len(peer) == Buckets {
			oth = peer[idx]
		}
		if one != oth {
			mas |= 1 << idx
		}
	}
	return mas
}
