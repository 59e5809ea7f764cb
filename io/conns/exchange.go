package conns

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"lovagestream/core/call"
	"lovagestream/core/event"
	"lovagestream/core/reach"
	"lovagestream/io/frame"
)

// ServerClosed reports whether an error means that the server closed or reset the
// connection.
func ServerClosed(err error) bool {
	return errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// Request is one request to a backend server.
type Request struct {
	// Server, Service and Zone describe the server to relays.
	Server  string
	Service string
	Zone    string
	Address string
	Method  string
	Target  string
	Host    string
	Fields  []call.Field
	Body    []byte
	// NewConn is set if the response names no request. It comes over a connection of its
	// own: on a used one, a second response to an earlier request may come first.
	NewConn bool
	// MaxConns is how many connections this instance may hold to the server,
	// including idle ones; 0 means no limit.
	MaxConns int
	// Uncounted is set if the connection has a place beside those that MaxConns bounds.
	Uncounted bool
	// RelayIfTaken is set if the request goes through another instance when all connections
	// that this one may hold to the server are in use.
	RelayIfTaken bool
	// Release is set if the request is no new work, so that a leaving server may get it.
	Release bool
	// Abort is set if the request is given up once the path to the service's
	// servers is lost and no response has begun: it may be sent again.
	Abort bool
	// Relayed is set if the request comes from another instance. It is not relayed
	// again.
	Relayed bool
	// Deadline is when the response must be complete; zero if there is none.
	Deadline time.Time
	// Check is called once a connection is open. If it returns an error, the
	// request is not sent. It may be nil.
	Check func() error
}

// HeadDecoder decodes the head of a response.
type HeadDecoder func(status int, header http.Header) call.ResponseHead

// Reply is a backend server's response, whose body is still to be read.
type Reply struct {
	ResponseHead call.ResponseHead
	Header       http.Header
	// Length is the length of the body in bytes, or -1 if unknown.
	Length int64
	// Framing is how the server marks the end of the body.
	Framing call.Framing
	// Relay is the instance that relays the response; empty if none does.
	Relay string

	// remote has the body of a relayed response, whose other fields are not used.
	remote RelayedBody
	poo    *Pool
	con    *conn
	res    *http.Response
	req    *http.Request
	// single is set if the connection is not used again.
	single     bool
	stopCloser func() bool
	// wrote is closed once the request is written or writeErr is set.
	wrote    chan struct{}
	writeErr error
	bodyRead bool
	// discarded is set once the rest of the body is read in the background.
	discarded bool
	server    reach.Server
	// heardAt is when a part of the body was last reported to the pool's paths.
	heardAt time.Time
	// events scans the body if only its content shows whether it is complete; nil
	// otherwise.
	events *event.Scanner
}

// maxResponses bounds how many responses are read for one request, including
// informational ones and those to other requests.
const maxResponses = 3

// Do sends a request and reads the head of its response. When the context ends,
// the connection is closed at once, so that the server notices. The error is
// always a *SendError.
//
// A late second response to an earlier request on the connection may arrive
// first. id distinguishes them: responses with another request ID are skipped.
//
// A server to which no connection opens is asked through another instance, if there
// is a relay.
func (poo *Pool) Do(ctx context.Context, req Request, id string, head HeadDecoder) (*Reply, error) {
	con, err := poo.get(ctx, req)
	if err != nil && poo.mayRelay(ctx, req, err) {
		return poo.relay(ctx, req, id, head, err)
	}
	if err != nil {
		return nil, &SendError{Address: req.Address, Cause: err}
	}
	if req.Check != nil {
		if err := req.Check(); err != nil {
			poo.putIdle(con, 0)
			return nil, &SendError{Address: req.Address, Cause: err}
		}
	}
	rep := &Reply{poo: poo, con: con, single: req.NewConn, server: req.server(), req: &http.Request{Method: req.Method}, wrote: make(chan struct{})}
	rep.stopCloser = context.AfterFunc(ctx, func() { _ = con.Close() })
	poo.grp.Go(func(context.Context) error {
		defer close(rep.wrote)
		rep.writeErr = req.write(con)
		return nil
	})
	wat := poo.watchResponse(req, con)
	err = poo.CountBound(rep.read(id, head))
	if wat.end(err) {
		err = &PathError{Address: req.Address}
	}
	if err != nil {
		rep.Close()
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return nil, &SendError{Sent: true, Address: req.Address, Cause: err}
	}
	return rep, nil
}

// write sends head and body in one write, so that a server that closes the
// connection at that moment has in most cases received all or nothing.
func (req *Request) write(con *conn) error {
	var buf bytes.Buffer
	buf.Grow(1024 + len(req.Body))
	buf.WriteString(req.Method + " " + req.Target + " HTTP/1.1\r\nHost: " + req.Host + "\r\n")
	for _, fie := range req.Fields {
		buf.WriteString(fie.Name + ": " + fie.Value + "\r\n")
	}
	if len(req.Body) > 0 || req.Method == http.MethodPost || req.Method == http.MethodPut || req.Method == http.MethodPatch {
		buf.WriteString("Content-Length: " + strconv.Itoa(len(req.Body)) + "\r\n")
	}
	buf.WriteString("\r\n")
	buf.Write(req.Body)
	_, err := con.Write(buf.Bytes())
	return err
}

func (rep *Reply) read(id string, head HeadDecoder) error {
	left := int64(maxHeadBytes)
	for range maxResponses {
		rep.con.soc.bind(partHead, maxHeadBytes, left)
		err := rep.con.checkHead()
		left = rep.con.soc.release()
		if bnd := rep.con.soc.exceeded; bnd != nil {
			return bnd
		}
		if err != nil {
			return err
		}
		// Closing the body would read the rest of it; the connection is closed
		// instead.
		res, err := http.ReadResponse(rep.con.rdr, rep.req) //nolint:bodyclose // see above
		if err != nil {
			return err
		}
		if res.StatusCode < http.StatusOK {
			continue
		}
		rep.res, rep.Header, rep.Length, rep.Framing = res, res.Header, res.ContentLength, framing(res)
		rep.ResponseHead = head(res.StatusCode, res.Header)
		rep.ResponseHead.Closing = rep.ResponseHead.Closing || res.Close
		switch rep.ResponseHead.RequestID {
		case id:
			rep.scanEvents()
			return nil
		case "":
			if rep.con.used {
				return errors.New("response without a request ID on a connection that was used before")
			}
			rep.scanEvents()
			return nil
		}
		if id == "" {
			rep.scanEvents()
			return nil
		}
		if err := rep.con.skip(res); err != nil {
			return err
		}
	}
	return errors.New("no final response to this request among the responses received")
}

// checkHead waits for the next head, and checks it. The head stays in the read buffer.
func (con *conn) checkHead() error {
	for {
		got, _ := con.rdr.Peek(con.rdr.Buffered())
		if size := frame.HeadSize(got); size > 0 {
			return frame.CheckHead(got[:size])
		}
		if len(got) == con.rdr.Size() {
			con.growBuffer(got)
		}
		switch _, err := con.rdr.Peek(len(got) + 1); {
		case errors.Is(err, io.EOF):
			return io.ErrUnexpectedEOF
		case err != nil:
			return err
		}
	}
}

// growBuffer makes room for a head of any size within its bound, after got, which fills the buffer.
func (con *conn) growBuffer(got []byte) {
	con.rdr = bufio.NewReaderSize(io.MultiReader(bytes.NewReader(bytes.Clone(got)), &con.soc), maxHeadBytes+readBufferSize)
}

// skip reads the body of a response to another request.
func (con *conn) skip(res *http.Response) error {
	if res.ContentLength > maxSkippedBytes {
		return &call.BoundError{Part: partSkipped, Bytes: maxSkippedBytes}
	}
	con.soc.bind(partSkipped, maxSkippedBytes, maxSkippedBytes)
	defer con.soc.release()
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		return errors.Wrap(err, "skip the response to another request")
	}
	if res.Close {
		return errors.New("the server closed the connection after the response to another request")
	}
	return nil
}

