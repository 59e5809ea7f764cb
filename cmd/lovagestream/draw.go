package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"sort"
	"time"
)

// Ways in which a request failed.
const (
	endRefused = "refused"
	endFailed  = "failed"
	// endLost is a request whose instance stopped or restarted before it wrote an end.
	endLost = "lost"
	// endDenied is a request that the configuration in force does not allow. Such
	// responses are usually correct, and their lines name the configuration's version.
	endDenied = "denied"
)

// denials are the reasons of requests that the configuration denies.
var denials = map[string]bool{"no-route": true, "unknown-credential": true}

// lostAfter is how long an instance must write nothing, while others do, for its open
// requests to count as lost. It exceeds the longest pause that an instance survives,
// some seconds, and the gaps between the lines of an idle instance.
const lostAfter = 10 * time.Second

// failure is a request that was not served.
type failure struct {
	id   string
	how  string
	from string
	at   time.Time
}

// failures returns the requests that were refused, failed or lost with their instance,
// each once and sorted by ID, and the number of those that the configuration denied.
// Requests still in progress at the end of the lines are not included.
func failures(all []logLine) (out []failure, denied int) {
	open, ended := map[string]failure{}, map[string]failure{}
	starts, lastLines := map[string][]time.Time{}, map[string]time.Time{}
	var last time.Time
	for num := range all {
		lin := &all[num]
		if lin.at.After(last) {
			last = lin.at
		}
		if lin.at.After(lastLines[lin.from]) {
			lastLines[lin.from] = lin.at
		}
		if lin.kind == "start" {
			starts[lin.from] = append(starts[lin.from], lin.at)
		}
		id, _ := lin.fie["id"].(string)
		if id == "" {
			continue
		}
		fai := failure{id: id, from: lin.from, at: lin.at}
		switch lin.kind {
		case "request-served":
			ended[id] = fai
		case "request-refused":
			fai.how = endRefused
			ended[id] = fai
		case "request-failed":
			fai.how = endFailed
			if reason, _ := lin.fie["reason"].(string); denials[reason] {
				fai.how = endDenied
			}
			ended[id] = fai
		case "request-submitted", "verdict", "first-event", "send-failed", "request-sent":
			if old, have := open[id]; !have || fai.at.After(old.at) {
				open[id] = fai
			}
		}
	}
	for _, fai := range ended {
		switch fai.how {
		case "":
		case endDenied:
			denied++
		default:
			out = append(out, fai)
		}
	}
	for id, fai := range open {
		_, have := ended[id]
		if !have && instanceLost(fai, starts[fai.from], lastLines[fai.from], last) {
			fai.how = endLost
			out = append(out, fai)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].id < out[j].id })
	return out, denied
}

// filterFailures returns the failures that ended in the given way; all if how is
// empty.
func filterFailures(all []failure, how string) []failure {
	var out []failure
	for _, fai := range all {
		if how == "" || fai.how == how {
			out = append(out, fai)
		}
	}
	return out
}

// instanceLost reports whether the instance process of an open request ended: it
// started again later, or wrote nothing for lostAfter while others did.
func instanceLost(fai failure, starts []time.Time, lastLine, last time.Time) bool {
	for _, at := range starts {
		if at.After(fai.at) {
			return true
		}
	}
	return last.Sub(lastLine) > lostAfter
}

// draw returns a random sample of num failures. The same lines and seed give the same
// sample regardless of the order of the files.
func draw(all []failure, num int, seed uint64) []failure {
	out := append([]failure(nil), all...)
	rnd := rand.New(rand.NewPCG(seed, 0))
	rnd.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(num, len(out))]
}

func printDrawn(out io.Writer, of, denied int, drawn []failure) {
	fmt.Fprintf(out, "%d of %d failed requests; %d more were denied by the configuration\n", len(drawn), of, denied)
	for _, fai := range drawn {
		fmt.Fprintf(out, "%-20s %-8s %-24s %s\n", fai.id, fai.how, fai.from, fai.at.Format("15:04:05.000"))
	}
}
