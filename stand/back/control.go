package back

import (
	"bytes"
	"context"
	"sync"
	"sync/atomic"
)

// Control holds all test switches of a server; it is the body of POST /control.
// The body replaces all of them; one that is missing is off.
type Control struct {
	// Speed multiplies the server's speed; 0 means 1.
	Speed float64 `json:"speed,omitempty"`
	// NeverAnswer accepts calls and never replies.
	NeverAnswer bool `json:"never-answer,omitempty"`
	// CrashOn crashes the server when a call's body contains this text.
	CrashOn string `json:"crash-on,omitempty"`
	// Leaving reports with each reply that the server is leaving.
	Leaving bool `json:"leaving,omitempty"`
	// Freeze stops all progress, as in a paused process.
	Freeze bool `json:"freeze,omitempty"`
	// SilentAfter stalls each reply for good after so many bytes.
	SilentAfter int `json:"silent-after,omitempty"`
	// Mislabel sends another call's ID with each reply.
	Mislabel bool `json:"mislabel,omitempty"`
	// Swap sends each plain call the complete answer to the previous call,
	// call ID included, as a proxy that mixes up connections would.
	Swap bool `json:"swap,omitempty"`
	// Duplicate writes each token, or each plain reply, twice.
	Duplicate bool `json:"duplicate,omitempty"`
	// Garbage replaces the reply with invalid JSON.
	Garbage bool `json:"garbage,omitempty"`
	// Endless generates tokens beyond max_tokens, or repeats a plain reply,
	// until the client disconnects.
	Endless bool `json:"endless,omitempty"`
}

// switchState is one version of the switches.
type switchState struct {
	ctl Control
	// replaced is closed when the next version is set.
	replaced chan struct{}
}

// switches holds the current switches. It is safe for concurrent use.
type switches struct {
	mu    sync.Mutex
	state atomic.Pointer[switchState]
	// lastCall is the previous call's ID, for Mislabel.
	lastCall atomic.Pointer[string]
	// lastAnswer is the previous plain answer, for Swap.
	lastAnswer atomic.Pointer[plainAnswer]
}

func newSwitches() *switches {
	swi := &switches{}
	swi.state.Store(&switchState{replaced: make(chan struct{})})
	return swi
}

func (swi *switches) get() Control { return swi.state.Load().ctl }

func (swi *switches) set(ctl Control) {
	swi.mu.Lock()
	defer swi.mu.Unlock()
	old := swi.state.Load()
	swi.state.Store(&switchState{ctl: ctl, replaced: make(chan struct{})})
	close(old.replaced)
}

// waitUnfrozen waits while the server is frozen, or until the context ends.
func (swi *switches) waitUnfrozen(ctx context.Context) error {
	for {
		sta := swi.state.Load()
		if !sta.ctl.Freeze {
			return ctx.Err()
		}
		select {
		case <-sta.replaced:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (swi *switches) speed() float64 {
	if got := swi.get().Speed; got > 0 {
		return got
	}
	return 1
}

func (swi *switches) crashes(body []byte) bool {
	word := swi.get().CrashOn
	return word != "" && bytes.Contains(body, []byte(word))
}

// replyID returns the call ID to send with the reply to a call: its own, or
// with Mislabel that of the previous call.
func (swi *switches) replyID(call string) string {
	if !swi.get().Mislabel {
		return call
	}
	if old := swi.lastCall.Swap(&call); old != nil && *old != call {
		return *old
	}
	return "another/call/1/0"
}

// swapAnswer returns the answer to send: the call's own, or with Swap that of
// the previous call.
func (swi *switches) swapAnswer(own plainAnswer) plainAnswer {
	old := swi.lastAnswer.Swap(&own)
	if old == nil || !swi.get().Swap {
		return own
	}
	return *old
}