// framing returns the framing of a response.
func framing(res *http.Response) call.Framing {
	switch {
	case res.ContentLength >= 0:
		return call.LengthFraming
	case len(res.TransferEncoding) > 0:
		return call.ChunkedFraming
	}
	return call.CloseFraming
}

// scanEvents scans the events of a stream that ends with its connection, or that a
// relay passes on without saying how it ends.
func (rep *Reply) scanEvents() {
	if rep.ResponseHead.EventStream && rep.EndsWithConnection() {
		rep.events = &event.Scanner{}
	}
}

// EndsWithConnection reports whether nothing in the framing shows that the body is
// complete, or a relay doesn't say how it ends.
func (rep *Reply) EndsWithConnection() bool {
	return rep.Length < 0 && (rep.Framing == call.CloseFraming || rep.Framing == call.UnknownFraming)
}

// Read reads the body. io.EOF means that the body is complete, as far as its framing, its
// connection or its events show; a stream that ends inside an event is not.
func (rep *Reply) Read(buf []byte) (int, error) {
	num, err := rep.readBody(buf)
	if rep.events == nil {
		return num, err
	}
	rep.events.Scan(buf[:num])
	if errors.Is(err, io.EOF) && !rep.events.Between() {
		return num, io.ErrUnexpectedEOF
	}
	return num, err
}

