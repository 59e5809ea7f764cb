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

// Seen is what backend servers got of one case.
type Seen struct {
	// Runs counts requests that began to run.
	Runs int
	// Body is the last one's body.
	Body string
}

// Place is where cases are sent.
type Place struct {
	Side    Side
	Address string
	// Path is one that runs, Head the fields that it needs, each ended by CRLF.
	Path string
	Head string
	// Nobody is Head with a credential that nobody has.
	Nobody string
	// Soon is the field of a caller that waits for 300 ms, ended by CRLF.
	Soon string
	// Seen tells what backend servers got since it was last asked.
	Seen func() Seen
}

// patience is how long an answer or the end of a connection may take. A caller
// that breaks the rules waits no longer than one that keeps them.
const patience = 10 * time.Second

// probe is a request that no path knows: its answer shows that the connection
// still takes requests.
const probe = "GET /no-such-path HTTP/1.1\r\nHost: h\r\n"

// Play sends a case and returns what differs from what the file wants.
func (cas *Case) Play(plc Place) error {
	wan := cas.wants[plc.Side]
	if wan == nil {
		return errors.Errorf("says nothing of %s", plc.Side)
	}
	con, err := net.Dial("tcp", plc.Address)
	if err != nil {
		return errors.Wrap(err, "connect")
	}
	defer func() { _ = con.Close() }()
	plc.Seen()
	tlk := &talk{con: con.(*net.TCPConn), rdr: bufio.NewReader(con), plc: plc}
	if err := tlk.send(cas.steps); err != nil {
		return err
	}
	if err := tlk.judge(wan); err != nil {
		return err
	}
	return wan.ran(plc.Seen())
}

// ran compares with what backend servers saw.
func (wan *want) ran(got Seen) error {
	switch {
	case !wan.runs && got.Runs > 0:
		return errors.Errorf("%d runs of what was denied", got.Runs)
	case wan.runs && got.Runs != 1:
		return errors.Errorf("%d runs, want one", got.Runs)
	case wan.hasBody && got.Body != wan.body:
		return errors.Errorf("the server got the body %q, want %q", got.Body, wan.body)
	}
	return nil
}

// Bytes returns all that a case sends.
func (cas *Case) Bytes(plc Place) []byte {
	var out strings.Builder
	for _, stp := range cas.steps {
		_, _ = plc.fill().WriteString(&out, stp.bytes)
	}
	return []byte(out.String())
}

// talk is one connection of the caller.
type talk struct {
	con *net.TCPConn
	rdr *bufio.Reader
	plc Place
}

// send carries the steps out. Bytes of steps that follow each other go out in
// one piece, as callers send them.
func (tlk *talk) send(steps []step) error {
	_ = tlk.con.SetDeadline(time.Now().Add(patience))
	var out strings.Builder
	for _, stp := range steps {
		_, _ = tlk.plc.fill().WriteString(&out, stp.bytes)
		if stp.bytes != "" {
			continue
		}
		if err := tlk.flush(&out); err != nil {
			return err
		}
		if err := tlk.pause(stp); err != nil {
			return err
		}
	}
	return tlk.flush(&out)
}

func (plc Place) fill() *strings.Replacer {
	return strings.NewReplacer("{path}", plc.Path, "{head}\r\n", plc.Head, "{soon}\r\n", plc.Soon, "{nobody}\r\n", plc.Nobody)
}

// flush sends what was gathered. If the other side has closed meanwhile, judge
// finds out what came before.
func (tlk *talk) flush(out *strings.Builder) error {
	_, err := io.WriteString(tlk.con, out.String())
	out.Reset()
	var nerr net.Error
	if errors.As(err, &nerr) && nerr.Timeout() {
		return errors.Wrap(err, "send")
	}
	return nil
}

// pause does what a step does beside sending.
func (tlk *talk) pause(stp step) error {
	time.Sleep(stp.wait)
	if stp.half {
		return errors.Wrap(tlk.con.CloseWrite(), "half-close")
	}
	if stp.interim > 0 {
		if got := tlk.answer(); got != stp.interim {
			return errors.Errorf("answer %d instead of the interim %d", got, stp.interim)
		}
	}
	return nil
}

// answer reads one answer and returns its status, or noAnswer.
func (tlk *talk) answer() int {
	_ = tlk.con.SetDeadline(time.Now().Add(patience))
	res, err := http.ReadResponse(tlk.rdr, nil)
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

func (tlk *talk) judge(wan *want) error {
	for _, status := range wan.statuses {
		if got := tlk.answer(); got != status {
			return errors.Errorf("answer %d, want %d (0 is none)", got, status)
		}
	}
	if wan.kept {
		if _, err := io.WriteString(tlk.con, probe+tlk.plc.Head+"\r\n"); err != nil {
			return errors.Wrap(err, "the connection is closed, want kept")
		}
		if got := tlk.answer(); got != http.StatusNotFound {
			return errors.Errorf("after the answer, the connection gave %d to a further request, want kept", got)
		}
		return nil
	}
	_ = tlk.con.SetDeadline(time.Now().Add(patience))
	left, err := io.ReadAll(tlk.rdr)
	var nerr net.Error
	switch {
	case errors.As(err, &nerr) && nerr.Timeout():
		return errors.New("the connection stays open, want closed")
	case len(left) > 0:
		return errors.Errorf("further bytes: %.200q", left)
	}
	return nil
}
