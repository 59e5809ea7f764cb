package edge

import (
	"bytes"
	"context"
	"net"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"lovagestream/core/call"
	"lovagestream/core/member"
	"lovagestream/core/sched"
	"lovagestream/core/stock"
	"lovagestream/core/table"
	"lovagestream/io/clock"
	"lovagestream/io/conns"
	"lovagestream/io/follow"
	"lovagestream/io/gauge"
	"lovagestream/io/group"
	"lovagestream/io/lines"
	"lovagestream/io/mesh"
)

// fakeLinks records what is sent.
type fakeLinks struct {
	down         map[string]bool
	sent         map[string][]mesh.Message
	disconnected []string
}

func (lnk *fakeLinks) Send(address string, msg mesh.Message) bool {
	if lnk.down[address] {
		return false
	}
	lnk.sent[address] = append(lnk.sent[address], msg)
	return true
}

func (lnk *fakeLinks) Dial(string) {}
func (lnk *fakeLinks) Disconnect(address string) {
	lnk.disconnected = append(lnk.disconnected, address)
}

// messagesOf returns the messages of one type sent to a peer.
func messagesOf[T mesh.Message](lnk *fakeLinks, address string) []T {
	var out []T
	for _, msg := range lnk.sent[address] {
		if got, ok := msg.(T); ok {
			out = append(out, got)
		}
	}
	return out
}

// versionDecoder decodes a document that consists of its version.
type versionDecoder struct{}

func (versionDecoder) Config(doc []byte) (*table.Table, error) {
	num, err := strconv.ParseInt(string(doc), 10, 64)
	if err != nil {
		return nil, errors.Wrap(err, "test")
	}
	return table.New(num, nil, []*table.Service{{Name: "m", Model: &table.Model{Slots: 8, CacheTokens: 1 << 20}}}, nil, table.Limits{}), nil
}

// logLines returns the lines of a kind that ctl has logged to out.
func logLines(t *testing.T, ctl *Control, out *bytes.Buffer, kind string) []string {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	require.NoError(t, ctl.log.Run(ctx))
	var got []string
	for _, lin := range strings.Split(out.String(), "\n") {
		if strings.Contains(lin, `"msg":"`+kind+`"`) {
			got = append(got, lin)
		}
	}
	return got
}

func newControl(t *testing.T) (*Control, *fakeLinks) {
	t.Helper()
	grp := group.New(context.Background())
	t.Cleanup(grp.Stop)
	log := lines.New(&bytes.Buffer{}, clock.System{})
	ctl := NewControl(Settings{AdvertisedAddr: "b", Zone: "z", MilliCPU: 400, RetryRatio: 0.2, RetrySlack: 10, RetryWindow: 10 * time.Second}, clock.System{}, versionDecoder{}, log, 20)
	lnk := &fakeLinks{down: map[string]bool{}, sent: map[string][]mesh.Message{}}
	ctl.lnk = lnk
	ctl.calls = newStageCaller(nil, nil, clock.System{}, grp, log, gauge.New(), ctl)
	return ctl, lnk
}

func engineRecord(id string, revision stock.Revision) stock.Record {
	return stock.Record{Revision: revision, Entry: stock.Entry{ID: id, Service: "m", Address: id, Zone: "z", Slots: 8}}
}

func (ctl *Control) applyAll(evts ...event) {
	for _, evt := range evts {
		evt.apply(ctl, ctl.clk.Now())
	}
	ctl.publish(ctl.clk.Now())
}

func loadState(ctl *Control) {
	ctl.applyAll(evConfig{doc: []byte("3")}, evServers{list: follow.Listing{Revision: 5, Records: []stock.Record{engineRecord("e", 4)}}, full: true}, evStoreResult{})
	ctl.heartbeat(ctl.clk.Now())
}

// After a pause, a process must not act on its earlier state, nor on messages
// that arrive on links from before the pause.
func TestResumedProcessRequiresFreshState(t *testing.T) {
	ctl, lnk := newControl(t)
	loadState(ctl)
	ctl.applyAll(evLinked{mem: member.Member{Address: "a", Zone: "z", StartedAt: 1}})
	require.True(t, ctl.Ready())
	asked := 0
	ctl.rereadStore = func() { asked++ }
	ctl.resume(ctl.clk.Now(), 4*time.Second)
	ctl.applyAll(evMessage{from: "a", msg: mesh.Config{Version: 3, Document: []byte("3")}}, evMessage{from: "a", msg: mesh.Servers{List: []stock.Record{engineRecord("e", 4)}}})
	require.False(t, ctl.View().Verified)
	require.False(t, ctl.Ready())
	require.True(t, ctl.Duty().Reads)
	require.Equal(t, 1, asked)
	require.Equal(t, []string{"a"}, lnk.disconnected)
	ctl.applyAll(evUnlinked{address: "a"}, evLinked{mem: member.Member{Address: "a", Zone: "z", StartedAt: 1}},
		evMessage{from: "a", msg: mesh.Config{Version: 4, Document: []byte("4")}},
		evMessage{from: "a", msg: mesh.Servers{List: []stock.Record{{Revision: 9, Removed: true, Entry: stock.Entry{ID: "e"}}}}})
	ctl.verify(ctl.clk.Now())
	ctl.publish(ctl.clk.Now())
	require.True(t, ctl.View().Verified)
	require.EqualValues(t, 4, ctl.View().Table.Version())
	require.Empty(t, ctl.View().Servers)
}

