package runner

import (
	"strings"
	"sync"

	"lovagestream/io/stage"
)

// relay forwards the tokens of a generate stage to the caller, if the answer is
// streamed, and records them so that another call can resume after the last
// one.
//
// At most one call forwards its tokens. While a call is hedged, neither does:
// the texts of the two calls may differ, so each call buffers its tokens until
// one of them completes, and only the winner's tokens are forwarded.
type relay struct {
	snk stage.Sink
	// count is called for each forwarded token.
	count func()

	mu sync.Mutex
	// writer is the call that forwards its tokens, or nil while two calls race.
	writer *stageCall
	// next is the offset after the last forwarded token.
	next int
	text strings.Builder
}

// sent returns the number of forwarded tokens and their text.
func (rel *relay) sent() (int, string) {
	rel.mu.Lock()
	defer rel.mu.Unlock()
	return rel.next, rel.text.String()
}

// setWriter makes a call the writer.
func (rel *relay) setWriter(stc *stageCall) {
	rel.mu.Lock()
	defer rel.mu.Unlock()
	rel.writer = stc
}

// holdTokens stops forwarding because a second call is about to start.
func (rel *relay) holdTokens() {
	rel.mu.Lock()
	defer rel.mu.Unlock()
	rel.writer = nil
}

// heldToken is a buffered token.
type heldToken struct {
	offset int
	text   string
}

// receive forwards or buffers the next token of a call.
func (rel *relay) receive(stc *stageCall, offset int, text string) error {
	rel.mu.Lock()
	defer rel.mu.Unlock()
	if rel.writer != stc {
		stc.held = append(stc.held, heldToken{offset: offset, text: text})
		return nil
	}
	return rel.forward(offset, text)
}

// forward forwards one token.
func (rel *relay) forward(offset int, text string) error {
	if rel.snk != nil {
		if err := rel.snk(offset, text); err != nil {
			return err
		}
	}
	rel.next = offset + 1
	rel.text.WriteString(text)
	rel.count()
	return nil
}

// release forwards the buffered tokens of a call and makes it the writer.
func (rel *relay) release(stc *stageCall) error {
	rel.mu.Lock()
	defer rel.mu.Unlock()
	for _, tok := range stc.held {
		if err := rel.forward(tok.offset, tok.text); err != nil {
			return err
		}
	}
	stc.held = nil
	rel.writer = stc
	return nil
}

// releaseSurvivor makes the remaining call the writer after the other one
// failed.
func (rel *relay) releaseSurvivor(stc *stageCall) error { return rel.release(stc) }
