package mesh

import (
	"time"

	"google.golang.org/protobuf/proto"
)

// frameOverhead is the number of header bytes before each message on a link: 9 of
// the HTTP/2 frame and 5 of gRPC.
const frameOverhead = 14

// Size returns the number of bytes that a message takes on a link.
func Size(now time.Time, msg Message) int { return proto.Size(msg.encode(now)) + frameOverhead }

// largeListLen is the length from which a list counts as large, some 5 KB.
const largeListLen = 40

// Large reports whether a message may be much larger than a request.
func Large(msg Message) bool {
	switch got := msg.(type) {
	case Config:
		return len(got.Document) > 0
	case Servers:
		return len(got.List) >= largeListLen
	case Members:
		return len(got.List) >= largeListLen
	}
	return false
}