// A lower version or an undecodable document must not replace the configuration,
// whoever sends it.
func TestConfigurationNeverReverts(t *testing.T) {
	ctl, lnk := newControl(t)
	loadState(ctl)
	ctl.applyAll(evLinked{mem: member.Member{Address: "a", Zone: "z", StartedAt: 1}})
	ctl.applyAll(evMessage{from: "a", msg: mesh.Config{Document: []byte("7")}}, evConfig{doc: []byte("5")}, evConfig{doc: []byte("nonsense")})
	require.EqualValues(t, 7, ctl.View().Table.Version())
	ctl.applyAll(evConfig{doc: []byte("9")}, ctl.tick())
	beats := messagesOf[mesh.Heartbeat](lnk, "a")
	require.EqualValues(t, 9, beats[len(beats)-1].ConfigVersion, "peers are told with the next tick")
	ctl.applyAll(evMessage{from: "a", msg: mesh.AskConfig{Version: 7}})
	require.EqualValues(t, 9, messagesOf[mesh.Config](lnk, "a")[0].Version)
	require.Equal(t, "9", string(messagesOf[mesh.Config](lnk, "a")[0].Document))
}

// The coordinator dies while it has requests of this instance. Those without an
// engine must be submitted again; running ones must be reported to the next
// coordinator.
func TestRequestsSurviveCoordinatorLoss(t *testing.T) {
	ctl, lnk := newControl(t)
	loadState(ctl)
	ctl.applyAll(evLinked{mem: member.Member{Address: "a", Zone: "z", StartedAt: 1, MilliCPU: 400}}, evMessage{from: "a", msg: mesh.Heartbeat{Heartbeat: member.Heartbeat{Ready: true}}})
	ctl.updateDuties(ctl.clk.Now())
	require.Equal(t, "a", ctl.coordinator)
	one, two := make(chan sched.Decision, 1), make(chan sched.Decision, 1)
	spec := func(id string) sched.Spec {
		now := ctl.clk.Now()
		return sched.Spec{Key: sched.Key{Owner: "b", ID: id}, Service: "m", PromptTokens: 10, Arrived: now, Target: now.Add(time.Second), GiveUp: now.Add(4 * time.Second), Deadline: now.Add(9 * time.Second)}
	}
	ctl.applyAll(evSubmit{spec: spec("r1"), reply: one}, evSubmit{spec: spec("r2"), reply: two})
	require.Len(t, messagesOf[mesh.Submit](lnk, "a"), 2)
	ctl.applyAll(evMessage{from: "a", msg: mesh.Decision{Decision: sched.Decision{Key: sched.Key{Owner: "b", ID: "r1"}, Outcome: sched.Placed, Server: engineRecord("e", 4).Entry}}})
	require.Equal(t, sched.Placed, (<-one).Outcome)
	lnk.down["a"] = true
	ctl.applyAll(evUnlinked{address: "a"})
	require.Equal(t, "b", ctl.coordinator)
	require.Equal(t, sched.Placed, (<-two).Outcome, "placed by this instance")
	require.Equal(t, 2, ctl.sched.Jobs(), "the running request is counted")
	ctl.applyAll(evEnded{id: "r1"}, evEnded{id: "r2"})
	require.Zero(t, ctl.sched.Jobs())
	require.Empty(t, ctl.pending)
}

