// Command lovagestream is a serving system for pipelines of several model stages.
// Run it without arguments to list its subcommands.
package main

import (
	"flag"
	"fmt"
	"io"
	"os"
	"sort"

	"github.com/pkg/errors"
)

// Exit codes.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

const version = "0.1.0"

// command is a subcommand. Each file of this package registers its own in commands.
type command struct {
	help string
	run  func(args []string, out, errs io.Writer) int
}

var commands = map[string]command{}

func init() {
	commands["version"] = command{help: "print the version", run: runVersion}
}

func main() {
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}

func run(args []string, out, errs io.Writer) int {
	if len(args) == 0 {
		usage(errs)
		return exitUsage
	}
	if args[0] == "help" || args[0] == "-h" || args[0] == "-help" || args[0] == "--help" {
		usage(out)
		return exitOK
	}
	cmd, found := commands[args[0]]
	if !found {
		fmt.Fprintf(errs, "lovagestream: unknown command %q\n", args[0])
		usage(errs)
		return exitUsage
	}
	return cmd.run(args[1:], out, errs)
}

func usage(out io.Writer) {
	fmt.Fprintln(out, "usage: lovagestream COMMAND [flags] [arguments]\n\nCommands:")
	names := make([]string, 0, len(commands))
	for name := range commands {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		fmt.Fprintf(out, "  %-20s %s\n", name, commands[name].help)
	}
	fmt.Fprintln(out, "\nRun lovagestream COMMAND -h for the help of a command.\nExit codes: 0 done, 1 failed, 2 wrong usage.")
}

// newFlags returns a flag set whose help includes a usage line and examples.
func newFlags(name, arguments, about, examples string, errs io.Writer) *flag.FlagSet {
	fls := flag.NewFlagSet(name, flag.ContinueOnError)
	fls.SetOutput(errs)
	fls.Usage = func() {
		fmt.Fprintf(errs, "usage: lovagestream %s %s\n\n%s\n\nFlags:\n", name, arguments, about)
		fls.PrintDefaults()
		fmt.Fprintf(errs, "\nExamples:\n%s\nExit codes: 0 done, 1 failed, 2 wrong usage.\n", examples)
	}
	return fls
}

// parse parses the flags. It returns the exit code if the command must end, else -1.
func parse(fls *flag.FlagSet, args []string) int {
	err := fls.Parse(args)
	switch {
	case errors.Is(err, flag.ErrHelp):
		return exitOK
	case err != nil:
		return exitUsage
	}
	return -1
}

func runVersion(_ []string, out, _ io.Writer) int {
	fmt.Fprintln(out, "lovagestream", version)
	return exitOK
}
