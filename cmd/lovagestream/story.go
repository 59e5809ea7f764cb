package main

import (
	"fmt"
	"io"
	"sort"
	"strings"
	"time"
	"unicode"
)

const (
	// around is how long before a request's first and after its last line other
	// lines on its servers belong to its story.
	around = 3 * time.Second
	// poolsBefore and poolsAfter are how long before and after the end of a
	// request that got no server the state of the pools belongs to its story:
	// it is written once a second.
	poolsBefore = 2 * time.Second
	poolsAfter  = time.Second
	// attempts is how long before a request's end the ends of other attempts of
	// its caller belong to its story: a refused caller is remembered for 12 s.
	attempts = 12 * time.Second
	// mostAlike lines of one kind without the request's ID are shown; of more,
	// the first stands for all.
	mostAlike = 4
)

// tale is what a story is gathered for.
type tale struct {
	id string
	// from and to are its first and last line with the ID, a margin added.
	from, to time.Time
	// taker has the request from its caller, or is empty; ended is its end.
	taker string
	ended time.Time
	// unplaced is set for a request that got no server, restarted where its
	// instance began again before it wrote an end.
	unplaced  bool
	restarted time.Time
	// print is the fingerprint that it has in common with its caller's other
	// attempts, if a line tells.
	print any
	// coordinator is the address of the instance that formed its calls at last, if a
	// line tells.
	coordinator string
	// servers and instances had to do with it, forming made its calls.
	servers   map[string]bool
	instances map[string]bool
	forming   map[string]bool
}

// storyOf picks the lines of a request, the lines on beliefs about the servers
// that it met, those on its instances' pauses, stops and configurations, and,
// where it got no server, the state of the pools.
func storyOf(id string, all []logLine) []logLine {
	var story []logLine
	for _, lin := range all {
		if lin.about(id) {
			story = append(story, lin)
		}
	}
	if len(story) == 0 {
		return nil
	}
	byTime(story)
	tal := newTale(id, story)
	tal.lookBeyond(all)
	for num := range all {
		if lin := &all[num]; !lin.about(id) && tal.has(lin) {
			story = append(story, *lin)
		}
	}
	byTime(story)
	return story
}

func byTime(list []logLine) {
	sort.SliceStable(list, func(i, j int) bool { return list[i].at.Before(list[j].at) })
}

// newTale reads the lines with the ID, in order.
func newTale(id string, own []logLine) *tale {
	tal := &tale{id: id, servers: map[string]bool{}, instances: map[string]bool{}, forming: map[string]bool{}}
	tal.from, tal.to = own[0].at.Add(-around), own[len(own)-1].at.Add(around)
	for num := range own {
		lin := &own[num]
		tal.instances[lin.from] = true
		if txt, ok := lin.fie["server"].(string); ok {
			tal.servers[txt] = true
		}
		switch lin.kind {
		case "stage-call":
			tal.forming[lin.from] = true
		case "request-submitted":
			tal.coordinator, _ = lin.fie["coordinator"].(string)
		case "verdict":
			tal.unplaced = lin.fie["word"] != "placed"
		case "request-refused":
			tal.unplaced = true
		}
		if ends[lin.kind] {
			tal.print = lin.fie["print"]
		}
		if taken[lin.kind] {
			tal.taker, tal.ended = lin.from, lin.at
		}
	}
	return tal
}

// taken are kinds of lines that only the instance writes which has the request
// from its caller.
var taken = map[string]bool{
	"request-submitted": true, "verdict": true, "first-event": true, "send-failed": true, "request-sent": true,
	"request-served": true, "request-refused": true, "request-failed": true,
}

// ends are the kinds of a request's last line.
var ends = map[string]bool{"request-served": true, "request-refused": true, "request-failed": true}

// lookBeyond finds what lies outside the margins or under another instance's
// name: the next start of a request's instance that wrote no end, which comes
// late where the power was off, and the instance that formed its calls.
func (tal *tale) lookBeyond(all []logLine) {
	over := false
	for num := range all {
		lin := &all[num]
		over = over || ends[lin.kind] && lin.about(tal.id)
		if lin.kind != "start" {
			continue
		}
		if tal.coordinator != "" && lin.fie["told"] == tal.coordinator {
			tal.forming[lin.from] = true
		}
		if lin.from == tal.taker && lin.at.After(tal.ended) && (tal.restarted.IsZero() || lin.at.Before(tal.restarted)) {
			tal.restarted = lin.at
		}
	}
	if over {
		tal.restarted = time.Time{}
	}
}

// beliefs are kinds of lines on an instance itself.
var beliefs = map[string]bool{
	"resumed-after-pause": true, "verified": true, "stopping": true, "drained": true, "start": true, "stop": true, "config-in-force": true,
	"coordinator-changed": true, "requests-handed-over": true, "member-lost": true, "member-silent": true, "zone-silent": true, "zone-speaks": true,
	"store-lost": true, "store-back": true, "lines-left-out": true,
}

// has reports whether a line without the ID belongs to the story.
func (tal *tale) has(lin *logLine) bool {
	if lin.kind == "start" && lin.from == tal.taker && lin.at.Equal(tal.restarted) {
		return true
	}
	if lin.kind == "pool-state" {
		near := !lin.at.Before(tal.ended.Add(-poolsBefore)) && !lin.at.After(tal.ended.Add(poolsAfter))
		return tal.unplaced && near && (len(tal.forming) == 0 || tal.forming[lin.from])
	}
	if tal.print != nil && lin.fie["print"] == tal.print && lin.at.Before(tal.ended) {
		return !lin.at.Before(tal.ended.Add(-attempts))
	}
	if lin.at.Before(tal.from) || lin.at.After(tal.to) {
		return false
	}
	if beliefs[lin.kind] && tal.instances[lin.from] {
		return true
	}
	ser, _ := lin.fie["server"].(string)
	return tal.servers[ser] && (strings.HasPrefix(lin.kind, "server-") || lin.kind == "stage-call-failed")
}

// printStory marks where the clocks of two instances can't both be right: an
// answer stands before what it answers. Of many lines that are alike the first
// stands for all.
func printStory(out io.Writer, id string, story []logLine) {
	begin := story[0].at
	since := func(at time.Time) float64 { return at.Sub(begin).Seconds() }
	alike := gather(id, story)
	verdict, marked := false, false
	for num := range story {
		lin := &story[num]
		grp := alike[likeness(lin)]
		many := grp != nil && grp.count > mostAlike && !lin.about(id)
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
	if marked {
		fmt.Fprintln(out, "~ a stage call after a verdict: made again, or the clocks of the two instances differ")
	}
}

// crowd is a number of lines that are alike.
type crowd struct {
	first, count int
	last         time.Time
	from         map[string]bool
}

// gather groups the lines without the ID that come in crowds.
func gather(id string, story []logLine) map[string]*crowd {
	out := map[string]*crowd{}
	for num := range story {
		lin := &story[num]
		key := likeness(lin)
		if key == "" || lin.about(id) {
			continue
		}
		grp := out[key]
		if grp == nil {
			grp = &crowd{first: num, from: map[string]bool{}}
			out[key] = grp
		}
		grp.count++
		grp.last = lin.at
		grp.from[lin.from] = true
	}
	return out
}

// likeness is equal for lines that tell the same of different things; empty for
// those that always stand alone.
func likeness(lin *logLine) string {
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

// details lists a line's fields by name, without those that stand before.
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
