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
