package peer

import "sync/atomic"

// Counts holds a transport's traffic counters since its start.
type Counts struct {
	sentMessages     atomic.Int64
	sentBytes        atomic.Int64
	receivedMessages atomic.Int64
	receivedBytes    atomic.Int64
	dropped          atomic.Int64
	refused          atomic.Int64
}

func (cnt *Counts) sent(size int) {
	cnt.sentMessages.Add(1)
	cnt.sentBytes.Add(int64(size))
}

func (cnt *Counts) received(size int) {
	cnt.receivedMessages.Add(1)
	cnt.receivedBytes.Add(int64(size))
}

// SentMessages returns the number of envelopes sent.
func (cnt *Counts) SentMessages() int64 { return cnt.sentMessages.Load() }

// SentBytes returns the encoded size of the envelopes sent, without framing.
func (cnt *Counts) SentBytes() int64 { return cnt.sentBytes.Load() }

// ReceivedMessages returns the number of envelopes received.
func (cnt *Counts) ReceivedMessages() int64 { return cnt.receivedMessages.Load() }

// ReceivedBytes returns the encoded size of the envelopes received, without
// framing.
func (cnt *Counts) ReceivedBytes() int64 { return cnt.receivedBytes.Load() }

// Dropped returns the number of messages dropped before they were sent.
func (cnt *Counts) Dropped() int64 { return cnt.dropped.Load() }

// Refused returns the number of envelopes, streams and links refused because of
// a protocol violation, a failed authentication or too many links.
func (cnt *Counts) Refused() int64 { return cnt.refused.Load() }
