package main

import (
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"strings"
	"time"
	"unicode"
)

const (
	// windowMargin is how long before a request's first and after its last line the
	// lines about its servers and instances are part of its timeline.
	windowMargin = 3 * time.Second
	// poolsBefore and poolsAfter are how long before and after the end of a request
	// that got no server the state of the pools is part of its timeline. Instances
	// write it once a second.
	poolsBefore = 2 * time.Second
	poolsAfter  = time.Second
	// attemptWindow is how long before a request's end the ends of its caller's other
	// attempts are part of its timeline: entry instances remember a refused caller
	// for 12 s.
	attemptWindow = 12 * time.Second
	// maxSimilar is the number of similar lines without the request's ID that are
	// shown; of a larger group only the first line and a count are.
	maxSimilar = 4
)

// timelineFilter selects the lines of one request's timeline.
type timelineFilter struct {
	id string
	// windowStart and windowEnd are the times of the first and last line with the ID,
	// extended by windowMargin.
	windowStart, windowEnd time.Time
	// entryInstance received the request from its caller; empty if unknown. endedAt
	// is the time of its last line about the request.
	entryInstance string
	endedAt       time.Time
	// unplaced is set for a request that got no server.
	unplaced bool
	// restartedAt is when the entry instance restarted, if it wrote no end of the
	// request before; else zero.
	restartedAt time.Time
	// fingerprint is the request's fingerprint, which all attempts of its caller
	// share; nil if no line has it.
	fingerprint any
	// coordinator is the address of the last instance that scheduled the request's
	// calls; empty if no line has it.
	coordinator string
	// account is the client account of a request that was refused for its share.
	account string
	// servers and instances are those that lines with the ID name; coordinators are
	// the instances that made the request's calls.
	servers      map[string]bool
	instances    map[string]bool
	coordinators map[string]bool
}

// collectTimeline returns, by time, the lines of a request, those about the state of
// its servers, about pauses, stops and configurations of its instances and, if it got
// no server, about the state of the pools.
func collectTimeline(id string, all []logLine) []logLine {
	var timeline []logLine
	for _, lin := range all {
		if lin.mentions(id) {
			timeline = append(timeline, lin)
		}
	}
	if len(timeline) == 0 {
		return nil
	}
	sortByTime(timeline)
	flt := newTimelineFilter(id, timeline)
	flt.findOutsideWindow(all)
	for num := range all {
		if lin := &all[num]; !lin.mentions(id) && flt.includes(lin) {
			timeline = append(timeline, *lin)
		}
	}
	sortByTime(timeline)
	return timeline
}

func sortByTime(list []logLine) {
	sort.SliceStable(list, func(i, j int) bool { return list[i].at.Before(list[j].at) })
}

// newTimelineFilter returns the filter for a request from the lines with its ID,
// which must be sorted by time.
func newTimelineFilter(id string, own []logLine) *timelineFilter {
	flt := &timelineFilter{id: id, servers: map[string]bool{}, instances: map[string]bool{}, coordinators: map[string]bool{}}
	flt.windowStart, flt.windowEnd = own[0].at.Add(-windowMargin), own[len(own)-1].at.Add(windowMargin)
	for num := range own {
		lin := &own[num]
		flt.instances[lin.from] = true
		if txt, ok := lin.fie["server"].(string); ok {
			flt.servers[txt] = true
		}
		switch lin.kind {
		case "stage-call":
			flt.coordinators[lin.from] = true
		case "request-submitted":
			flt.coordinator, _ = lin.fie["coordinator"].(string)
		case "verdict":
			flt.unplaced = lin.fie["word"] != "placed"
		case "request-refused":
			flt.unplaced = true
		}
		if endKinds[lin.kind] {
			flt.fingerprint = lin.fie["print"]
		}
		if lin.kind == "request-refused" && lin.fie["account-share"] != nil {
			flt.account, _ = lin.fie["account"].(string)
		}
		if entryKinds[lin.kind] {
			flt.entryInstance, flt.endedAt = lin.from, lin.at
		}
	}
	return flt
}