// A request that is lost together with its instance must have a log line that
// names its coordinator.
func TestLogNamesTheCoordinator(t *testing.T) {
	ctl, lnk := newControl(t)
	var out bytes.Buffer
	ctl.log = lines.New(&out, clock.System{})
	loadState(ctl)
	ctl.applyAll(evLinked{mem: member.Member{Address: "a", Zone: "z", StartedAt: 1, MilliCPU: 400}}, evMessage{from: "a", msg: mesh.Heartbeat{Heartbeat: member.Heartbeat{Ready: true}}})
	ctl.updateDuties(ctl.clk.Now())
	now := ctl.clk.Now()
	spec := sched.Spec{Key: sched.Key{Owner: "b", ID: "r1"}, Service: "m", PromptTokens: 10, Arrived: now, Target: now.Add(time.Second), GiveUp: now.Add(4 * time.Second), Deadline: now.Add(9 * time.Second)}
	ctl.applyAll(evSubmit{spec: spec, reply: make(chan sched.Decision, 1)})
	got := logLines(t, ctl, &out, "request-submitted")
	require.Len(t, got, 1)
	require.Contains(t, got[0], `"id":"r1"`)
	require.Contains(t, got[0], `"coordinator":"a"`)
	lnk.down["a"] = true
	ctl.applyAll(evUnlinked{address: "a"})
	got = logLines(t, ctl, &out, "request-submitted")
	require.Len(t, got, 2)
	require.Contains(t, got[1], `"coordinator":"b"`)
}

// The line of a started call may be dropped by the log's budget. The line of its
// failure must then still tell which requests were in it.
func TestFailedCallNamesItsRequests(t *testing.T) {
	ctl, _ := newControl(t)
	var out bytes.Buffer
	ctl.log = lines.New(&out, clock.System{})
	ctl.calls.cdc, ctl.calls.log = noStageCalls{}, ctl.log
	ctl.calls.start(sched.Call{Number: 7, Server: stock.Entry{ID: "p1", Service: "p"}, Items: []sched.Item{{ID: "r1", Piece: 0}, {ID: "r1", Piece: 1}, {ID: "r2"}}})
	<-ctl.events
	got := logLines(t, ctl, &out, "stage-call-failed")
	require.Len(t, got, 1)
	require.Contains(t, got[0], `"ids":["r1","r2"]`)
}

// stageDecoder decodes a configuration with one pool.
type stageDecoder struct{}

func (stageDecoder) Config([]byte) (*table.Table, error) {
	pool := &table.Service{Name: "p", Batch: &table.Batch{ConcurrentCalls: 1, MaxPieces: 8, CallTime: 100 * time.Millisecond, PieceTime: time.Millisecond, ResultMemory: 1 << 20, ResultLifetime: time.Minute}}
	return table.New(3, nil, []*table.Service{pool, {Name: "m", Model: &table.Model{Slots: 8, CacheTokens: 1 << 20}}}, nil, table.Limits{}), nil
}

// noStageCalls fails to encode any call, so that none is sent.
type noStageCalls struct{ StageCodec }

func (noStageCalls) EncodeStageCall(sched.Call) (string, string, []call.Field, []byte, error) {
	return "", "", nil, nil, errors.New("test: no calls are made")
}

// The log line of a pool must tell a peak of requests from a loss of servers.
func TestPoolStateLogsRequestedPieces(t *testing.T) {
	ctl, _ := newControl(t)
	ctl.dec = stageDecoder{}
	ctl.calls.cdc = noStageCalls{}
	var out bytes.Buffer
	ctl.log = lines.New(&out, clock.System{})
	entry := func(id string) stock.Record {
		return stock.Record{Revision: 4, Entry: stock.Entry{ID: id, Service: "p", Address: id, Zone: "z"}}
	}
	ctl.applyAll(evConfig{doc: []byte("3")}, evServers{list: follow.Listing{Revision: 5, Records: []stock.Record{engineRecord("e", 4), entry("p1"), entry("p2")}}, full: true}, evStoreResult{})
	spec := func(owner, id string, pieces int) sched.Spec {
		now := ctl.clk.Now()
		return sched.Spec{Key: sched.Key{Owner: owner, ID: id}, Service: "m", Stages: []table.Stage{{Service: "p", ResultSize: 1}}, Pieces: []int{pieces}, PieceKey: "k", PromptTokens: 10, Arrived: now, Target: now.Add(time.Second), GiveUp: now.Add(4 * time.Second), Deadline: now.Add(9 * time.Second)}
	}
	ctl.applyAll(evSubmit{spec: spec("b", "r1", 4), reply: make(chan sched.Decision, 1)}, evMessage{from: "a", msg: mesh.Submit{Spec: spec("a", "r2", 3)}})
	ctl.logPools(ctl.clk.Now())
	ctl.logPools(ctl.clk.Now())
	states := logLines(t, ctl, &out, "pool-state")
	require.Len(t, states, 2)
	require.Contains(t, states[0], `"asked":7,`, "pieces of requests of this and other instances")
	require.Contains(t, states[0], `"listed":2,`)
	require.Contains(t, states[1], `"asked":0,`, "reset each time")
}

// If another server answers at an address, nothing must be sent there until the
// server's entry changes.
func TestWrongServerGetsNoRequests(t *testing.T) {
	ctl, _ := newControl(t)
	loadState(ctl)
	ctl.applyAll(evWrongServer{ent: engineRecord("e", 4).Entry})
	require.Empty(t, ctl.View().Servers["m"])
	require.True(t, ctl.View().Unusable["e"])
	ctl.applyAll(evServers{list: follow.Listing{Revision: 9, Records: []stock.Record{engineRecord("e", 9)}}})
	require.Len(t, ctl.View().Servers["m"], 1)
}

