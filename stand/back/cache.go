package back

import (
	"container/list"
	"encoding/binary"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// bytesPerToken is the length of text that counts as one token.
	bytesPerToken = 4
	// blockBytes is the length of the text of a cache block of 16 tokens.
	blockBytes = 16 * bytesPerToken
	// maxEvents is the number of cache events that trimming keeps; it happens
	// at twice that number.
	maxEvents = 4096
)

// tokensOf returns the number of tokens in a text.
func tokensOf(text string) int { return (len(text) + bytesPerToken - 1) / bytesPerToken }

// blocksOf returns the hash of each complete block of a text. Each hash covers
// all blocks before it too, so that equal hashes mean equal prefixes.
func blocksOf(text string) []uint64 {
	blocks := make([]uint64, 0, len(text)/blockBytes)
	dig := xxhash.New()
	for at := 0; at+blockBytes <= len(text); at += blockBytes {
		_, _ = dig.WriteString(text[at : at+blockBytes])
		blocks = append(blocks, dig.Sum64())
	}
	return blocks
}

// cacheEvent reports that a block was stored or removed.
type cacheEvent struct {
	Number int    `json:"number"`
	Kind   string `json:"kind"`
	Block  string `json:"block"`
	at     time.Time
}

// The kinds of cache events.
const (
	blockStored  = "stored"
	blockRemoved = "removed"
)

// cache is a bounded prefix cache of blocks with LRU eviction. It is guarded by
// engine.mu.
type cache struct {
	maxBlocks int
	order     *list.List
	byKey     map[uint64]*list.Element
	// events are ordered by number, with gaps where events were lost.
	events       []cacheEvent
	lastNumber   int
	lossInterval int
}

func newCache(maxBlocks, lossInterval int) *cache {
	return &cache{maxBlocks: maxBlocks, lossInterval: lossInterval, order: list.New(), byKey: map[uint64]*list.Element{}}
}

// match returns the length of the longest cached prefix, in blocks, and marks
// these blocks as recently used.
func (cch *cache) match(blocks []uint64) int {
	for i, blk := range blocks {
		ele := cch.byKey[blk]
		if ele == nil {
			return i
		}
		cch.order.MoveToFront(ele)
	}
	return len(blocks)
}

// store adds the blocks of a prefix, last one first, so that the first blocks,
// which more prompts share, are evicted last.
func (cch *cache) store(now time.Time, blocks []uint64) {
	for i := len(blocks) - 1; i >= 0; i-- {
		blk := blocks[i]
		if ele := cch.byKey[blk]; ele != nil {
			cch.order.MoveToFront(ele)
			continue
		}
		cch.byKey[blk] = cch.order.PushFront(blk)
		cch.recordEvent(now, blockStored, blk)
	}
	for cch.order.Len() > cch.maxBlocks {
		ele := cch.order.Back()
		blk := cch.order.Remove(ele).(uint64)
		delete(cch.byKey, blk)
		cch.recordEvent(now, blockRemoved, blk)
	}
}

// recordEvent records an event. About one in lossInterval is lost, as real
// engines lose some.
func (cch *cache) recordEvent(now time.Time, kind string, blk uint64) {
	cch.lastNumber++
	if cch.lossInterval > 0 && hash64(uint64(cch.lastNumber))%uint64(cch.lossInterval) == 0 {
		return
	}
	cch.events = append(cch.events, cacheEvent{Number: cch.lastNumber, Kind: kind, Block: fmt.Sprintf("%016x", blk), at: now})
	if len(cch.events) > 2*maxEvents {
		cch.events = append([]cacheEvent(nil), cch.events[len(cch.events)-maxEvents:]...)
	}
}

// eventsAfter returns the events with higher numbers that were recorded no
// later than a given time.
func (cch *cache) eventsAfter(number int, before time.Time) []cacheEvent {
	got := []cacheEvent{}
	for _, evt := range cch.events {
		if evt.Number > number && !evt.at.After(before) {
			got = append(got, evt)
		}
	}
	return got
}

// hash64 hashes a number to 64 bits.
func hash64(num uint64) uint64 {
	var buf [8]byte
	binary.LittleEndian.PutUint64(buf[:], num)
	return xxhash.Sum64(buf[:])
}
