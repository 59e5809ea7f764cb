package conns

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const chunkedHead = "HTTP/1.1 200 OK\r\nId: mine\r\nTransfer-Encoding: chunked\r\n\r\n"

func get(t *testing.T, poo *Pool, address string) *Reply {
	rep, err := poo.Do(context.Background(), Request{Address: address, Method: http.MethodGet, Target: "/", Host: address}, "mine", headWithID)
	require.NoError(t, err)
	return rep
}

// The rest of a response that isn't used must hold up nobody, and its connection must be
// used again if it ends soon.
func TestDiscardedResponseIsNotWaitedFor(t *testing.T) {
	poo, _ := newCountedPool()
	for name, rest := range map[string]string{"drips": "1\r\nx\r\n", "has no end": strings.Repeat("x", 1000)} {
		begin, pause := chunkedHead, 20*time.Millisecond
		if name != "drips" {
			begin, pause = chunkedHead+"ffffffff\r\n", 0
		}
		address := writeEndless(t, begin, rest, pause)
		rep := get(t, poo, address)
		begun := time.Now()
		rep.Discard()
		require.Less(t, time.Since(begun), discardTimeout/2, name)
		require.Eventually(t, func() bool {
			poo.mu.Lock()
			defer poo.mu.Unlock()
			return poo.open[address] == 0
		}, testWait, testPoll, "the connection is closed")
	}
	address := writeEndless(t, chunkedHead+"2\r\nok\r\n", "0\r\n\r\n", 20*time.Millisecond)
	get(t, poo, address).Discard()
	require.Eventually(t, func() bool { return hasIdle(poo, address) }, testWait, testPoll, "the connection is kept")
}
