// Package guard does mutation testing: it removes one at a time the checks in the
// code that keep the system's guarantees, and verifies that a test fails without
// each. It works on a copy of the source tree.
//
// It is a developer tool and runs the go command, which the product never does.
package guard

import (
	"bytes"
	"context"
	"fmt"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"strings"

	"github.com/pkg/errors"
	"golang.org/x/tools/txtar"
)

// Mutant is a change that removes one guard from the source, with the test that must
// fail then.
type Mutant struct {
	name string
	// guarantee describes what the guard ensures.
	guarantee string
	// testArgs are the arguments of go test for the test that must fail.
	testArgs []string
	// edits together remove the guard, which may stand in several places.
	edits []edit
}

// edit replaces a text that occurs exactly once in a file.
type edit struct {
	file string
	old  string
	new  string
}

// Name returns the name, which is that of the file without its extension.
func (mut Mutant) Name() string { return mut.name }

// Guarantee returns the description of what the guard ensures.
func (mut Mutant) Guarantee() string { return mut.guarantee }

// TestArgs returns the arguments of go test.
func (mut Mutant) TestArgs() []string { return mut.testArgs }

// Result is the result of a test without the guard.
type Result struct {
	// killed is set if the test failed, as it must.
	killed bool
	// failure is the line of the output that says what failed.
	failure string
}

// Killed reports whether the test failed, as it must.
func (res Result) Killed() bool { return res.killed }

// Failure returns the line of the output that says what failed.
func (res Result) Failure() string { return res.failure }

// Read reads a mutant from a txtar archive: a description, a line "run:" with the
// arguments of go test, and for each edit a file "old PATH" followed by a file
// "new PATH".
func Read(path string) (Mutant, error) {
	arc, err := txtar.ParseFile(path)
	if err != nil {
		return Mutant{}, errors.Wrap(err, "read guard")
	}
	mut := Mutant{name: strings.TrimSuffix(filepath.Base(path), ".guard")}
	var description []string
	for _, line := range strings.Split(strings.TrimSpace(string(arc.Comment)), "\n") {
		if args, found := strings.CutPrefix(line, "run: "); found {
			mut.testArgs = strings.Fields(args)
			continue
		}
		description = append(description, line)
	}
	mut.guarantee = strings.Join(description, " ")
	for i := 0; i+1 < len(arc.Files); i += 2 {
		file, found := strings.CutPrefix(arc.Files[i].Name, "old ")
		if !found || arc.Files[i+1].Name != "new "+file {
			return Mutant{}, errors.Errorf("%s: want a file %q after each file \"old PATH\"", path, "new PATH")
		}
		mut.edits = append(mut.edits, edit{file: file, old: text(arc.Files[i]), new: text(arc.Files[i+1])})
	}
	if len(mut.testArgs) == 0 || len(mut.edits) == 0 {
		return Mutant{}, errors.Errorf("%s: want a line \"run:\" and at least one pair of files \"old PATH\" and \"new PATH\"", path)
	}
	return mut, nil
}

func text(fil txtar.File) string { return strings.TrimSuffix(string(fil.Data), "\n") }

// CheckApplies returns an error unless each edit's text occurs exactly once in its file.
// This detects a guard whose source has changed since.
func (mut Mutant) CheckApplies(root string) error {
	for _, edt := range mut.edits {
		raw, err := os.ReadFile(filepath.Join(root, edt.file))
		if err != nil {
			return errors.Wrap(err, mut.name)
		}
		if num := strings.Count(string(raw), edt.old); num != 1 {
			return errors.Errorf("%s: the guard's text occurs %d times in %s, want once", mut.name, num, edt.file)
		}
	}
	return nil
}

func (edt edit) apply(root string) error {
	path := filepath.Join(root, edt.file)
	raw, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	return os.WriteFile(path, bytes.Replace(raw, []byte(edt.old), []byte(edt.new), 1), 0o600)
}

// Test copies the tree, removes the guard from the copy and runs the test there.
func (mut Mutant) Test(ctx context.Context, root string) (Result, error) {
	if err := mut.CheckApplies(root); err != nil {
		return Result{}, err
	}
	dir, err := os.MkdirTemp("", "lovagestream-guard")
	if err != nil {
		return Result{}, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	if err := copyTree(root, dir); err != nil {
		return Result{}, errors.Wrap(err, "copy the tree")
	}
	for _, edt := range mut.edits {
		if err := edt.apply(dir); err != nil {
			return Result{}, errors.Wrap(err, mut.name)
		}
	}
	// A copy that doesn't build would fail the test for the wrong reason.
	if out, err := command(ctx, dir, "build", "./...").CombinedOutput(); err != nil {
		return Result{}, errors.Errorf("%s: the tree without the guard doesn't build:\n%s", mut.name, out)
	}
	out, err := command(ctx, dir, append([]string{"test", "-count=1"}, mut.testArgs...)...).CombinedOutput()
	if err == nil {
		return Result{}, nil
	}
	return Result{killed: true, failure: firstFailure(string(out))}, nil
}

func command(ctx context.Context, dir string, args ...string) *exec.Cmd {
	cmd := exec.CommandContext(ctx, "go", args...)
	cmd.Dir = dir
	return cmd
}

// firstFailure returns the line of the output that says what failed.
func firstFailure(out string) string {
	for _, mark := range []string{"FAIL: testdata/", "panic:", "Error:", "--- FAIL"} {
		for _, line := range strings.Split(out, "\n") {
			txt := strings.TrimSpace(line)
			if strings.HasPrefix(txt, mark) {
				return fmt.Sprintf("%.160s", txt)
			}
		}
	}
	return fmt.Sprintf("%.120s", out)
}

func copyTree(src, dst string) error {
	return filepath.WalkDir(src, func(path string, ent fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		rel, err := filepath.Rel(src, path)
		if err != nil {
			return err
		}
		if ent.IsDir() {
			if ent.Name() == ".git" {
				return filepath.SkipDir
			}
			return os.MkdirAll(filepath.Join(dst, rel), 0o750)
		}
		if !ent.Type().IsRegular() {
			return nil
		}
		raw, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		return os.WriteFile(filepath.Join(dst, rel), raw, 0o600)
	})
}
