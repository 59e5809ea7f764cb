package core

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lovagestream/core/marks"
)

// script runs one section of a data file against a driver. A section has
// comments that describe the case, then one command a line; sections are
// separated by "---".
type script struct {
	drv *driver
	// lists holds the published lists; the first has revision 1.
	lists []map[string]State
}

// command is one command of the scripts.
type command struct {
	args int
	run  func(scr *script, arg []string) error
}

// want returns an error if a checked value differs from the expected one.
func want[T comparable](got, expected T) error {
	if got != expected {
		return fmt.Errorf("got %v", got)
	}
	return nil
}

func (scr *script) node(id string) *testNode {
	if nod := scr.drv.node(id); nod != nil {
		return nod
	}
	panic("no node " + id)
}

func (scr *script) nodes(word string) []*testNode {
	if word == "all" {
		return scr.drv.nodes
	}
	return []*testNode{scr.node(word)}
}

func (scr *script) publishList(arg []string) error {
	servers := map[string]State{}
	for _, wrd := range arg {
		id, stt, _ := strings.Cut(wrd, "=")
		servers[id] = State(stt)
	}
	scr.lists = append(scr.lists, servers)
	return nil
}

// readList lets nodes read the published list of a revision.
func (scr *script) readList(arg []string) error {
	num, err := strconv.Atoi(arg[1])
	if err != nil {
		return err
	}
	scr.drv.revision = uint64(num - 1)
	scr.drv.setList(scr.lists[num-1])
	for _, nod := range scr.nodes(arg[0]) {
		scr.drv.readList(nod)
	}
	return nil
}

func number(txt string) uint64 {
	num, err := strconv.ParseUint(txt, 10, 64)
	if err != nil {
		panic(err)
	}
	return num
}

