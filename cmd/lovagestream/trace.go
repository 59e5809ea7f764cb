package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/pkg/errors"
)

func init() {
	commands["trace"] = command{help: "print the timeline of a request from the logs of several instances", run: runTrace}
}

const traceAbout = `Reads the logs of entry instances and prints the lines of one request by time,
with those on the servers, members and instances involved. Times are those of each
instance's clock and are not corrected; a stage call that seems to come after the
verdict is marked.

With -draw it lists a random sample of the requests that failed (refused, failed,
or lost with their instance), so that the choice of those to examine is not biased.
Requests that the configuration denied are counted but not drawn.`

// maxLine is the longest line that can be read, in bytes.
const maxLine = 1 << 20

// logLine is a log line and the file of the instance that wrote it.
type logLine struct {
	at   time.Time
	from string
	kind string
	fie  map[string]any
	text string
}

func runTrace(args []string, out, errs io.Writer) int {
	fls := newFlags("trace", "ID FILE... | -draw NUMBER [-seed SEED] [-how KIND] FILE...", traceAbout, "  lovagestream trace 9c41d07be2a35f68 entry-1.log entry-2.log\n  lovagestream trace -draw 10 -seed 7 entry-1.log entry-2.log\n", errs)
	num := fls.Int("draw", 0, "list this many failed requests instead of printing a timeline")
	seed := fls.Uint64("seed", 1, "seed of the random sample")
	how := fls.String("how", "", "draw only those that were "+endRefused+", "+endFailed+" or "+endLost)
	if code := parse(fls, args); code >= 0 {
		return code
	}
	paths := fls.Args()
	if *num == 0 && len(paths) > 0 {
		paths = paths[1:]
	}
	if len(paths) == 0 || *num < 0 {
		fls.Usage()
		return exitUsage
	}
	all, err := readAll(paths)
	if err != nil {
		fmt.Fprintln(errs, "lovagestream:", err)
		return exitFailed
	}
	if *num > 0 {
		fai, denied := failures(all)
		fai = filterFailures(fai, *how)
		printDrawn(out, len(fai), denied, draw(fai, *num, *seed))
		return exitOK
	}
	timeline := collectTimeline(fls.Arg(0), all)
	if len(timeline) == 0 {
		fmt.Fprintf(errs, "lovagestream: no log line of request %s\n", fls.Arg(0))
		return exitFailed
	}
	printTimeline(out, fls.Arg(0), timeline)
	return exitOK
}

// readAll reads the log lines of several instances, one file each.
func readAll(paths []string) ([]logLine, error) {
	var all []logLine
	for _, path := range paths {
		got, err := readLines(path)
		if err != nil {
			return nil, err
		}
		all = append(all, got...)
	}
	return all, nil
}

// readLines reads the JSON log lines of a file and skips all other lines.
func readLines(path string) ([]logLine, error) {
	fil, err := os.Open(path)
	if err != nil {
		return nil, errors.Wrap(err, "read log")
	}
	defer func() { _ = fil.Close() }()
	var out []logLine
	scn := bufio.NewScanner(fil)
	scn.Buffer(make([]byte, 0, 64<<10), maxLine)
	for scn.Scan() {
		if lin, ok := parseLine(scn.Text(), filepath.Base(path)); ok {
			out = append(out, lin)
		}
	}
	return out, errors.Wrap(scn.Err(), path)
}

func parseLine(text, from string) (logLine, bool) {
	begin := strings.IndexByte(text, '{')
	if begin < 0 {
		return logLine{}, false
	}
	lin := logLine{from: from, text: text[begin:]}
	dec := json.NewDecoder(strings.NewReader(lin.text))
	// Keeps numbers exact: a fingerprint has more digits than a float64 can hold.
	dec.UseNumber()
	if dec.Decode(&lin.fie) != nil {
		return logLine{}, false
	}
	stamp, _ := lin.fie["time"].(string)
	at, err := time.Parse(time.RFC3339Nano, stamp)
	if err != nil {
		return logLine{}, false
	}
	lin.at = at
	lin.kind, _ = lin.fie["msg"].(string)
	return lin, true
}

// subjects returns the identities of requests, servers and members that a line is
// about.
func (lin *logLine) subjects() []string {
	var out []string
	for _, field := range []string{"id", "server", "member"} {
		if txt, ok := lin.fie[field].(string); ok && txt != "" {
			out = append(out, txt)
		}
	}
	if list, ok := lin.fie["ids"].([]any); ok {
		for _, val := range list {
			if txt, ok := val.(string); ok {
				out = append(out, txt)
			}
		}
	}
	return out
}

func (lin *logLine) mentions(name string) bool {
	for _, oth := range lin.subjects() {
		if oth == name {
			return true
		}
	}
	return false
}
