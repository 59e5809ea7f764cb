package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"time"

	"lovagestream/io/clock"
)

// client sends requests over kept connections.
type client struct {
	clk clock.Service
	rec *record
	cli *http.Client
}

func newClient(clk clock.Service, rec *record) *client {
	return &client{clk: clk, rec: rec, cli: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 8 * time.Second, DisableCompression: true}}}
}

// answer is what a client got.
type answer struct {
	status int
	signed bool
	body   string
	err    error
	// kept is set if the request went over a connection that had carried others.
	kept bool
	took time.Duration
}

// send sends one request and reads the answer.
func (cli *client) send(ctx context.Context, front, method, target, host, id string, wait time.Duration, fields map[string]string, body string) answer {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	kept, begun := false, cli.clk.Now()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(inf httptrace.GotConnInfo) { kept = inf.Reused }})
	req, err := http.NewRequestWithContext(ctx, method, "http://"+front+target, strings.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	req.Host = host
	req.Header.Set("X-Lovagestream-Request-Id", id)
	req.Header.Set("X-Lovagestream-Deadline-Ms", fmt.Sprint(wait.Milliseconds()))
	for name, val := range fields {
		req.Header.Set(name, val)
	}
	cli.rec.line("sent", "%s %s %s to %s", id, method, target, front)
	res, err := cli.cli.Do(req)
	if err != nil {
		cli.rec.line("answered", "%s: no answer on a connection kept=%v after %v: %v", id, kept, cli.clk.Now().Sub(begun), err)
		return answer{err: err, kept: kept, took: cli.clk.Now().Sub(begun)}
	}
	defer func() { _ = res.Body.Close() }()
	got, err := io.ReadAll(res.Body)
	ans := answer{status: res.StatusCode, signed: res.Header.Get("X-Lovagestream-Origin-Signature") != "", body: string(got), err: err, kept: kept, took: cli.clk.Now().Sub(begun)}
	cli.rec.line("answered", "%s: status %d, signed %v, %d bytes, error %v", id, ans.status, ans.signed, len(got), err)
	return ans
}
