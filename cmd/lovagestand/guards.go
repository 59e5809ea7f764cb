package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"path/filepath"
	"strings"

	"golang.org/x/sync/errgroup"

	"lovagestream/stand/guard"
)

func init() {
	commands["guards"] = command{help: "remove each guard from a copy of the tree and check that its test fails", run: runGuards}
}

// guardFlags holds the flags of the guards subcommand.
type guardFlags struct {
	root     string
	name     string
	parallel int
	markdown bool
}

func runGuards(ctx context.Context, args []string, out, errs io.Writer) int {
	var gfl guardFlags
	fls := flag.NewFlagSet("guards", flag.ContinueOnError)
	fls.SetOutput(errs)
	fls.StringVar(&gfl.root, "root", ".", "root directory of the source tree")
	fls.StringVar(&gfl.name, "name", "*", "pattern of the names of the guards to test")
	fls.IntVar(&gfl.parallel, "parallel", 2, "most guards tested at once; each builds and tests a copy of the tree")
	fls.BoolVar(&gfl.markdown, "markdown", false, "write the page docs/guards.md instead of one line for each guard")
	if err := fls.Parse(args); err != nil {
		return exitUsage
	}
	files, err := filepath.Glob(filepath.Join(gfl.root, "test", "guards", gfl.name+".guard"))
	if err != nil || len(files) == 0 {
		fmt.Fprintf(errs, "lovagestand: no guards match %q\n", gfl.name)
		return exitFailed
	}
	rows := gfl.testAll(ctx, files)
	if gfl.markdown {
		printGuardPage(out, rows)
	}
	code := exitOK
	for _, row := range rows {
		if !row.res.Killed() {
			code = exitFailed
		}
		if !gfl.markdown || !row.res.Killed() {
			fmt.Fprintln(errs, row)
		}
	}
	return code
}

// guardRow is the result for one guard.
type guardRow struct {
	mut guard.Mutant
	res guard.Result
	err error
}

// String returns the result as one line.
func (row guardRow) String() string {
	switch {
	case row.err != nil:
		return "lovagestand: " + row.err.Error()
	case !row.res.Killed():
		return fmt.Sprintf("%-28s survived: the test passes without the guard", row.mut.Name())
	}
	return fmt.Sprintf("%-28s killed: %s", row.mut.Name(), row.res.Failure())
}

// testAll tests the guards concurrently; the rows are in the order of the files.
func (gfl guardFlags) testAll(ctx context.Context, files []string) []guardRow {
	rows := make([]guardRow, len(files))
	var grp errgroup.Group
	grp.SetLimit(gfl.parallel)
	for i, file := range files {
		grp.Go(func() error {
			mut, err := guard.Read(file)
			rows[i] = guardRow{mut: mut, err: err}
			if err == nil {
				rows[i].res, rows[i].err = mut.Test(ctx, gfl.root)
			}
			return nil
		})
	}
	// Never fails: errors are in the rows.
	_ = grp.Wait()
	return rows
}

func printGuardPage(out io.Writer, rows []guardRow) {
	fmt.Fprint(out, `# Guards taken out

Made by `+"`go run ./cmd/lovagestand guards -markdown > docs/guards.md`"+`. Each row is a
case under `+"`test/guards`"+`: the guard is taken out of a copy of the tree, and its
test must go red.

| Guard | What it keeps | Test | What was seen without it |
| --- | --- | --- | --- |
`)
	for _, row := range rows {
		seen := "survived: the test passes"
		if row.res.Killed() {
			seen = row.res.Failure()
		}
		fmt.Fprintf(out, "| %s | %s | `%s` | %s |\n", row.mut.Name(), row.mut.Guarantee(), strings.ReplaceAll(strings.Join(row.mut.TestArgs(), " "), "|", "\\|"), strings.ReplaceAll(seen, "|", "\\|"))
	}
}