// A peer whose digest differs must be asked for the difference, and only once.
func TestDivergedPeersAreAsked(t *testing.T) {
	ctl, lnk := newControl(t)
	loadState(ctl)
	ctl.applyAll(evLinked{mem: member.Member{Address: "a", Zone: "z", StartedAt: 1}})
	require.Empty(t, messagesOf[mesh.Servers](lnk, "a"), "nothing is sent without being asked for")
	now := ctl.clk.Now()
	ctl.compareDigest(now, "a", 77)
	ctl.compareDigest(now.Add(divergedDelay+time.Millisecond), "a", 77)
	ctl.compareDigest(now.Add(divergedDelay+200*time.Millisecond), "a", 77)
	require.Len(t, messagesOf[mesh.AskServers](lnk, "a"), 1)
	require.Equal(t, ctl.registry.Sums(), messagesOf[mesh.AskServers](lnk, "a")[0].Sums)
	ctl.compareDigest(now.Add(time.Minute), "a", ctl.registry.Digest())
	require.Empty(t, ctl.sync.divergedSince)
	ctl.applyAll(evMessage{from: "a", msg: mesh.AskServers{Sums: ctl.registry.Sums()}}, ctl.tick())
	require.Equal(t, []mesh.Servers{{}}, messagesOf[mesh.Servers](lnk, "a"), "both have the same records")
	ctl.applyAll(evMessage{from: "a", msg: mesh.AskServers{}}, ctl.tick())
	require.Equal(t, []stock.Record{engineRecord("e", 4)}, messagesOf[mesh.Servers](lnk, "a")[1].List)
}

// A peer whose answer brought nothing new must not be asked again right away.
func TestPeersWithNothingNewAreNotAskedAgain(t *testing.T) {
	ctl, lnk := newControl(t)
	loadState(ctl)
	ctl.applyAll(evLinked{mem: member.Member{Address: "a", Zone: "z", StartedAt: 1}})
	now := ctl.clk.Now()
	ask := func(past time.Duration, digest uint64) int {
		ctl.compareDigest(now.Add(past), "a", digest)
		return len(messagesOf[mesh.AskServers](lnk, "a"))
	}
	ask(0, 77)
	require.Equal(t, 1, ask(time.Second, 77))
	ctl.handleServers(now.Add(time.Second), "a", mesh.Servers{})
	require.Equal(t, 1, ask(20*time.Second, 77))
	require.Equal(t, 2, ask(20*time.Second, 78), "the peer's digest changed")
	ctl.handleServers(now.Add(20*time.Second), "a", mesh.Servers{})
	require.Equal(t, 3, ask(20*time.Second+noProgressBackoff+divergedRetryInterval, 78), "asked again after the backoff")
}

// Neither one part of an answer nor forwarded records verify a resumed process;
// the last part of the answer does.
func TestResumedProcessWaitsForTheWholeAnswer(t *testing.T) {
	ctl, lnk := newControl(t)
	loadState(ctl)
	ctl.applyAll(evLinked{mem: member.Member{Address: "a", Zone: "z", StartedAt: 1}})
	ctl.resume(ctl.clk.Now(), 4*time.Second)
	ctl.applyAll(evUnlinked{address: "a"}, evLinked{mem: member.Member{Address: "a", Zone: "z", StartedAt: 1}})
	ctl.applyAll(evMessage{from: "a", msg: mesh.Heartbeat{Heartbeat: member.Heartbeat{ConfigVersion: 3, ServerDigest: ctl.registry.Digest()}}})
	require.Len(t, messagesOf[mesh.AskServers](lnk, "a"), 1, "at once, though the digests are equal")
	require.Len(t, messagesOf[mesh.AskConfig](lnk, "a"), 1)
	ctl.applyAll(evMessage{from: "a", msg: mesh.Config{Version: 3}}, evMessage{from: "a", msg: mesh.Servers{Partial: true}}, evMessage{from: "a", msg: mesh.Servers{Pushed: true}})
	require.False(t, ctl.View().Verified)
	ctl.applyAll(evMessage{from: "a", msg: mesh.Servers{}})
	require.True(t, ctl.View().Verified)
}

// Settings may change with or without a signal. New seeds must be dialed even if
// their number stays the same.
func TestNewSeedsAreTried(t *testing.T) {
	ctl, _ := newControl(t)
	ctl.applyAll(evSettings{set: Settings{Seeds: []string{"s1"}}})
	require.Equal(t, []string{"s1"}, ctl.mem.DialTargets(ctl.clk.Now()))
	ctl.applyAll(evSettings{set: Settings{Seeds: []string{"s2"}}})
	require.Equal(t, []string{"s2"}, ctl.mem.DialTargets(ctl.clk.Now()))
}

