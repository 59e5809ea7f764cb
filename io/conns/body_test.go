package conns

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lovagestream/core/call"
)

const chunkedHead = "HTTP/1.1 200 OK\r\nId: mine\r\nTransfer-Encoding: chunked\r\n\r\n"

func get(t *testing.T, poo *Pool, address string) *Reply {
	rep, err := poo.Do(context.Background(), Request{Address: address, Method: http.MethodGet, Target: "/", Host: address}, "mine", headWithID)
	require.NoError(t, err)
	return rep
}

// A body that goes on beyond its bound must be an error, never a short body taken for whole.
func TestBodyBeyondItsBoundIsNoBody(t *testing.T) {
	poo, read := newCountedPool()
	rep := get(t, poo, writeEndless(t, "HTTP/1.1 200 OK\r\nId: mine\r\n\r\n", "x", 0))
	_, err := rep.Buffer(mostRead / 2)
	var bnd *call.BoundError
	require.ErrorAs(t, err, &bnd)
	rep.Close()
	require.LessOrEqual(t, read.Load(), int64(mostRead))
	require.Equal(t, map[string]int64{partBody: 1}, poo.OverBound())
	require.True(t, poo.Memory().Reserve(maxBuffered), "all memory is free again")
}

// Bodies of any size up to the bound must be buffered as they came.
func TestBufferedBodiesAreWhole(t *testing.T) {
	for _, size := range []int{0, 1, blockSize - 1, blockSize, blockSize + 1, 3*blockSize + 7} {
		poo, _ := newCountedPool()
		want := strings.Repeat("abcdefg", 1+size/7)[:size]
		rep := get(t, poo, writeOnce(t, "HTTP/1.1 200 OK\r\nId: mine\r\nConnection: close\r\n\r\n"+want))
		bod, err := rep.Buffer(int64(max(size, 1)))
		require.NoError(t, err)
		rep.Close()
		require.Equal(t, int64(size), bod.Size())
		require.Equal(t, want, string(bod.Bytes()))
		var out strings.Builder
		num, err := bod.WriteTo(&out)
		require.NoError(t, err)
		require.Equal(t, int64(size), num)
		require.Equal(t, want, out.String())
		bod.Release()
		require.True(t, poo.Memory().Reserve(maxBuffered), "all memory is free again")
	}
}

// Many long bodies at once must not take more memory than there is for all together.
func TestBodiesShareOneMemory(t *testing.T) {
	poo, _ := newCountedPool()
	address := writeEndless(t, chunkedHead+"ffffffff\r\n", "x", 0)
	require.True(t, poo.Memory().Reserve(maxBuffered-2*blockSize))
	rep := get(t, poo, address)
	_, err := rep.Buffer(maxBuffered)
	var mem *MemoryError
	require.ErrorAs(t, err, &mem)
	rep.Close()
	require.Empty(t, poo.OverBound())
	short := get(t, poo, writeOnce(t, "HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 2\r\n\r\nok"))
	require.True(t, poo.Memory().Reserve(2*blockSize))
	bod, err := short.Buffer(blockSize)
	require.NoError(t, err, "a short body needs none of it")
	require.Equal(t, "ok", string(bod.Bytes()))
	short.Close()
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

// writeOnce answers each connection's first request with text, and closes the connection.
func writeOnce(t *testing.T, text string) (address string) {
	return writeEndless(t, text, "", endOfResponse)
}
