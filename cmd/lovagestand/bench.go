package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"lovagestream/stand/bench"
)

func init() {
	commands["bench"] = command{help: "compare policies with their baselines", run: runBench}
	commands["report"] = command{help: "write the page of measurements and its plots from the JSON output of bench", run: runReport}
}

// benchBudget keeps `bench -all` within ten minutes.
const benchBudget = 9*time.Minute + 30*time.Second

// benchFlags holds the flags of the bench subcommand.
type benchFlags struct {
	list     bool
	all      bool
	json     bool
	markdown bool
	policy   string
	seed     uint64
	seeds    int
	budget   time.Duration
	parallel int
	names    []string
}

func (bfl *benchFlags) parse(args []string, errs io.Writer) error {
	fls := flag.NewFlagSet("bench", flag.ContinueOnError)
	fls.SetOutput(errs)
	fls.Usage = func() {
		fmt.Fprintln(errs, "usage: lovagestand bench [flags] [SCENARIO...] [flags]")
		fls.PrintDefaults()
	}
	fls.BoolVar(&bfl.list, "list", false, "list the scenarios")
	fls.BoolVar(&bfl.all, "all", false, "run every scenario")
	fls.BoolVar(&bfl.json, "json", false, "write JSON instead of tables")
	fls.BoolVar(&bfl.markdown, "markdown", false, "write the page of measurements instead of tables")
	fls.StringVar(&bfl.policy, "policy", "", "sets of policies that replace the scenario's, separated by commas; a set is a name, or choices such as route=random+admit=none")
	fls.Uint64Var(&bfl.seed, "seed", 1, "first seed")
	fls.IntVar(&bfl.seeds, "seeds", 5, "number of seeds")
	fls.DurationVar(&bfl.budget, "budget", benchBudget, "time after which no run is started")
	fls.IntVar(&bfl.parallel, "parallel", 4, "most runs at once; each takes about one core, and one beyond capacity counts as two")
	// Scenario names may come before or between flags.
	for len(args) > 0 {
		if err := fls.Parse(args); err != nil {
			return err
		}
		args = fls.Args()
		if len(args) > 0 {
			bfl.names = append(bfl.names, args[0])
			args = args[1:]
		}
	}
	return nil
}

func runBench(ctx context.Context, args []string, out, errs io.Writer) int {
	if len(args) > 0 && args[0] == "fleet" {
		return runBenchFleet(ctx, args[1:], out, errs)
	}
	var bfl benchFlags
	if bfl.parse(args, errs) != nil {
		return exitUsage
	}
	scenarios, err := bfl.scenarios()
	if err != nil {
		fmt.Fprintln(errs, "lovagestand:", err)
		return exitFailed
	}
	if bfl.list {
		for _, scn := range scenarios {
			fmt.Fprintf(out, "%-20s %s\n", scn.Name(), scn.Goal())
		}
		if err := listReplays(out); err != nil {
			fmt.Fprintln(errs, "lovagestand:", err)
			return exitFailed
		}
		return exitOK
	}
	if len(scenarios) == 0 {
		fmt.Fprintln(errs, "lovagestand: no scenario; name scenarios, or give -all or -list")
		return exitUsage
	}
	opt := bench.NewOptions(bfl.seed, bfl.seeds, bfl.budget, errs).WithParallel(bfl.parallel)
	if bfl.policy != "" {
		opt = opt.WithPolicies(strings.Split(bfl.policy, ","))
	}
	rep, err := bench.Run(ctx, scenarios, opt)
	if err != nil {
		fmt.Fprintln(errs, "lovagestand:", err)
	}
	if werr := bfl.write(rep, out); werr != nil {
		fmt.Fprintln(errs, "lovagestand:", werr)
		return exitFailed
	}
	if num := rep.Errors(); num > 0 || err != nil {
		fmt.Fprintf(errs, "lovagestand: %d runs failed or got wrong answers\n", num)
		return exitFailed
	}
	return exitOK
}

func (bfl *benchFlags) scenarios() ([]*bench.Scenario, error) {
	if bfl.all || bfl.list {
		return bench.Scenarios()
	}
	return bench.Find(bfl.names)
}

func (bfl *benchFlags) write(rep *bench.Report, out io.Writer) error {
	switch {
	case bfl.json:
		return rep.WriteJSON(out)
	case bfl.markdown:
		return rep.WriteMarkdown(out, "")
	}
	return rep.WriteText(out)
}

func runReport(_ context.Context, args []string, out, errs io.Writer) int {
	fls := flag.NewFlagSet("report", flag.ContinueOnError)
	fls.SetOutput(errs)
	plots := fls.String("plots", "", "directory for the plots; none are written if empty")
	note := fls.String("note", "", "a sentence on the test conditions to include in the page")
	if fls.Parse(args) != nil {
		return exitUsage
	}
	if fls.NArg() != 1 {
		fmt.Fprintln(errs, "usage: lovagestand report [-plots DIR] [-note TEXT] FILE")
		return exitUsage
	}
	if err := writeReport(fls.Arg(0), *plots, *note, out); err != nil {
		fmt.Fprintln(errs, "lovagestand:", err)
		return exitFailed
	}
	return exitOK
}

func writeReport(path, plots, note string, out io.Writer) error {
	fil, err := os.Open(path)
	if err != nil {
		return err
	}
	defer func() { _ = fil.Close() }()
	rep, err := bench.ReadReport(fil)
	if err != nil {
		return err
	}
	if plots != "" {
		if err := rep.WritePlots(plots); err != nil {
			return err
		}
	}
	return rep.WriteMarkdown(out, note)
}