// newHandedOver returns a control whose request r1 was submitted to peer a and
// has a result at a stage server, and the channel of the request's decisions.
func newHandedOver(t *testing.T) (*Control, *fakeLinks, chan sched.Decision) {
	t.Helper()
	ctl, lnk := newControl(t)
	loadState(ctl)
	stage := stock.Record{Revision: 5, Entry: stock.Entry{ID: "s", Service: "st", Address: "s:1", Zone: "z"}}
	ctl.applyAll(evServers{list: follow.Listing{Revision: 6, Records: []stock.Record{stage}}})
	ctl.applyAll(evLinked{mem: member.Member{Address: "a", Zone: "z", StartedAt: 1, MilliCPU: 400}}, evMessage{from: "a", msg: mesh.Heartbeat{Heartbeat: member.Heartbeat{Ready: true}}})
	ctl.applyAll(evLinked{mem: member.Member{Address: "c", Zone: "z", StartedAt: 2, MilliCPU: 400}}, evMessage{from: "c", msg: mesh.Heartbeat{Heartbeat: member.Heartbeat{Ready: true}}})
	ctl.updateDuties(ctl.clk.Now())
	require.Equal(t, "a", ctl.coordinator)
	out := make(chan sched.Decision, 1)
	now := ctl.clk.Now()
	ctl.applyAll(evSubmit{reply: out, spec: sched.Spec{
		Key: sched.Key{Owner: "b", ID: "r1"}, Service: "m", PromptTokens: 10, Stages: []table.Stage{{Service: "st", ResultSize: 10}}, Pieces: []int{2},
		Arrived: now, Target: now.Add(time.Second), GiveUp: now.Add(4 * time.Second), Deadline: now.Add(9 * time.Second),
	}})
	ctl.applyAll(evMessage{from: "a", msg: mesh.HeldResults{HeldResults: heldResults(ctl, 1, "h0")}})
	return ctl, lnk, out
}

func heldResults(ctl *Control, attempt uint64, handle string) sched.HeldResults {
	return sched.HeldResults{Key: sched.Key{Owner: "b", ID: "r1"}, Attempt: attempt, Server: "s", Pieces: []int{0}, Handles: []string{handle}, Expires: ctl.clk.Now().Add(3 * time.Second)}
}

// The coordinator is killed while a server holds a result of a request. The next
// coordinator must get the request together with that result.
func TestRequestsAreHandedOverWithResults(t *testing.T) {
	ctl, lnk, _ := newHandedOver(t)
	lnk.down["a"] = true
	ctl.applyAll(evUnlinked{address: "a"})
	got := messagesOf[mesh.Submit](lnk, "c")
	require.Len(t, got, 1)
	require.Len(t, got[0].Spec.HeldResults, 1)
	require.Equal(t, []string{"h0"}, got[0].Spec.HeldResults[0].Handles)
	require.Empty(t, ctl.frees)
	// A late report of the earlier coordinator: nobody needs the result.
	ctl.applyAll(evMessage{from: "a", msg: mesh.HeldResults{HeldResults: heldResults(ctl, 1, "h9")}})
	require.Equal(t, map[string][]string{"s:1": {"h9"}}, ctl.frees)
}

// When the coordinator is lost, results of a caller that left must not fill the
// memory of their server.
func TestResultsOfCanceledRequestsAreFreed(t *testing.T) {
	ctl, lnk, _ := newHandedOver(t)
	lnk.down["a"] = true
	ctl.applyAll(evWithdraw{id: "r1"})
	require.Equal(t, map[string][]string{"s:1": {"h0"}}, ctl.frees)
	ctl.applyAll(evMessage{from: "a", msg: mesh.HeldResults{HeldResults: heldResults(ctl, 1, "h1")}})
	require.Equal(t, []string{"h0", "h1"}, ctl.frees["s:1"])
}

// A live coordinator frees the results itself.
func TestLiveCoordinatorFreesResults(t *testing.T) {
	ctl, lnk, _ := newHandedOver(t)
	ctl.applyAll(evWithdraw{id: "r1"})
	require.Empty(t, ctl.frees)
	require.Len(t, messagesOf[mesh.Withdraw](lnk, "a"), 1)
}

