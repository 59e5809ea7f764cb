package mesh

import (
	"time"

	"google.golang.org/protobuf/proto"
)

// frameBytes is what goes before each message on a link: 9 bytes of an HTTP/2
// frame and 5 of gRPC.
const frameBytes = 14

// Size returns the bytes that a message takes on a link.
func Size(now time.Time, msg Message) int { return proto.Size(msg.encode(now)) + frameBytes }

// largeWords is from how many entries on a list counts as large, some 5 KB.
const largeWords = 40

// Large reports whether a message may take much more than a request does.
func Large(msg Message) bool {
	switch got := msg.(type) {
	case Config:
		return len(got.Document) > 0
	case Servers:
		return len(got.List) >= largeWords
	case Members:
		return len(got.List) >= largeWords
	}
	return false
}