// entryKinds are the kinds of lines that only the instance writes that received the
// request from its caller.
var entryKinds = map[string]bool{
	"request-submitted": true, "verdict": true, "first-event": true, "send-failed": true, "request-sent": true,
	"request-served": true, "request-refused": true, "request-failed": true,
}

// endKinds are the possible kinds of a request's last line.
var endKinds = map[string]bool{"request-served": true, "request-refused": true, "request-failed": true}

// findOutsideWindow finds the instance that scheduled the request's calls, and the next
// start of the entry instance if it wrote no end of the request. After a power
// failure this start can be later than the window.
func (flt *timelineFilter) findOutsideWindow(all []logLine) {
	ended := false
	for num := range all {
		lin := &all[num]
		ended = ended || endKinds[lin.kind] && lin.mentions(flt.id)
		if lin.kind != "start" {
			continue
		}
		if flt.coordinator != "" && lin.fie["told"] == flt.coordinator {
			flt.coordinators[lin.from] = true
		}
		if lin.from == flt.entryInstance && lin.at.After(flt.endedAt) && (flt.restartedAt.IsZero() || lin.at.Before(flt.restartedAt)) {
			flt.restartedAt = lin.at
		}
	}
	if ended {
		flt.restartedAt = time.Time{}
	}
}

// instanceKinds are the kinds of lines about the state of an instance and its view
// of the fleet.
var instanceKinds = map[string]bool{
	"resumed-after-pause": true, "verified": true, "stopping": true, "drained": true, "start": true, "stop": true, "config-in-force": true,
	"coordinator-changed": true, "requests-handed-over": true, "member-lost": true, "member-silent": true, "zone-silent": true, "zone-speaks": true,
	"store-lost": true, "store-back": true, "lines-left-out": true,
}

// accountKinds are the kinds of lines about an account that passed its share or is
// back within it.
var accountKinds = map[string]bool{"account-over-share": true, "account-within-share": true}

// includes reports whether a line without the ID is part of the timeline.
func (flt *timelineFilter) includes(lin *logLine) bool {
	if lin.kind == "start" && lin.from == flt.entryInstance && lin.at.Equal(flt.restartedAt) {
		return true
	}
	if lin.kind == "pool-state" {
		near := !lin.at.Before(flt.endedAt.Add(-poolsBefore)) && !lin.at.After(flt.endedAt.Add(poolsAfter))
		return flt.unplaced && near && (len(flt.coordinators) == 0 || flt.coordinators[lin.from])
	}
	if accountKinds[lin.kind] {
		// Without a share of its own in the way, the load is that of others.
		own := flt.account == "" || lin.fie["account"] == flt.account
		return flt.unplaced && own && !lin.at.Before(flt.endedAt.Add(-attemptWindow)) && lin.at.Before(flt.windowEnd)
	}
	if flt.fingerprint != nil && lin.fie["print"] == flt.fingerprint && lin.at.Before(flt.endedAt) {
		return !lin.at.Before(flt.endedAt.Add(-attemptWindow))
	}
	if lin.at.Before(flt.windowStart) || lin.at.After(flt.windowEnd) {
		return false
	}
	if instanceKinds[lin.kind] && flt.instances[lin.from] {
		return true
	}
	ser, _ := lin.fie["server"].(string)
	return flt.servers[ser] && (strings.HasPrefix(lin.kind, "server-") || lin.kind == "stage-call-failed")
}

// printTimeline prints the lines with their times since the first one. It marks stage
// calls after the verdict, which can be repeated calls or show that the clocks of
// two instances differ. Of a large group of similar lines it prints only the first
// and a count.
func printTimeline(out io.Writer, id string, timeline []logLine) {
	begin := timeline[0].at
	since := func(at time.Time) float64 { return at.Sub(begin).Seconds() }
	groups := groupSimilar(id, timeline)
	verdict, marked := false, false
	for num := range timeline {
		lin := &timeline[num]
		grp := groups[similarityKey(lin)]
		many := grp != nil && grp.count > maxSimilar && !lin.mentions(id)
		if many && grp.first != num {
			continue
		}
		mark := " "
		verdict = verdict || lin.kind == "verdict"
		if lin.kind == "stage-call" && verdict {
			mark, marked = "~", true
		}
		fmt.Fprintf(out, "%s%9.3f s  %-24s %-22s %s\n", mark, since(lin.at), lin.from, lin.kind, details(lin.fie))
		if many {
			fmt.Fprintf(out, " %9s    %-24s %-22s %d more of its kind until %.3f s, at %d instances\n", "", "", lin.kind, grp.count-1, since(grp.last), len(grp.from))
		}
	}
	if said := accountSentence(id, timeline); said != "" {
		fmt.Fprintln(out, said)
	}
	if marked {
		fmt.Fprintln(out, "~ a stage call after a verdict: it was repeated, or the clocks of the two instances differ")
	}
}

