package main

import (
	"context"
	"flag"
	"fmt"
	"io"

	"lovagestream/stand/replay"
)

func init() {
	commands["replay"] = command{help: "simulate scenarios with the scheduling of stage calls and with its baselines", run: runReplay}
}

func runReplay(_ context.Context, args []string, out, errs io.Writer) int {
	fls := flag.NewFlagSet("replay", flag.ContinueOnError)
	fls.SetOutput(errs)
	list := fls.Bool("list", false, "list the scenarios")
	seeds := fls.Uint64("seeds", 5, "number of seeds")
	fls.Usage = func() {
		fmt.Fprintln(errs, "usage: lovagestand replay [flags] [SCENARIO...]")
		fls.PrintDefaults()
	}
	if err := fls.Parse(args); err != nil {
		return exitUsage
	}
	names := fls.Args()
	if len(names) == 0 {
		var err error
		if names, err = replay.Names(); err != nil {
			fmt.Fprintln(errs, "lovagestand:", err)
			return exitFailed
		}
	}
	for _, name := range names {
		if err := replayOne(out, name, *list, *seeds); err != nil {
			fmt.Fprintln(errs, "lovagestand:", err)
			return exitFailed
		}
	}
	return exitOK
}

// replayOne prints a scenario's description and, unless list is set, its results
// under each policy.
func replayOne(out io.Writer, name string, list bool, seeds uint64) error {
	scn, err := replay.Load(name)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "%-22s %s\n", name, scn.Description)
	if list {
		return nil
	}
	for _, policy := range append([]string{""}, scn.Baselines...) {
		for sed := uint64(1); sed <= seeds; sed++ {
			res, err := scn.Run(policy, sed)
			if err != nil {
				return err
			}
			label := policy
			if label == "" {
				label = "ours"
			}
			fmt.Fprintf(out, "  %-16s seed %d  %s\n", label, sed, res)
		}
	}
	return nil
}

// listReplays lists the replay scenarios, after those of the benchmarks.
func listReplays(out io.Writer) error {
	names, err := replay.Names()
	if err != nil {
		return err
	}
	for _, name := range names {
		scn, err := replay.Load(name)
		if err != nil {
			return err
		}
		fmt.Fprintf(out, "%-20s %s (lovagestand replay)\n", name, scn.Description)
	}
	return nil
}
