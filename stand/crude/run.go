package crude

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Received is what backend servers received of one case.
type Received struct {
	// Runs is the number of requests that started to run.
	Runs int
	// Body is the body of the last request.
	Body string
}

// Target is where cases are sent.
type Target struct {
	Side    Side
	Address string
	// Path is a path whose requests run. Head holds the header fields that they
	// need, each ended by CRLF.
	Path string
	Head string
	// UnknownHead is Head with an unknown credential.
	UnknownHead string
	// ShortDeadline is the header field with a deadline of 300 ms, ended by CRLF.
	ShortDeadline string
	// Received returns what backend servers received since its last call.
	Received func() Received
}

// answerTimeout bounds the wait for a response or for the end of the connection,
// for malformed requests as for valid ones.
const answerTimeout = 10 * time.Second

// probe is a request to an unknown path. Its response shows that the connection
// still accepts requests.
const probe = "GET /no-such-path HTTP/1.1\r\nHost: h\r\n"

// Run sends a case and returns an error if the result is not the expected one.
func (cas *Case) Run(tgt Target) error {
	wan := cas.wants[tgt.Side]
	if wan == nil {
		return errors.Errorf("the case has no expected result for protocol %s", tgt.Side)
	}
	con, err := net.Dial("tcp", tgt.Address)
	if err != nil {
		return errors.Wrap(err, "connect")
	}
	defer func() { _ = con.Close() }()
	tgt.Received()
	exc := &exchange{con: con.(*net.TCPConn), rdr: bufio.NewReader(con), tgt: tgt}
	if err := exc.send(cas.steps); err != nil {
		return err
	}
	if err := exc.check(wan); err != nil {
		return err
	}
	return wan.checkReceived(tgt.Received())
}

// checkReceived checks what the backend servers received.
func (wan *want) checkReceived(got Received) error {
	switch {
	case !wan.runs && got.Runs > 0:
		return errors.Errorf("backend servers ran %d requests, want none", got.Runs)
	case wan.runs && got.Runs != 1:
		return errors.Errorf("backend servers ran %d requests, want 1", got.Runs)
	case wan.hasBody && got.Body != wan.body:
		return errors.Errorf("the backend server received the body %q, want %q", got.Body, wan.body)
	}
	return nil
}

// Bytes returns all bytes that a case sends.
func (cas *Case) Bytes(tgt Target) []byte {
	var out strings.Builder
	for _, stp := range cas.steps {
		_, _ = tgt.replacer().WriteString(&out, stp.bytes)
	}
	return []byte(out.String())
}

// exchange is the caller's side of one connection.
type exchange struct {
	con *net.TCPConn
	rdr *bufio.Reader
	tgt Target
}

// send carries out the steps. The bytes of consecutive steps are sent in one
// write, as callers do.
func (exc *exchange) send(steps []step) error {
	_ = exc.con.SetDeadline(time.Now().Add(answerTimeout))
	var out strings.Builder
	for _, stp := range steps {
		_, _ = exc.tgt.replacer().WriteString(&out, stp.bytes)
		if stp.bytes != "" {
			continue
		}
		if err := exc.flush(&out); err != nil {
			return err
		}
		if err := exc.perform(stp); err != nil {
			return err
		}
	}
	return exc.flush(&out)
}

func (tgt Target) replacer() *strings.Replacer {
	return strings.NewReplacer("{path}", tgt.Path, "{head}\r\n", tgt.Head, "{short-deadline}\r\n", tgt.ShortDeadline, "{unknown-head}\r\n", tgt.UnknownHead)
}

// flush sends the collected bytes. Errors other than timeouts are ignored: if the
// other side has closed the connection, check finds the responses before.
func (exc *exchange) flush(out *strings.Builder) error {
	_, err := io.WriteString(exc.con, out.String())
	out.Reset()
	var nerr net.Error
	if errors.As(err, &nerr) && nerr.Timeout() {
		return errors.Wrap(err, "send")
	}
	return nil
}

// perform carries out the actions of a step other than sending.
func (exc *exchange) perform(stp step) error {
	time.Sleep(stp.wait)
	if stp.halfClose {
		return errors.Wrap(exc.con.CloseWrite(), "half-close")
	}
	if stp.interim > 0 {
		if got := exc.answer(); got != stp.interim {
			return errors.Errorf("interim response %d, want %d", got, stp.interim)
		}
	}
	return nil
}

// answer reads one response and returns its status code, or noAnswer.
func (exc *exchange) answer() int {
	_ = exc.con.SetDeadline(time.Now().Add(answerTimeout))
	res, err := http.ReadResponse(exc.rdr, nil)
	if err != nil {
		return noAnswer
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode == http.StatusContinue {
		return res.StatusCode
	}
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		return noAnswer
	}
	return res.StatusCode
}

func (exc *exchange) check(wan *want) error {
	for _, status := range wan.statuses {
		if got := exc.answer(); got != status {
			return errors.Errorf("response %d, want %d (0 means none)", got, status)
		}
	}
	if wan.keptAlive {
		if _, err := io.WriteString(exc.con, probe+exc.tgt.Head+"\r\n"); err != nil {
			return errors.Wrap(err, "the connection is closed, want it kept open")
		}
		if got := exc.answer(); got != http.StatusNotFound {
			return errors.Errorf("a further request on the connection got response %d, want 404 (0 means none)", got)
		}
		return nil
	}
	_ = exc.con.SetDeadline(time.Now().Add(answerTimeout))
	left, err := io.ReadAll(exc.rdr)
	var nerr net.Error
	switch {
	case errors.As(err, &nerr) && nerr.Timeout():
		return errors.New("the connection is open, want it closed")
	case len(left) > 0:
		return errors.Errorf("unexpected bytes after the responses: %.200q", left)
	}
	return nil
}
