package peer

import (
	"context"
	"sync"

	"google.golang.org/protobuf/proto"

	"lovagestream/io/peer/wire"
)

// Bounds of a link's queue, in messages and bytes. They limit the memory that a
// slow receiver can use up.
const (
	maxQueued      = 256
	maxQueuedBytes = 4 << 20
)

// queue holds the envelopes to be sent on a link. When it is full, the oldest is
// dropped: later messages supersede earlier ones, and the protocol tolerates the
// loss of any message.
type queue struct {
	mu   sync.Mutex
	envs []*wire.Envelope
	// bytes is the encoded size of envs.
	bytes int
	// filled holds a token while envs may be non-empty.
	filled  chan struct{}
	dropped func(num int)
}

func newQueue(dropped func(num int)) *queue {
	return &queue{filled: make(chan struct{}, 1), dropped: dropped}
}

// push appends an envelope and never blocks.
func (que *queue) push(env *wire.Envelope) {
	que.mu.Lock()
	que.envs = append(que.envs, env)
	que.bytes += proto.Size(env)
	num := 0
	for len(que.envs) > 1 && (len(que.envs) > maxQueued || que.bytes > maxQueuedBytes) {
		que.bytes -= proto.Size(que.envs[0])
		que.envs[0] = nil
		que.envs = que.envs[1:]
		num++
	}
	que.mu.Unlock()
	if num > 0 {
		que.dropped(num)
	}
	select {
	case que.filled <- struct{}{}:
	default:
	}
}

// pop removes the oldest envelope, waiting for one if the queue is empty.
func (que *queue) pop(ctx context.Context) (*wire.Envelope, error) {
	for {
		if env := que.take(); env != nil {
			return env, nil
		}
		select {
		case <-que.filled:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// take removes the oldest envelope; it returns nil if the queue is empty.
func (que *queue) take() *wire.Envelope {
	que.mu.Lock()
	defer que.mu.Unlock()
	if len(que.envs) == 0 {
		return nil
	}
	env := que.envs[0]
	que.envs[0] = nil
	que.envs = que.envs[1:]
	que.bytes -= proto.Size(env)
	return env
}

// length returns the number of queued envelopes.
func (que *queue) length() int {
	que.mu.Lock()
	defer que.mu.Unlock()
	return len(que.envs)
}