// Results of an earlier attempt under the same ID must not be used for the
// present one.
func TestResultsOfAnEarlierAttemptAreNotTaken(t *testing.T) {
	ctl, _, _ := newHandedOver(t)
	old := ctl.pending["r1"].spec
	old.HeldResults = nil
	ctl.applyAll(evWithdraw{id: "r1"}, evSubmit{spec: old, reply: make(chan sched.Decision, 1)})
	ctl.applyAll(evMessage{from: "a", msg: mesh.HeldResults{HeldResults: heldResults(ctl, 1, "h1")}})
	require.Empty(t, ctl.pending["r1"].spec.HeldResults)
	require.Equal(t, map[string][]string{"s:1": {"h1"}}, ctl.frees)
}

// The engine of a request has fetched its inputs, and then the coordinator is
// lost. This instance must free the results and not hand them over.
func TestResultsAreFreedAtTheFirstEvent(t *testing.T) {
	ctl, lnk, _ := newHandedOver(t)
	ctl.applyAll(evMessage{from: "a", msg: mesh.Decision{Decision: sched.Decision{Key: sched.Key{Owner: "b", ID: "r1"}, Outcome: sched.Placed, Server: engineRecord("e", 4).Entry}}})
	lnk.down["a"] = true
	ctl.applyAll(evBegan{id: "r1"})
	require.Equal(t, map[string][]string{"s:1": {"h0"}}, ctl.frees)
	ctl.applyAll(evUnlinked{address: "a"})
	require.Empty(t, messagesOf[mesh.Adopt](lnk, "c")[0].Spec.HeldResults)
}

// A run ended without an answer, and the coordinator that placed it is gone. The
// request must be retried with its results, unless one of them is gone.
func TestRetriesKeepResults(t *testing.T) {
	for _, gone := range []bool{false, true} {
		ctl, lnk, out := newHandedOver(t)
		ctl.applyAll(evMessage{from: "a", msg: mesh.Decision{Decision: sched.Decision{Key: sched.Key{Owner: "b", ID: "r1"}, Outcome: sched.Placed, Server: engineRecord("e", 4).Entry}}})
		<-out
		lnk.down["a"] = true
		ctl.applyAll(evUnlinked{address: "a"})
		spc := ctl.pending["r1"].spec
		spc.HeldResults, spc.Attempt, spc.Retry = nil, 0, true
		ctl.applyAll(evRetry{spec: spc, inputsGone: gone, reply: out})
		got := messagesOf[mesh.Retry](lnk, "c")
		require.Len(t, got, 1)
		require.Equal(t, uint64(1), got[0].Spec.Attempt)
		require.Equal(t, gone, len(got[0].Spec.HeldResults) == 0)
	}
}

// After a pause of the coordinator's process, its own requests must not wait for
// a decision that no instance makes.
func TestResumedCoordinatorReassignsItsOwnRequests(t *testing.T) {
	ctl, lnk := newControl(t)
	loadState(ctl)
	now := ctl.clk.Now()
	out := make(chan sched.Decision, 1)
	ctl.pending["r1"] = &pendingRequest{reply: out, coordinator: "b", spec: sched.Spec{Key: sched.Key{Owner: "b", ID: "r1"}, Service: "m", PromptTokens: 10, Arrived: now, Target: now.Add(time.Second), GiveUp: now.Add(4 * time.Second), Deadline: now.Add(9 * time.Second)}}
	ctl.resume(now, 2*time.Second)
	ctl.updateDuties(ctl.clk.Now())
	require.Equal(t, sched.Placed, (<-out).Outcome)
	require.Empty(t, lnk.sent["a"])
}

// While nothing changes, heartbeats only repeat the last one. A peer whose link
// was full when something changed must still be sent the change.
func TestHeartbeatsCarryChangesOnce(t *testing.T) {
	ctl, lnk := newControl(t)
	loadState(ctl)
	ctl.applyAll(evLinked{mem: member.Member{Address: "a", Zone: "z", StartedAt: 1}}, evLinked{mem: member.Member{Address: "c", Zone: "z", StartedAt: 2}})
	now := ctl.clk.Now()
	ctl.sendHeartbeats(now)
	full, again := len(messagesOf[mesh.Heartbeat](lnk, "a")), len(messagesOf[mesh.HeartbeatRepeat](lnk, "a"))
	ctl.sendHeartbeats(now)
	ctl.sendHeartbeats(now)
	require.Len(t, messagesOf[mesh.Heartbeat](lnk, "a"), full)
	require.Len(t, messagesOf[mesh.HeartbeatRepeat](lnk, "a"), again+2)
	lnk.down["c"] = true
	ctl.applyAll(evConfig{doc: []byte("9")})
	ctl.sendHeartbeats(now)
	require.EqualValues(t, 9, messagesOf[mesh.Heartbeat](lnk, "a")[full].ConfigVersion)
	lnk.down["c"] = false
	ctl.sendHeartbeats(now)
	require.Len(t, messagesOf[mesh.Heartbeat](lnk, "a"), full+1)
	beats := messagesOf[mesh.Heartbeat](lnk, "c")
	require.EqualValues(t, 9, beats[len(beats)-1].ConfigVersion)
	ctl.storeAt = ctl.storeAt.Add(storeAgeStep)
	ctl.sendHeartbeats(now)
	require.Len(t, messagesOf[mesh.Heartbeat](lnk, "a"), full+2, "the store answered again")
}