var scriptCommands = map[string]command{
	"start": {1, func(scr *script, arg []string) error {
		for _, nod := range scr.nodes(arg[0]) {
			scr.drv.restart(nod, arg[1:]...)
		}
		return nil
	}},
	"list":      {0, (*script).publishList},
	"read-list": {2, (*script).readList},
	"publish":   {1, func(scr *script, arg []string) error { scr.drv.publish(arg[0]); return nil }},
	"read": {2, func(scr *script, arg []string) error {
		scr.drv.readConfig(scr.node(arg[0]), int(number(arg[1])))
		return nil
	}},
	"read-other": {3, func(scr *script, arg []string) error {
		doc := testDocument(number(arg[1]), arg[2], scr.drv.zones())
		scr.drv.step(scr.node(arg[0]), NewConfigRead(SourcePlatform, doc))
		return nil
	}},
	"boot": {3, func(scr *script, arg []string) error {
		doc := testDocument(number(arg[1]), arg[2], scr.drv.zones())
		scr.drv.step(scr.node(arg[0]), NewConfigRead(SourceBoot, doc))
		return nil
	}},
	"read-text": {2, func(scr *script, arg []string) error {
		scr.drv.step(scr.node(arg[0]), NewConfigRead(SourcePlatform, []byte(strings.Join(arg[1:], " "))))
		return nil
	}},
	"run": {1, func(scr *script, arg []string) error {
		length, err := time.ParseDuration(arg[0])
		scr.drv.run(length, nil)
		return err
	}},
	"pause": {1, func(scr *script, arg []string) error { scr.node(arg[0]).paused = true; return nil }},
	"wake":  {1, func(scr *script, arg []string) error { scr.drv.wake(scr.node(arg[0])); return nil }},
	"kill":  {1, func(scr *script, arg []string) error { scr.node(arg[0]).up = false; return nil }},
	"stop":  {1, func(scr *script, arg []string) error { scr.drv.step(scr.node(arg[0]), NewStop()); return nil }},
	"cut": {2, func(scr *script, arg []string) error {
		scr.drv.cut[[2]string{arg[0], arg[1]}] = true
		return nil
	}},
	"join": {0, func(scr *script, _ []string) error { scr.drv.cut = map[[2]string]bool{}; return nil }},
	"incarnation": {2, func(scr *script, arg []string) error {
		scr.node(arg[0]).start = number(arg[1]) - 1
		return nil
	}},
	"server-leaving": {2, func(scr *script, arg []string) error {
		scr.drv.step(scr.node(arg[0]), NewServerLeaving(arg[1]))
		return nil
	}},
	"crash": {3, func(scr *script, arg []string) error {
		scr.drv.step(scr.node(arg[0]), NewServerCrashed(marks.NewCrash(arg[1], scr.drv.now), marks.Fingerprint(number(arg[2]))))
		return nil
	}},
	"answered": {2, func(scr *script, arg []string) error {
		scr.drv.step(scr.node(arg[0]), NewRequestAnswered(marks.Fingerprint(number(arg[1]))))
		return nil
	}},
	"is-crashes": {3, func(scr *script, arg []string) error {
		for _, nod := range scr.nodes(arg[0]) {
			if err := want(uint64(len(nod.ctl.View().Marks().Crashes(marks.Fingerprint(number(arg[1]))))), number(arg[2])); err != nil {
				return fmt.Errorf("%s: %w", nod.id, err)
			}
		}
		return nil
	}},
	"is-revision": {2, func(scr *script, arg []string) error {
		for _, nod := range scr.nodes(arg[0]) {
			doc := nod.ctl.View().Config()
			if doc == nil {
				return want("none", arg[1])
			}
			if err := want(doc.Revision(), number(arg[1])); err != nil {
				return err
			}
		}
		return nil
	}},
	"is-preset": {2, func(scr *script, arg []string) error {
		return want(scr.node(arg[0]).ctl.View().Config().Preset().Name(), arg[1])
	}},
	"is-ready": {2, func(scr *script, arg []string) error {
		return want(strconv.FormatBool(scr.node(arg[0]).ctl.View().Ready()), arg[1])
	}},
	"is-stale": {2, func(scr *script, arg []string) error {
		return want(strconv.FormatBool(scr.node(arg[0]).ctl.View().Stale(scr.drv.now)), arg[1])
	}},
	"is-refusals": {2, func(scr *script, arg []string) error {
		return want(uint64(len(scr.node(arg[0]).ctl.View().Refusals())), number(arg[1]))
	}},
	"is-refused-for": {2, func(scr *script, arg []string) error {
		rfs := scr.node(arg[0]).ctl.View().Refusals()
		if text := rfs[len(rfs)-1].Err().Error(); !strings.Contains(text, strings.Join(arg[1:], " ")) {
			return fmt.Errorf("got %s", text)
		}
		return nil
	}},
	"is-open": {3, func(scr *script, arg []string) error {
		for _, nod := range scr.nodes(arg[0]) {
			if err := want(strconv.FormatBool(nod.selectable(arg[1])), arg[2]); err != nil {
				return fmt.Errorf("%s: %w", nod.id, err)
			}
		}
		return nil
	}},
	"is-member": {3, func(scr *script, arg []string) error {
		for _, mem := range scr.node(arg[0]).ctl.View().Members() {
			if mem.ID() == arg[1] {
				return want(string(mem.State()), arg[2])
			}
		}
		return want("none", arg[2])
	}},
	"is-readers": {2, func(scr *script, arg []string) error {
		num := uint64(0)
		for _, nod := range scr.drv.nodes {
			if nod.up && nod.ctl.View().Watches(PublishedValue(arg[0])) {
				num++
			}
		}
		return want(num, number(arg[1]))
	}},
}

func TestFleetScripts(t *testing.T) {
	paths, err := filepath.Glob("testdata/fleet/*.txt")
	require.NoError(t, err)
	require.NotEmpty(t, paths)
	for _, path := range paths {
		t.Run(strings.TrimSuffix(filepath.Base(path), ".txt"), func(t *testing.T) { runScript(t, path) })
	}
}

func runScript(t *testing.T, path string) {
	file, err := os.Open(path)
	require.NoError(t, err)
	defer func() { require.NoError(t, file.Close()) }()
	scr := &script{drv: newDriver([]string{"north", "south"}, 2)}
	lines := bufio.NewScanner(file)
	for num := 1; lines.Scan(); num++ {
		words := strings.Fields(lines.Text())
		switch {
		case len(words) == 0 || strings.HasPrefix(words[0], "#"):
			continue
		case words[0] == "---":
			scr = &script{drv: newDriver([]string{"north", "south"}, 2)}
			continue
		}
		cmd, found := scriptCommands[words[0]]
		require.True(t, found && len(words) > cmd.args, "%s:%d: no command %q, or too few arguments", path, num, words[0])
		require.NoError(t, cmd.run(scr, words[1:]), "%s:%d: %s", path, num, lines.Text())
	}
	require.NoError(t, lines.Err())
}
