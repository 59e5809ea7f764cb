package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Answer is what a client saw of one attempt.
type Answer struct {
	// Status is 0 if the connection ended without the head of an answer.
	Status     int
	Body       string
	Complete   bool
	RetryAfter time.Duration
	Sent       time.Time
	Ended      time.Time
	Err        error
}

// String describes the answer for the record.
func (ans Answer) String() string {
	text := fmt.Sprintf("status %d", ans.Status)
	switch {
	case ans.Status == 0:
		text = "no answer"
	case !ans.Complete:
		text += ", broken off"
	}
	if ans.Err != nil {
		text += fmt.Sprintf(" (%v)", ans.Err)
	}
	return fmt.Sprintf("%s after %.3f s", text, ans.Ended.Sub(ans.Sent).Seconds())
}

// LastEvent returns the number of the last complete event of a stream.
func (ans Answer) LastEvent() int {
	last := 0
	for _, evt := range strings.SplitAfter(ans.Body, "\n\n") {
		if !strings.HasSuffix(evt, "\n\n") {
			break
		}
		if num, err := strconv.Atoi(strings.TrimPrefix(strings.SplitN(evt, "\n", 2)[0], "id: ")); err == nil {
			last = num
		}
	}
	return last
}

// Request is one attempt of a client.
type Request struct {
	ID       string
	Host     string
	Path     string
	Method   string
	Deadline time.Duration
	// Fields are further header fields.
	Fields map[string]string
	Body   string
}

// text returns the request as it is sent.
func (req Request) text() string {
	var out strings.Builder
	fmt.Fprintf(&out, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", req.Method, req.Path, req.Host, hdrRequestID, req.ID, hdrDeadline, req.Deadline.Milliseconds())
	for name, val := range req.Fields {
		fmt.Fprintf(&out, "%s: %s\r\n", name, val)
	}
	if req.Method == http.MethodPost {
		fmt.Fprintf(&out, "Content-Length: %d\r\n", len(req.Body))
	}
	out.WriteString("\r\n" + req.Body)
	return out.String()
}

// Send sends a request to an instance on a connection of its own, and reads the answer. The
// client leaves when the context ends.
func (wld *World) Send(ctx context.Context, ins *Instance, req Request) Answer {
	wld.Note("client sends %s to %s", req.ID, ins.name)
	ans := exchange(ctx, ins.Front(), req.text(), req.Deadline+time.Second)
	wld.Note("client of %s at %s: %v", req.ID, ins.name, ans)
	return ans
}

// exchange sends bytes on a new connection and reads an answer within a time.
func exchange(ctx context.Context, address, text string, wait time.Duration) Answer {
	ans := Answer{Sent: clk.Now()}
	defer func() { ans.Ended = clk.Now() }()
	dlr := net.Dialer{Timeout: time.Second}
	con, err := dlr.DialContext(ctx, "tcp", address)
	if err != nil {
		ans.Err, ans.Ended = err, clk.Now()
		return ans
	}
	defer func() { _ = con.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = con.Close() })
	defer stop()
	_ = con.SetDeadline(clk.Now().Add(wait))
	ans.Sent = clk.Now()
	if _, err = io.WriteString(con, text); err == nil {
		err = ans.read(con)
	}
	ans.Err, ans.Ended = err, clk.Now()
	return ans
}

func (ans *Answer) read(con net.Conn) error {
	res, err := http.ReadResponse(bufio.NewReader(con), nil)
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }()
	ans.Status = res.StatusCode
	if secs, err := strconv.ParseFloat(res.Header.Get("Retry-After"), 64); err == nil {
		ans.RetryAfter = time.Duration(secs * float64(time.Second))
	}
	body, err := io.ReadAll(res.Body)
	ans.Body, ans.Complete = string(body), err == nil
	return err
}
