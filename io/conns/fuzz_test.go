package conns

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lovagestream/io/clock"
	"lovagestream/io/frame"
	"lovagestream/io/group"
)

// scriptedConn is a connection on which a server sends the same bytes after each request, and
// goes on without end if repeat is set.
type scriptedConn struct {
	net.Conn
	data   []byte
	repeat bool
	wrote  chan struct{}
	// left are the bytes still to be read. read counts bytes, requests the requests that were
	// answered.
	left     []byte
	read     int
	requests int
}

// requestWait is how long the server waits for the next request before it closes.
const requestWait = 5 * time.Millisecond

func (con *scriptedConn) Write(buf []byte) (int, error) {
	con.wrote <- struct{}{}
	return len(buf), nil
}

func (con *scriptedConn) Read(buf []byte) (int, error) {
	if len(con.left) == 0 && con.repeat && con.requests > 0 {
		con.left = con.data
	}
	if len(con.left) == 0 {
		select {
		case <-con.wrote:
			con.requests++
			con.left = con.data
		case <-time.After(requestWait):
		}
	}
	if len(con.left) == 0 {
		return 0, io.EOF
	}
	num := copy(buf, con.left)
	con.left = con.left[num:]
	con.read += num
	return num, nil
}

func (con *scriptedConn) Close() error                { return nil }
func (con *scriptedConn) SetDeadline(time.Time) error { return nil }

// Whatever bytes a server sends on a connection, with or without end: what is read of them is
// bounded, what is taken is an answer, and none is taken for another request's.
func FuzzResponses(f *testing.F) {
	const own, other = "HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 2\r\n\r\nok", "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 2\r\n\r\nno"
	for _, text := range []string{
		own, other + own, own + own, other + other + own, "HTTP/1.1 103 Early Hints\r\n\r\n" + own, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno",
		"x", "HTTP/1.1 200 ", "HTTP/1.1 200 OK\r\nA: ", "HTTP/1.1 200 OK\r\nA: b\r\n", "HTTP/1.1 200 OK\r\nId: mine\r\n\r\nx", "HTTP/1.1 200 OK\r\nId: mine\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nId: other\r\nTransfer-Encoding: chunked\r\n\r\nffff\r\n", own[:len(own)-1],
	} {
		f.Add([]byte(text), false)
		f.Add([]byte(text), true)
	}
	for _, cas := range answerCases(f) {
		f.Add([]byte(cas.text), false)
	}
	const mostBody = 64 << 10
	f.Fuzz(func(t *testing.T, data []byte, repeat bool) {
		var con *scriptedConn
		poo := NewPool(clock.System{}, group.New(context.Background()), nil)
		poo.DialWith(func(context.Context, string, string) (net.Conn, error) {
			con = &scriptedConn{data: data, repeat: repeat, wrote: make(chan struct{}, 8)}
			return con, nil
		})
		for range 3 {
			if con != nil {
				con.read = 0
			}
			rep, err := poo.Do(context.Background(), Request{Address: "server", Method: http.MethodPost, Target: "/", Host: "server"}, "mine", headWithID)
			require.LessOrEqual(t, con.read, maxHeadBytes+maxResponses*maxSkippedBytes+readBufferSize)
			if err != nil {
				continue
			}
			require.NoError(t, frame.CheckResponse(&http.Response{ProtoMajor: 1, StatusCode: rep.ResponseHead.Status, Header: rep.Header}))
			if id := rep.ResponseHead.RequestID; id != "mine" {
				require.Empty(t, id)
				require.Equal(t, 1, con.requests, "a response without an ID on a used connection")
			}
			bod, err := rep.Buffer(mostBody)
			if err == nil {
				require.LessOrEqual(t, bod.Size(), int64(mostBody))
				bod.Release()
			}
			rep.Close()
			require.True(t, poo.Memory().Reserve(maxBuffered))
			poo.Memory().Release(maxBuffered)
			require.LessOrEqual(t, con.read, maxHeadBytes+maxResponses*maxSkippedBytes+mostBody+2*blockSize)
		}
	})
}
