package runner

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lovagestream/core/config"
	"lovagestream/core/marks"
	"lovagestream/core/route"
)

// knownCrashes is a prober that has the crashes of a table.
type knownCrashes struct{ tab *marks.Table }

func (kno knownCrashes) CrashTable() *marks.Table { return kno.tab }

func (knownCrashes) Answered(marks.Fingerprint) {}

func (kno knownCrashes) CheckCrash(context.Context, *route.Server, marks.Fingerprint, time.Time) (marks.Crash, bool) {
	return marks.Crash{}, false
}

// An innocent request was in flight at two crashes beside the one that causes them. It
// must get another server, also at another instance, and neither gets a crashed one.
func TestSuspectsGetDifferentServers(t *testing.T) {
	doc, err := config.Read("test", []byte(testConfig))
	require.NoError(t, err)
	now := time.Unix(1000, 0)
	var servers []*route.Server
	for _, id := range []string{"a", "b", "c", "d"} {
		servers = append(servers, route.NewServer(id, id, "here", "engines"))
	}
	bad := NewRequest("r1", doc, doc.Accounts()[0], doc.Pipeline("draft"), []byte(`{"text":"bad"}`), now)
	good := NewRequest("r2", doc, doc.Accounts()[0], doc.Pipeline("draft"), []byte(`{"text":"good"}`), now)
	var tab *marks.Table
	for _, id := range []string{"a", "b"} {
		tab = tab.With(now, marks.NewCrash(id, now), bad.fingerprint(), good.fingerprint())
	}
	one, two := (&Runner{}).WithProber(knownCrashes{tab}), (&Runner{}).WithProber(knownCrashes{tab})
	require.True(t, one.isSuspect(bad))
	require.True(t, two.isSuspect(good))
	crashed := one.crashed(now.Add(crashAvoidTime/2), servers)
	require.Equal(t, servers[:2], crashed)
	require.Empty(t, one.crashed(now.Add(2*crashAvoidTime), servers))
	require.NotSame(t, one.isolate(bad, servers[2:]), two.isolate(good, servers[2:]))
	require.Nil(t, one.isolate(bad, servers[3:]), "no choice")
}
