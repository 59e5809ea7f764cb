package marks

import (
	"bufio"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"
)

// TestScripts runs every script in testdata; its head says which failure it guards against.
func TestScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.script")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".script"), func(t *testing.T) {
			doc, err := os.Open(file)
			require.NoError(t, err)
			defer func() { _ = doc.Close() }()
			env := &scriptEnv{now: epoch, names: map[string]bool{}}
			for scn := bufio.NewScanner(doc); scn.Scan(); {
				if words := strings.Fields(scn.Text()); len(words) > 0 && words[0] != "#" {
					env.do(t, words, scn.Text())
				}
			}
		})
	}
}

// scriptEnv is the state of one script. names are the requests that it named.
type scriptEnv struct {
	tab   *Table
	now   time.Time
	names map[string]bool
}

// request returns the request that a text names: the whole request, and the parts of its prompt
// behind plus signs.
func request(text string) Request {
	var req Request
	for _, name := range strings.Split(text, "+") {
		req = append(req, Fingerprint(xxhash.Sum64String(name)))
	}
	return req
}

func (env *scriptEnv) do(t *testing.T, words []string, line string) {
	if words[0] == "at" {
		after, err := time.ParseDuration(words[1])
		require.NoError(t, err, line)
		env.now, words = epoch.Add(after), words[2:]
	}
	switch words[0] {
	case "crash":
		for _, name := range words[2:] {
			env.names[name] = true
			env.tab = env.tab.WithReports(env.now, []Report{{Request: request(name), Crash: NewCrash(words[1], env.now).WithEnd()}})
		}
	case "answer":
		env.tab = env.tab.WithAnswer(env.now, words[1], env.now)
	case "sound":
		env.tab = env.tab.WithSound(env.now, env.now, request(words[1])...)
	case "restart":
		for _, srv := range words[1:] {
			env.tab = env.tab.WithRestart(env.now, srv)
		}
	case "crashes":
		num, err := strconv.Atoi(words[2])
		require.NoError(t, err, line)
		require.Len(t, env.tab.Crashes(request(words[1]).Whole()), num, line)
	case "refused":
		want := map[string]bool{}
		for _, name := range words[1:] {
			want[name] = true
		}
		for name := range env.names {
			_, refused := env.tab.Cause(env.now, request(name))
			require.Equal(t, want[name], refused, "%s: %s", line, name)
		}
	case "refuses", "passes":
		for _, name := range words[1:] {
			_, refused := env.tab.Cause(env.now, request(name))
			require.Equal(t, words[0] == "refuses", refused, "%s: %s", line, name)
		}
	default:
		require.Fail(t, "unknown command", line)
	}
}
