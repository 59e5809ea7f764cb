// Command play runs the cases of the review that can't be put as days of the bench. It
// starts the product's processes and stand-ins of clients, servers and the store.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// cases are the cases by name. Each gets the path of its record and whether the disruption
// takes place.
var cases = map[string]func(ctx context.Context, path string, trouble bool) (broken bool, err error){
	"late-stage-answer": lateStageAnswer,
	"head-before-event": headBeforeEvent,
	"version-in-place":  versionInPlace,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: play CASE RECORD")
		os.Exit(exitFailed)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	broken, err := cases[os.Args[1]](ctx, os.Args[2], os.Getenv("TROUBLE") != "0")
	stop()
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "play:", err)
		os.Exit(exitFailed)
	case broken:
		os.Exit(exitBroken)
	}
	os.Exit(exitHeld)
}
