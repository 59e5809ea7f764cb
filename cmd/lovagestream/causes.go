package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"lovagestream/io/edge"
)

func init() {
	commands["causes"] = command{help: "print what crashes model servers, and serve it again", run: runCauses}
}

const causesAbout = `Prints the requests and the parts of prompts that crash backend servers and are
refused for it, as one entry instance knows them. With -lift, requests with a
fingerprint are served again at all instances, for example once the servers'
software is mended.`

const causesExamples = `  lovagestream causes -address 10.0.1.5:9464
  lovagestream causes -address 10.0.1.5:9464 -lift 12041234567890123456
`

// causesTimeout bounds one request to an instance.
const causesTimeout = 5 * time.Second

func runCauses(args []string, out, errs io.Writer) int {
	fls := newFlags("causes", "-address HOST:PORT [-lift FINGERPRINT]", causesAbout, causesExamples, errs)
	address := fls.String("address", "", "metrics address of an entry instance")
	lift := fls.String("lift", "", "fingerprint to serve again")
	if code := parse(fls, args); code >= 0 {
		return code
	}
	if *address == "" || fls.NArg() > 0 {
		fls.Usage()
		return exitUsage
	}
	url := "http://" + *address + edge.CausesPath
	var err error
	if *lift != "" {
		err = liftCause(url, *lift)
	} else {
		err = printCauses(url, out)
	}
	if err != nil {
		fmt.Fprintln(errs, "lovagestream:", err)
		return exitFailed
	}
	return exitOK
}

func printCauses(url string, out io.Writer) error {
	var list []edge.CrashCause
	if err := callCauses(http.MethodGet, url, http.StatusOK, &list); err != nil {
		return err
	}
	tab := newTable(out, "FINGERPRINT", "PART", "CRASHES", "FIRST", "LAST", "BESIDES")
	for _, cau := range list {
		part := cau.Part
		if part == "" {
			part = "(whole request)"
		}
		first, last := time.Duration(cau.SinceMs)*time.Millisecond, time.Duration(cau.LastMs)*time.Millisecond
		tab.row(cau.Fingerprint, part, cau.Crashes, first.String()+" ago", last.String()+" ago", strings.Join(cau.Besides, ","))
	}
	tab.flush()
	return nil
}

func liftCause(url, fingerprint string) error {
	return callCauses(http.MethodDelete, url+"/"+fingerprint, http.StatusNoContent, nil)
}

// callCauses sends a request to an instance and decodes the response into got, unless it is nil.
func callCauses(method, url string, want int, got any) error {
	req, err := http.NewRequest(method, url, nil)
	if err != nil {
		return errors.Wrap(err, "causes")
	}
	cli := http.Client{Timeout: causesTimeout}
	res, err := cli.Do(req)
	if err != nil {
		return errors.Wrap(err, "causes")
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(res.Body, 1<<20))
	switch {
	case err != nil:
		return errors.Wrapf(err, "causes: read the response of %s", url)
	case res.StatusCode != want:
		return errors.Errorf("causes: %s: status %d: %s", url, res.StatusCode, strings.TrimSpace(string(body)))
	case got == nil:
		return nil
	}
	return errors.Wrapf(json.Unmarshal(body, got), "causes: decode the response of %s", url)
}
