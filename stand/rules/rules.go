// Package rules checks the source for project rules that common linters don't
// cover: goroutines only through a group, no clock and no I/O in core, and the
// length of package names. CI runs it over the tree.
package rules

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"sort"
	"strings"

	"github.com/pkg/errors"
)

// Violation is a place in the source that violates a rule.
type Violation struct {
	rule   string
	pos    token.Position
	detail string
}

// Rule returns the name of the rule.
func (vio Violation) Rule() string { return vio.rule }

// String returns position, rule and detail in one line.
func (vio Violation) String() string {
	return fmt.Sprintf("%s:%d: %s: %s", vio.pos.Filename, vio.pos.Line, vio.rule, vio.detail)
}

// Names of the rules.
const (
	// BareGo forbids goroutines outside a group, since nothing waits for their end.
	BareGo = "bare-go"
	// CoreImport forbids I/O packages in core, which must run on any clock and network.
	CoreImport = "core-import"
	// CoreClock forbids reading the clock in core, since decisions would depend on the
	// machine.
	CoreClock = "core-clock"
	// CoreRandom forbids unseeded random numbers in core, since decisions would differ
	// from run to run.
	CoreRandom = "core-random"
	// PackageName requires package names of four to six letters.
	PackageName = "package-name"
	// ProductImport forbids the product to import test packages.
	ProductImport = "product-import"
	// UnitName forbids a unit in the name of a time.Duration, whose type has it.
	UnitName = "unit-name"
)

// forbiddenInCore are the imports forbidden in core. The standard package io is
// allowed: it has interfaces and errors, and does no I/O itself.
var forbiddenInCore = []string{"net", "net/http", "os", "os/exec", "syscall", "google.golang.org/grpc", "lovagestream/io", "lovagestream/stand", "github.com/sirupsen/logrus"}

// clockCalls are the functions of package time that read the clock or wait on it.
var clockCalls = map[string]bool{"Now": true, "After": true, "Sleep": true, "NewTimer": true, "NewTicker": true, "Tick": true, "AfterFunc": true, "Since": true, "Until": true}

// seededCalls are the functions of math/rand/v2 that create a source or a generator.
// The other functions use the global source.
var seededCalls = map[string]bool{"New": true, "NewPCG": true, "NewChaCha8": true, "NewZipf": true}

// nameExceptions are package names fixed by the language or the folder layout.
var nameExceptions = map[string]bool{"main": true, "io": true}

// Check checks every Go file below a root and returns the violations, sorted by
// their text.
func Check(root string) ([]Violation, error) {
	chk := &checker{root: root, set: token.NewFileSet()}
	err := filepath.WalkDir(root, func(path string, ent fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if ent.IsDir() && (strings.HasPrefix(ent.Name(), ".") && path != root || ent.Name() == "testdata") {
			return filepath.SkipDir
		}
		if strings.HasSuffix(path, ".go") && !strings.HasSuffix(path, ".pb.go") {
			return chk.checkFile(path)
		}
		return nil
	})
	if err != nil {
		return nil, errors.Wrap(err, "check rules")
	}
	sort.Slice(chk.found, func(i, j int) bool { return chk.found[i].String() < chk.found[j].String() })
	return chk.found, nil
}

type checker struct {
	root  string
	set   *token.FileSet
	found []Violation
}

func (chk *checker) add(rule string, pos token.Pos, detail string) {
	chk.found = append(chk.found, Violation{rule: rule, pos: chk.set.Position(pos), detail: detail})
}

func (chk *checker) checkFile(path string) error {
	fil, err := parser.ParseFile(chk.set, path, nil, parser.SkipObjectResolution)
	if err != nil {
		return err
	}
	rel, err := filepath.Rel(chk.root, path)
	if err != nil {
		return err
	}
	rel = filepath.ToSlash(rel)
	inGroup := strings.HasPrefix(rel, "io/group/")
	inCore := strings.HasPrefix(rel, "core/") && !strings.HasSuffix(rel, "_test.go")
	chk.checkPackageName(fil)
	chk.checkImports(fil, rel, inCore)
	ast.Inspect(fil, func(nod ast.Node) bool {
		switch got := nod.(type) {
		case *ast.GoStmt:
			if !inGroup {
				chk.add(BareGo, got.Pos(), "start it through lovagestream/io/group")
			}
		case *ast.SelectorExpr:
			if inCore {
				chk.checkSelector(got)
			}
		case *ast.Field:
			chk.checkField(got)
		}
		return true
	})
	return nil
}

func (chk *checker) checkPackageName(fil *ast.File) {
	name := strings.TrimSuffix(fil.Name.Name, "_test")
	if nameExceptions[name] {
		return
	}
	if len(name) < 4 || len(name) > 6 {
		chk.add(PackageName, fil.Name.Pos(), name+" does not have four to six letters")
	}
}

func (chk *checker) checkImports(fil *ast.File, rel string, inCore bool) {
	product := strings.HasPrefix(rel, "core/") || strings.HasPrefix(rel, "io/") || strings.HasPrefix(rel, "cmd/lovagestream/")
	if strings.HasSuffix(rel, "_test.go") {
		product = false
	}
	for _, imp := range fil.Imports {
		path := strings.Trim(imp.Path.Value, `"`)
		if product && strings.HasPrefix(path, "lovagestream/stand") {
			chk.add(ProductImport, imp.Pos(), path)
		}
		if !inCore {
			continue
		}
		for _, forbidden := range forbiddenInCore {
			if path == forbidden || strings.HasPrefix(path, forbidden+"/") {
				chk.add(CoreImport, imp.Pos(), path)
				break
			}
		}
	}
}

func (chk *checker) checkSelector(sel *ast.SelectorExpr) {
	pkg, ok := sel.X.(*ast.Ident)
	if !ok {
		return
	}
	switch {
	case pkg.Name == "time" && clockCalls[sel.Sel.Name]:
		chk.add(CoreClock, sel.Pos(), "time."+sel.Sel.Name)
	case pkg.Name == "rand" && !seededCalls[sel.Sel.Name] && isDraw(sel.Sel.Name):
		chk.add(CoreRandom, sel.Pos(), "rand."+sel.Sel.Name)
	}
}

// isDraw reports whether a name of package rand is a function and not a type.
func isDraw(name string) bool {
	return name != "Rand" && name != "Source" && name != "PCG" && name != "ChaCha8" && name != "Zipf"
}

var unitSuffixes = []string{"Ms", "Millis", "Seconds", "Secs", "Nanos", "Micros"}

// checkField reports fields and parameters of type Duration with a unit in the name.
func (chk *checker) checkField(fie *ast.Field) {
	sel, ok := fie.Type.(*ast.SelectorExpr)
	if !ok || sel.Sel.Name != "Duration" {
		return
	}
	for _, nam := range fie.Names {
		for _, end := range unitSuffixes {
			if strings.HasSuffix(nam.Name, end) {
				chk.add(UnitName, nam.Pos(), nam.Name+" is a time.Duration")
			}
		}
	}
}
