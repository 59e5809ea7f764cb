package main

import (
	"fmt"
	"os"

	"github.com/pkg/errors"
)

// verdict is the exit code of a script.
type verdict int

const (
	held   verdict = 0
	broken verdict = 1
	failed verdict = 2
)

// scripts are the scripts by name.
var scripts = map[string]func(*World) (verdict, error){
	"stop-waiting": stopWaiting,
	"late-release": lateRelease,
	"in-place":     inPlace,
	"cut-path":     cutPath,
	"versions":     versions,
	"cut-watch":    cutWatch,
	"take-up":      takeUp,
}

func main() {
	if len(os.Args) != 3 || scripts[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: again SCRIPT RECORD")
		os.Exit(int(failed))
	}
	os.Exit(int(play(os.Args[1], os.Args[2])))
}

// play plays one script and writes its record.
func play(name, record string) verdict {
	wld, err := newWorld(os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	got, err := scripts[name](wld)
	if err != nil {
		wld.Note("the script could not run: %v", err)
		got = failed
	}
	wld.Note("verdict: %s", map[verdict]string{held: "the rule held", broken: "the rule was broken", failed: "could not run"}[got])
	wld.Close(record)
	return got
}

var errNotSetUp = errors.New("the deployment could not be set up as the case needs it")
