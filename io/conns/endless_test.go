package conns

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"lovagestream/core/call"
	"lovagestream/io/clock"
	"lovagestream/io/group"
)

const (
	// endlessBytes is after how many bytes a response without an end ends, and mostRead
	// how many of them may be read and kept.
	endlessBytes = 64 << 20
	mostRead     = 1 << 20
)

// endOfResponse is the pause of a response that has no rest.
const endOfResponse = -1

// writeEndless answers each request on a connection with begin, and rest again and again,
// each after a pause.
func writeEndless(t *testing.T, begin, rest string, pause time.Duration) (address string) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	grp := group.New(context.Background())
	t.Cleanup(func() {
		_ = lis.Close()
		grp.Stop()
		_ = grp.Wait()
	})
	again := []byte(rest)
	if pause == 0 {
		again = []byte(strings.Repeat(rest, 1+(64<<10)/len(rest)))
	}
	grp.Go(func(context.Context) error {
		for {
			con, err := lis.Accept()
			if err != nil {
				return nil
			}
			grp.Go(func(ctx context.Context) error {
				defer context.AfterFunc(ctx, func() { _ = con.Close() })()
				defer func() { _ = con.Close() }()
				if _, err := http.ReadRequest(bufio.NewReader(con)); err != nil {
					return nil
				}
				_, err := io.WriteString(con, begin)
				for sent := 0; err == nil && pause != endOfResponse && sent < endlessBytes; sent += len(again) {
					time.Sleep(pause)
					_, err = con.Write(again)
				}
				return nil
			})
		}
	})
	return lis.Addr().String()
}

// countedConn counts the bytes that are read from it.
type countedConn struct {
	net.Conn
	read *atomic.Int64
}

func (con countedConn) Read(buf []byte) (int, error) {
	num, err := con.Conn.Read(buf)
	con.read.Add(int64(num))
	return num, err
}

// newCountedPool returns a pool, and the number of bytes read from its connections.
func newCountedPool() (*Pool, *atomic.Int64) {
	poo := NewPool(clock.System{}, group.New(context.Background()), nil)
	read := &atomic.Int64{}
	poo.DialWith(func(ctx context.Context, network, address string) (net.Conn, error) {
		var dlr net.Dialer
		con, err := dlr.DialContext(ctx, network, address)
		return countedConn{con, read}, err
	})
	return poo, read
}

// A server that sends bytes without end in place of a response must not fill the memory.
func TestHeadsWithoutEndAreReadWithinBounds(t *testing.T) {
	other := "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 1000000000\r\n\r\n"
	for _, tst := range []struct{ name, begin, rest string }{
		{"no status line", "", "x"},
		{"status line", "HTTP/1.1 200 ", "x"},
		{"field value", "HTTP/1.1 200 OK\r\nA: ", "x"},
		{"fields", "HTTP/1.1 200 OK\r\n", "A: b\r\n"},
		{"fields of an interim response", "HTTP/1.1 103 Early Hints\r\n", "A: b\r\n"},
		{"interim responses", "", "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n"},
		{"response to another request", other, "x"},
	} {
		t.Run(tst.name, func(t *testing.T) {
			poo, read := newCountedPool()
			address := writeEndless(t, tst.begin, tst.rest, 0)
			ctx, cancel := context.WithTimeout(context.Background(), testWait)
			defer cancel()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			_, err := poo.Do(ctx, Request{Address: address, Method: http.MethodGet, Target: "/", Host: address}, "mine", headWithID)
			runtime.ReadMemStats(&after)
			require.Error(t, err)
			require.NoError(t, ctx.Err())
			var bnd *call.BoundError
			require.Equal(t, tst.name != "interim responses", errors.As(err, &bnd), "%v", err)
			require.LessOrEqual(t, read.Load(), int64(mostRead), "bytes read")
			require.LessOrEqual(t, after.TotalAlloc-before.TotalAlloc, uint64(mostRead), "bytes allocated")
		})
	}
}

// A head, or a body to be skipped, that comes byte by byte must not hold a request to its
// deadline.
func TestHeadsThatDripAreGivenUp(t *testing.T) {
	for name, begin := range map[string]string{
		"head":    "HTTP/1.1 200 OK\r\nA: ",
		"interim": "HTTP/1.1 103 Early Hints\r\nA: ",
		"skipped": "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 1000000000\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			poo := NewPool(clock.System{}, group.New(context.Background()), nil)
			address := writeEndless(t, begin, "x", 20*time.Millisecond)
			ctx, cancel := context.WithTimeout(context.Background(), testWait)
			defer cancel()
			_, err := poo.Do(ctx, Request{Address: address, Method: http.MethodGet, Target: "/", Host: address}, "mine", headWithID)
			require.Error(t, err)
			require.NoError(t, ctx.Err(), "given up at the deadline only")
		})
	}
}

// A server that sends a head and then nothing must be heard to the end of the deadline:
// only bytes that come are bounded.
func TestSilenceAfterAnInterimResponseIsNoDrip(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = lis.Close() }()
	grp := group.New(context.Background())
	grp.Go(func(context.Context) error {
		con, err := lis.Accept()
		if err != nil {
			return nil
		}
		defer func() { _ = con.Close() }()
		_, _ = io.WriteString(con, "HTTP/1.1 103 Early Hints\r\n\r\n")
		time.Sleep(3 * time.Second)
		_, _ = io.WriteString(con, "HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 2\r\n\r\nok")
		return nil
	})
	poo := NewPool(clock.System{}, group.New(context.Background()), nil)
	got, err := exchange(poo, Request{Address: lis.Addr().String(), Target: "/"}, "mine")
	require.NoError(t, err)
	require.Equal(t, "ok", got)
	require.NoError(t, grp.Wait())
}
