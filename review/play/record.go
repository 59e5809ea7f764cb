package main

import (
	"fmt"
	"os"
	"sync"
	"time"

	"lovagestream/io/clock"
)

// record is what was sent, answered and run, as clients, servers and the platform saw it.
type record struct {
	clk   clock.Service
	begun time.Time

	mu     sync.Mutex
	out    *os.File
	counts map[string]int
}

func newRecord(path string, clk clock.Service) (*record, error) {
	out, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{clk: clk, begun: clk.Now(), out: out, counts: map[string]int{}}, nil
}

// line writes a line with the time since the start, and counts its kind.
func (rec *record) line(kind, format string, args ...any) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.counts[kind]++
	fmt.Fprintf(rec.out, "%9.3f %-14s %s\n", rec.clk.Now().Sub(rec.begun).Seconds(), kind, fmt.Sprintf(format, args...))
}

func (rec *record) count(kind string) int {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	return rec.counts[kind]
}

// summary writes a line to the record and to standard output.
func (rec *record) summary(format string, args ...any) {
	rec.line("summary", format, args...)
	fmt.Printf(format+"\n", args...)
}