func (rep *Reply) readBody(buf []byte) (int, error) {
	if rep.remote != nil {
		return rep.remote.Read(buf)
	}
	num, err := rep.res.Body.Read(buf)
	if now := rep.poo.clk.Now(); num > 0 && now.Sub(rep.heardAt) > hungAfter/4 {
		rep.heardAt = now
		rep.poo.paths.heard(now, rep.server)
	}
	if !errors.Is(err, io.EOF) {
		return num, err
	}
	if rep.Framing == call.CloseFraming && rep.res.Body != http.NoBody {
		if cerr := rep.confirmEnd(); cerr != nil {
			return num, cerr
		}
	}
	if terr := frame.CheckFields(partTrailer, rep.res.Trailer); terr != nil {
		return num, terr
	}
	rep.bodyRead = true
	return num, err
}

// Close returns the connection to the pool if it can be reused. Otherwise it
// closes the connection, which tells the server to stop working on the request.
func (rep *Reply) Close() {
	switch {
	case rep.discarded:
	case rep.remote != nil:
		rep.remote.Close()
	// stopCloser returns false if the context has ended and started the
	// goroutine that closes the connection, which may run later. A connection
	// that is put back then would be closed during the next request.
	case rep.stopCloser():
		rep.end()
	default:
		rep.poo.discard(rep.con)
	}
}

// end ends the response once nothing else closes its connection.
func (rep *Reply) end() {
	switch {
	case rep.remote != nil:
		rep.remote.Close()
	case rep.reusable():
		rep.poo.putIdle(rep.con, rep.ResponseHead.IdleTimeout)
	default:
		rep.poo.discard(rep.con)
	}
}

// abort ends a read of the body.
func (rep *Reply) abort() {
	if rep.remote != nil {
		rep.remote.Close()
		return
	}
	_ = rep.con.Close()
}

// reusable reports whether the connection can be used for another request. It
// can't if the server responded before it had the complete request: the server
// would take the next request for the rest of this one.
func (rep *Reply) reusable() bool {
	if rep.single || !rep.bodyRead || rep.ResponseHead.Closing || rep.res == nil {
		return false
	}
	select {
	case <-rep.wrote:
	default:
		return false
	}
	return rep.writeErr == nil && rep.con.rdr.Buffered() == 0
}