// Server lists wait on their links for a slot while small messages pass. The end
// of the control thread must release all that wait.
func TestLargeMessagesBlockTheirLinks(t *testing.T) {
	ctl, _ := newControl(t)
	list := make([]stock.Record, 500)
	waiting := group.New(context.Background())
	for range 3 * largeMessages {
		waiting.Go(func(context.Context) error {
			ctl.Received("a", mesh.Servers{List: list})
			return nil
		})
	}
	require.Eventually(t, func() bool { return len(ctl.events) == largeMessages }, 10*time.Second, time.Millisecond)
	ctl.Received("a", mesh.HeartbeatRepeat{})
	require.Len(t, ctl.events, largeMessages+1)
	for range largeMessages {
		(<-ctl.events).apply(ctl, ctl.clk.Now())
	}
	require.Eventually(t, func() bool { return len(ctl.events) == largeMessages+1 }, 10*time.Second, time.Millisecond)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	for len(ctl.events) > 0 {
		(<-ctl.events).apply(ctl, ctl.clk.Now())
		time.Sleep(time.Millisecond)
	}
	require.NoError(t, ctl.Run(ctx))
	require.NoError(t, waiting.Wait())
}

// 300 peers ask at once. Answers must be sent at a bounded rate with the records
// for one peer in memory at a time, and queries that waited too long must be
// dropped.
func TestAnswersAreRateLimited(t *testing.T) {
	ctl, lnk := newControl(t)
	var list []stock.Record
	for num := range 3000 {
		rec := engineRecord("lovage-pool-"+strconv.Itoa(num), stock.Revision(num+10))
		rec.Entry.Address = "10.1." + strconv.Itoa(num%250) + ".7:8000"
		list = append(list, rec)
	}
	ctl.applyAll(evConfig{doc: []byte("3")}, evServers{list: follow.Listing{Revision: 5000, Records: list}, full: true})
	now := ctl.clk.Now()
	for num := range 300 {
		ctl.queueQuery(now, "p"+strconv.Itoa(num), nil)
		ctl.queueQuery(now, "p"+strconv.Itoa(num), nil)
	}
	sent := func() (sum int) {
		for adr := range lnk.sent {
			for _, msg := range lnk.sent[adr] {
				sum += mesh.Size(now, msg)
			}
		}
		return sum
	}
	for past := time.Duration(0); past < 900*time.Millisecond; past += tickPeriod {
		ctl.sendAnswers(now.Add(past))
		require.LessOrEqual(t, sent(), int(answerBurst+past.Seconds()*answerRate)+64<<10)
		require.LessOrEqual(t, len(ctl.sync.pending), len(list))
	}
	pieces := messagesOf[mesh.Servers](lnk, "p0")
	require.Len(t, pieces, 15)
	got := 0
	for idx, one := range pieces {
		got += len(one.List)
		require.Equal(t, idx < 14, one.Partial)
	}
	require.Equal(t, 3000, got)
	ctl.sendAnswers(now.Add(askTimeout))
	ctl.sendAnswers(now.Add(2 * askTimeout))
	require.Empty(t, ctl.sync.queries)
}

// Callers must not wait for a coordinator that has announced its stop.
func TestHeartbeatChangesDutiesAtOnce(t *testing.T) {
	ctl, lnk := newControl(t)
	loadState(ctl)
	now := ctl.clk.Now()
	for born, name := range []string{"a", "c"} {
		ctl.applyAll(evLinked{mem: member.Member{Address: name, Zone: "z", StartedAt: int64(born + 1), MilliCPU: 400}})
		ctl.handleHeartbeat(now, name, member.Heartbeat{Ready: true, StoreAge: 0})
	}
	require.Equal(t, "a", ctl.coordinator, "with the first heartbeat that says it is ready")
	out := make(chan sched.Decision, 1)
	ctl.applyAll(evSubmit{spec: sched.Spec{Key: key("b", "r1"), Service: "m", Deadline: now.Add(time.Minute), GiveUp: now.Add(time.Minute)}, reply: out})
	require.Len(t, messagesOf[mesh.Submit](lnk, "a"), 1)
	ctl.handleHeartbeat(now, "a", member.Heartbeat{Ready: true, Leaving: true})
	require.Equal(t, "c", ctl.coordinator)
	ctl.applyAll(evMessage{from: "a", msg: mesh.Decision{Decision: sched.Decision{Key: key("b", "r1"), Outcome: sched.Moved, Server: stock.Entry{Address: "c"}}}})
	require.Len(t, messagesOf[mesh.Submit](lnk, "c"), 1)
	ctl.applyAll(evMessage{from: "c", msg: mesh.Decision{Decision: sched.Decision{Key: key("b", "r1"), Outcome: sched.Placed, Server: stock.Entry{ID: "e"}}}})
	require.Equal(t, sched.Placed, (<-out).Outcome)
	ctl.applyAll(evMessage{from: "c", msg: mesh.Decision{Decision: sched.Decision{Key: key("b", "r1"), Outcome: sched.Moved, Server: stock.Entry{Address: "a"}}}})
	require.Len(t, messagesOf[mesh.Adopt](lnk, "a"), 1, "it keeps running on its engine")
	ctl.applyAll(evMessage{from: "c", msg: mesh.Decision{Decision: sched.Decision{Key: key("b", "r1"), Outcome: sched.Moved, Server: stock.Entry{Address: "c"}}}})
	require.Len(t, messagesOf[mesh.Submit](lnk, "c"), 1, "c is no longer the coordinator of r1")
}

