package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"

	"lovagestream/core/config"
	"lovagestream/stand/load"
)

func init() {
	commands["load"] = command{help: "send requests generated from a seed to entry instances and check every answer", run: runLoad}
}

// loadFlags holds the flags of the load subcommand.
type loadFlags struct {
	entries     string
	document    string
	pipelines   string
	accounts    string
	rate        float64
	duration    time.Duration
	burst       string
	streamShare float64
	textSize    int
	seed        uint64
}

func (lfl *loadFlags) parse(args []string, errs io.Writer) error {
	fls := flag.NewFlagSet("load", flag.ContinueOnError)
	fls.SetOutput(errs)
	fls.StringVar(&lfl.entries, "entries", "", "caller addresses of entry instances, separated by commas; requests go to them in turn")
	fls.StringVar(&lfl.document, "document", "", "file with the published configuration")
	fls.StringVar(&lfl.pipelines, "pipelines", "", "pipelines to send requests to, separated by commas; default all repeatable ones")
	fls.StringVar(&lfl.accounts, "accounts", "", "client accounts that send requests, separated by commas; default all. The token of NAME is NAME-token")
	fls.Float64Var(&lfl.rate, "rate", 10, "mean requests per second")
	fls.DurationVar(&lfl.duration, "for", 10*time.Second, "how long requests are sent")
	fls.StringVar(&lfl.burst, "burst", "", "a burst as AT,FOR,RATE, such as 2s,3s,100")
	fls.Float64Var(&lfl.streamShare, "stream", 0.5, "share of requests that ask for a streamed answer")
	fls.IntVar(&lfl.textSize, "size", 1024, "size of a request's text in bytes")
	fls.Uint64Var(&lfl.seed, "seed", 1, "seed of the plan")
	return fls.Parse(args)
}

func runLoad(ctx context.Context, args []string, out, errs io.Writer) int {
	var lfl loadFlags
	if lfl.parse(args, errs) != nil {
		return exitUsage
	}
	res, err := lfl.run(ctx)
	if err != nil {
		fmt.Fprintln(errs, "lovagestand:", err)
		return exitFailed
	}
	enc := json.NewEncoder(out)
	enc.SetIndent("", " ")
	if err := enc.Encode(res); err != nil {
		fmt.Fprintln(errs, "lovagestand:", err)
		return exitFailed
	}
	if res.All().Count(load.Wrong) > 0 {
		return exitFailed
	}
	return exitOK
}

func (lfl *loadFlags) run(ctx context.Context) (*load.Result, error) {
	if lfl.entries == "" {
		return nil, errors.New("-entries: want at least one address")
	}
	raw, err := os.ReadFile(lfl.document)
	if err != nil {
		return nil, errors.Wrap(err, "-document")
	}
	doc, err := config.Read(lfl.document, raw)
	if err != nil {
		return nil, err
	}
	phases, err := lfl.phases()
	if err != nil {
		return nil, err
	}
	pln, err := load.NewPlan(doc, lfl.kinds(doc), phases, lfl.seed)
	if err != nil {
		return nil, err
	}
	return load.Send(ctx, pln, load.NewBalancer(strings.Split(lfl.entries, ",")...))
}

// kinds returns one kind of request for each pair of pipeline and account, all
// with equal weight.
func (lfl *loadFlags) kinds(doc *config.Document) []load.Kind {
	var pipes, accounts []string
	for _, pip := range doc.Pipelines() {
		if pip.Repeatable() {
			pipes = append(pipes, pip.Name())
		}
	}
	for _, acc := range doc.Accounts() {
		accounts = append(accounts, acc.Name())
	}
	if lfl.pipelines != "" {
		pipes = strings.Split(lfl.pipelines, ",")
	}
	if lfl.accounts != "" {
		accounts = strings.Split(lfl.accounts, ",")
	}
	var kinds []load.Kind
	for _, pip := range pipes {
		for _, acc := range accounts {
			const openings = 10
			kinds = append(kinds, load.NewKind(pip, acc, 1).WithStream(lfl.streamShare).WithText(openings, lfl.textSize/2, 0, lfl.textSize/2))
		}
	}
	return kinds
}

func (lfl *loadFlags) phases() ([]load.Phase, error) {
	if lfl.burst == "" {
		return []load.Phase{load.NewPhase(lfl.duration, lfl.rate)}, nil
	}
	parts := strings.Split(lfl.burst, ",")
	var rate float64
	if len(parts) == 3 {
		at, aerr := time.ParseDuration(parts[0])
		length, lerr := time.ParseDuration(parts[1])
		_, rerr := fmt.Sscanf(parts[2], "%g", &rate)
		if aerr == nil && lerr == nil && rerr == nil && at+length <= lfl.duration {
			rest := lfl.duration - at - length
			return []load.Phase{load.NewPhase(at, lfl.rate), load.NewPhase(length, rate), load.NewPhase(rest, lfl.rate)}, nil
		}
	}
	return nil, errors.Errorf("-burst %q: want AT,FOR,RATE within -for, such as 2s,3s,100", lfl.burst)
}