// similarLines is a group of similar lines.
type similarLines struct {
	first, count int
	last         time.Time
	from         map[string]bool
}

// groupSimilar groups the lines without the ID by their similarityKey.
func groupSimilar(id string, timeline []logLine) map[string]*similarLines {
	out := map[string]*similarLines{}
	for num := range timeline {
		lin := &timeline[num]
		key := similarityKey(lin)
		if key == "" || lin.mentions(id) {
			continue
		}
		grp := out[key]
		if grp == nil {
			grp = &similarLines{first: num, from: map[string]bool{}}
			out[key] = grp
		}
		grp.count++
		grp.last = lin.at
		grp.from[lin.from] = true
	}
	return out
}

// similarityKey is equal for lines that report the same of different servers, members
// or calls. It is empty for lines that are never grouped.
func similarityKey(lin *logLine) string {
	if !strings.HasPrefix(lin.kind, "server-") && !strings.HasPrefix(lin.kind, "member-") && lin.kind != "stage-call-failed" {
		return ""
	}
	cause, _ := lin.fie["error"].(string)
	return lin.kind + strings.Map(func(chr rune) rune {
		if unicode.IsDigit(chr) {
			return -1
		}
		return chr
	}, cause)
}

// details formats a line's fields, sorted by name, without time, kind and level.
func details(fie map[string]any) string {
	var out []string
	for name, val := range fie {
		if name == "time" || name == "msg" || name == "level" {
			continue
		}
		out = append(out, fmt.Sprintf("%s=%v", name, val))
	}
	sort.Strings(out)
	return strings.Join(out, " ")
}

// accountSentence says why a request was refused for its account's share, or which
// account was furthest over its share when another one's request was refused. It is
// empty for any other request.
func accountSentence(id string, timeline []logLine) string {
	over := map[string]*logLine{}
	var worst *logLine
	for num := range timeline {
		lin := &timeline[num]
		switch {
		case lin.kind == "account-over-share":
			over[accountKey(lin)] = lin
		case lin.kind == "account-within-share":
			delete(over, accountKey(lin))
		case lin.kind == "request-refused" && lin.mentions(id) && lin.fie["account-share"] != nil:
			return fmt.Sprintf("refused: account %v asked for %.3g and used %.3g servers of %v, its share is %.3g; its own backlog takes %.1f s",
				lin.fie["account"], number(lin.fie["account-demand"]), number(lin.fie["account-use"]), lin.fie["resource"], number(lin.fie["account-share"]), number(lin.fie["account-wait"])/1000)
		case lin.kind == "request-refused" && lin.mentions(id):
			for _, one := range over {
				if worst == nil || excess(one) > excess(worst) {
					worst = one
				}
			}
		}
	}
	if worst == nil {
		return ""
	}
	return fmt.Sprintf("refused while account %v asked for %.3g servers of %v, its share was %.3g",
		worst.fie["account"], number(worst.fie["account-demand"]), worst.fie["resource"], number(worst.fie["account-share"]))
}

func accountKey(lin *logLine) string {
	return fmt.Sprintf("%v %v", lin.fie["resource"], lin.fie["account"])
}

// excess is what an account asked for above its share.
func excess(lin *logLine) float64 {
	return number(lin.fie["account-demand"]) - number(lin.fie["account-share"])
}

// number returns a field's number, 0 if it has none.
func number(val any) float64 {
	num, ok := val.(json.Number)
	if !ok {
		return 0
	}
	got, err := num.Float64()
	if err != nil {
		return 0
	}
	return got
}