// This instance was the coordinator until it saw the oldest one, which must get
// its jobs.
func TestOwnJobsAreTransferred(t *testing.T) {
	ctl, lnk := newControl(t)
	loadState(ctl)
	now := ctl.clk.Now()
	ctl.applyAll(evSubmit{spec: sched.Spec{Key: key("b", "r1"), Service: "m", Deadline: now.Add(time.Minute), GiveUp: now.Add(time.Minute)}, reply: make(chan sched.Decision, 1)})
	require.Equal(t, 1, ctl.sched.Jobs())
	ctl.applyAll(evLinked{mem: member.Member{Address: "a", Zone: "z", StartedAt: 1, MilliCPU: 400}})
	ctl.handleHeartbeat(ctl.clk.Now().Add(time.Millisecond), "a", member.Heartbeat{Ready: true, StoreAge: 0})
	require.Zero(t, ctl.sched.Jobs())
	require.Len(t, messagesOf[mesh.Adopt](lnk, "a"), 1, "it keeps running on its engine")
}

// A server starts at an address to which the path was lost, while the queue is full. The
// control thread, which learns of both, must not wait for itself.
func TestPathIsBackWhileTheQueueIsFull(t *testing.T) {
	ctl, _ := newControl(t)
	grp := group.New(context.Background())
	t.Cleanup(grp.Stop)
	poo := conns.NewPool(clock.System{}, grp, nil)
	poo.DialWith(func(context.Context, string, string) (net.Conn, error) { return nil, errors.New("no path") })
	poo.RelayWith(&relay{ctl: ctl}, ctl.pathsChanged)
	ctl.calls.poo = poo
	for _, adr := range []string{"e", "f", "g"} {
		_, err := poo.Do(context.Background(), conns.Request{Service: "m", Address: adr, Relayed: true}, "", nil)
		require.Error(t, err)
	}
	require.Eventually(t, func() bool { return len(poo.LostServices()) == 1 }, 5*time.Second, time.Millisecond)
	for len(ctl.events) < cap(ctl.events) {
		ctl.events <- evPaths{}
	}
	done := make(chan struct{})
	grp.Go(func(context.Context) error {
		defer close(done)
		ctl.calls.serverStarted(stock.Entry{ID: "e", Service: "m", Address: "e"})
		return nil
	})
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Fatal("the control thread waits for space in its own queue")
	}
	require.Empty(t, poo.LostServices())
	require.True(t, ctl.pathsStale.Load())
	for len(ctl.events) > 0 {
		<-ctl.events
	}
}

// A watch that the store cuts while it waits is no outage, and removals that follow must not be
// deferred; a store that answers nothing has one, whichever way its calls fail.
func TestCutWatchIsNoOutage(t *testing.T) {
	cut, down := follow.ErrWatchCut, errors.New("status 503")
	for name, tst := range map[string]struct {
		results []error
		holds   bool
	}{
		"one":                   {[]error{cut}, false},
		"both watches":          {[]error{cut, cut}, false},
		"again after an answer": {[]error{cut, cut, nil, cut, cut}, false},
		"and no answer since":   {[]error{cut, cut, cut}, true},
		"before a failure":      {[]error{cut, down}, true},
		"a failure":             {[]error{down}, true},
	} {
		t.Run(name, func(t *testing.T) {
			ctl, _ := newControl(t)
			loadState(ctl)
			for _, err := range tst.results {
				ctl.applyAll(evStoreResult{err: err})
			}
			ctl.applyAll(evStoreResult{})
			require.Equal(t, tst.holds, ctl.holdsRemovals(ctl.clk.Now()))
		})
	}
}
