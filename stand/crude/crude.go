// Package crude is an HTTP conformance tester. It sends the raw bytes of the cases
// in a file, including malformed requests that no HTTP library would send, and
// checks the responses. Both protocols for callers are tested with the same file.
package crude

import (
	_ "embed"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

//go:embed odd.txt
var caseFile string

// Side is a protocol for callers, as named in the file.
type Side string

// The protocols for callers: the project's own, and the platform's.
const (
	Own      Side = "own"
	Platform Side = "platform"
)

// noAnswer stands for the status of a connection that ends without a response.
const noAnswer = 0

// want is the expected result in one protocol.
type want struct {
	// statuses are the status codes of the responses, in order.
	statuses []int
	// keptAlive: the connection must accept a further request.
	keptAlive bool
	// runs: a backend server must receive the request; otherwise none may.
	runs bool
	// body is the body that it must receive, if hasBody is set.
	body    string
	hasBody bool
}

// step is one action of the caller.
type step struct {
	// bytes are sent, unless they are empty.
	bytes string
	// wait is the time to wait before the next step.
	wait time.Duration
	// halfClose closes the caller's sending direction only.
	halfClose bool
	// interim, unless 0, is the status code of an interim response to wait for.
	interim int
}

// Case is one test case: requests and their expected results.
type Case struct {
	name  string
	steps []step
	// wants holds the expected results by protocol.
	wants map[Side]*want
}

// Name returns the case's name.
func (cas *Case) Name() string { return cas.name }

// FormatError reports a line of the file that can't be parsed.
type FormatError struct {
	Line    int
	Problem string
}

// Error returns the line number and the problem.
func (err *FormatError) Error() string { return fmt.Sprintf("line %d: %s", err.Line, err.Problem) }

// Cases returns the cases of the file.
func Cases() ([]*Case, error) { return parse(caseFile) }

func parse(file string) ([]*Case, error) {
	var out []*Case
	num := 0
	for line := range strings.Lines(file) {
		num++
		line = strings.TrimSuffix(line, "\n")
		word, rest, _ := strings.Cut(line, " ")
		var err error
		switch {
		case word == "" || word == "#":
		case word == "case":
			out = append(out, &Case{name: rest, wants: map[Side]*want{}})
		case len(out) == 0:
			err = errors.New("line before the first case")
		default:
			err = out[len(out)-1].line(word, rest)
		}
		if err != nil {
			return nil, &FormatError{Line: num, Problem: err.Error()}
		}
	}
	return out, nil
}

// line parses one line of a case.
func (cas *Case) line(word, rest string) error {
	var stp step
	var err error
	switch word {
	case ">":
		stp.bytes = rest + "\r\n"
	case "bytes":
		stp.bytes, err = quoted(rest)
	case "wait":
		stp.wait, err = time.ParseDuration(rest)
	case "half-close":
		stp.halfClose = true
	case "interim":
		stp.interim, err = strconv.Atoi(rest)
	case "both", string(Own), string(Platform):
		return cas.want(word, rest)
	default:
		return errors.Errorf("unknown keyword %q", word)
	}
	cas.steps = append(cas.steps, stp)
	return err
}

// quoted parses a quoted Go string, or such a string after "N times ".
func quoted(txt string) (string, error) {
	count := 1
	if num, rest, ok := strings.Cut(txt, " times "); ok {
		var err error
		if count, err = strconv.Atoi(num); err != nil {
			return "", err
		}
		txt = rest
	}
	one, err := strconv.Unquote(txt)
	return strings.Repeat(one, count), err
}

// want parses STATUS... kept|closed [runs|runs "BODY"].
func (cas *Case) want(word, rest string) error {
	wan := &want{}
	head, body, hasBody := strings.Cut(rest, ` "`)
	if hasBody {
		var err error
		if wan.body, err = strconv.Unquote(`"` + body); err != nil {
			return err
		}
		wan.hasBody = true
	}
	for _, wrd := range strings.Fields(head) {
		switch wrd {
		case "kept":
			wan.keptAlive = true
		case "closed":
		case "runs":
			wan.runs = true
		case "no-answer":
			wan.statuses = append(wan.statuses, noAnswer)
		default:
			num, err := strconv.Atoi(wrd)
			if err != nil {
				return err
			}
			wan.statuses = append(wan.statuses, num)
		}
	}
	if word != "both" {
		cas.wants[Side(word)] = wan
		return nil
	}
	cas.wants[Own], cas.wants[Platform] = wan, wan
	return nil
}
