package edge

import (
	"bytes"
	"context"
	"strconv"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"lovagestream/core/batch"
	"lovagestream/core/member"
	"lovagestream/core/stock"
	"lovagestream/core/table"
	"lovagestream/io/clock"
	"lovagestream/io/follow"
	"lovagestream/io/gauge"
	"lovagestream/io/group"
	"lovagestream/io/lines"
	"lovagestream/io/mesh"
)

// fakeLinks keeps what is sent.
type fakeLinks struct {
	down map[string]bool
	sent map[string][]mesh.Message
	cuts []string
}

func (lnk *fakeLinks) Send(address string, msg mesh.Message) bool {
	if lnk.down[address] {
		return false
	}
	lnk.sent[address] = append(lnk.sent[address], msg)
	return true
}

func (lnk *fakeLinks) Dial(string)        {}
func (lnk *fakeLinks) Cut(address string) { lnk.cuts = append(lnk.cuts, address) }

// of returns the messages of a kind to a peer.
func of[T mesh.Message](lnk *fakeLinks, address string) []T {
	var out []T
	for _, msg := range lnk.sent[address] {
		if got, ok := msg.(T); ok {
			out = append(out, got)
		}
	}
	return out
}

// numbers decodes a document that is its version.
type numbers struct{}

func (numbers) Config(doc []byte) (*table.Table, error) {
	num, err := strconv.ParseInt(string(doc), 10, 64)
	if err != nil {
		return nil, errors.Wrap(err, "test")
	}
	return table.New(num, nil, []*table.Service{{Name: "m", Model: &table.Model{Slots: 8, Memory: 1 << 20}}}, nil, table.Limits{}), nil
}

func newControl(t *testing.T) (*Control, *fakeLinks) {
	t.Helper()
	grp := group.New(context.Background())
	t.Cleanup(grp.Stop)
	jou := lines.New(&bytes.Buffer{}, clock.System{})
	ctl := NewControl(Settings{Told: "b", Zone: "z", Share: 400, RepeatRatio: 0.2, RepeatSlack: 10, RepeatWindow: 10 * time.Second}, clock.System{}, numbers{}, jou, 20)
	lnk := &fakeLinks{down: map[string]bool{}, sent: map[string][]mesh.Message{}}
	ctl.lnk = lnk
	ctl.calls = newCaller(nil, nil, clock.System{}, grp, jou, gauge.New(), ctl)
	return ctl, lnk
}

func engine(id string, revision int64) stock.Known {
	return stock.Known{Revision: revision, Entry: stock.Entry{ID: id, Service: "m", Address: id, Zone: "z", Slots: 8}}
}

func (ctl *Control) do(evts ...event) {
	for _, evt := range evts {
		evt.apply(ctl, ctl.clk.Now())
	}
	ctl.publish(ctl.clk.Now())
}

func known(ctl *Control) {
	ctl.do(evConfig{doc: []byte("3")}, evServers{list: follow.Listing{Revision: 5, Words: []stock.Known{engine("e", 4)}}, whole: true}, evStore{})
	ctl.beat(ctl.clk.Now())
}

// A process stood still while a key was revoked and a server left. What its
// links bring then was sent before the pause; what it believed may be wrong. It
// must refuse callers until the store, or a peer over a new link, has told.
func TestWokenProcessWaitsForNews(t *testing.T) {
	ctl, lnk := newControl(t)
	known(ctl)
	ctl.do(evLinked{mem: member.Member{Address: "a", Zone: "z", Born: 1}})
	require.True(t, ctl.Ready())
	asked := 0
	ctl.reread = func() { asked++ }
	ctl.woke(ctl.clk.Now(), 4*time.Second)
	ctl.do(evGot{from: "a", msg: mesh.Config{Version: 3, Document: []byte("3")}}, evGot{from: "a", msg: mesh.Servers{List: []stock.Known{engine("e", 4)}}})
	require.False(t, ctl.View().Verified)
	require.False(t, ctl.Ready())
	require.True(t, ctl.Duty().Reads)
	require.Equal(t, 1, asked)
	require.Equal(t, []string{"a"}, lnk.cuts)
	ctl.do(evUnlinked{address: "a"}, evLinked{mem: member.Member{Address: "a", Zone: "z", Born: 1}},
		evGot{from: "a", msg: mesh.Config{Version: 4, Document: []byte("4")}},
		evGot{from: "a", msg: mesh.Servers{List: []stock.Known{{Revision: 9, Gone: true, Entry: stock.Entry{ID: "e"}}}}})
	ctl.verify(ctl.clk.Now())
	ctl.publish(ctl.clk.Now())
	require.True(t, ctl.View().Verified)
	require.EqualValues(t, 4, ctl.View().Table.Version())
	require.Empty(t, ctl.View().Servers)
}

// Versions only grow, whoever tells them; what can't be read changes nothing.
func TestConfigurationNeverReverts(t *testing.T) {
	ctl, lnk := newControl(t)
	known(ctl)
	ctl.do(evLinked{mem: member.Member{Address: "a", Zone: "z", Born: 1}})
	ctl.do(evGot{from: "a", msg: mesh.Config{Document: []byte("7")}}, evConfig{doc: []byte("5")}, evConfig{doc: []byte("nonsense")})
	require.EqualValues(t, 7, ctl.View().Table.Version())
	ctl.do(evConfig{doc: []byte("9")}, evTick{})
	beats := of[mesh.Beat](lnk, "a")
	require.EqualValues(t, 9, beats[len(beats)-1].Version, "peers are told with the next tick")
	ctl.do(evGot{from: "a", msg: mesh.AskConfig{Version: 7}})
	require.EqualValues(t, 9, of[mesh.Config](lnk, "a")[0].Version)
	require.Equal(t, "9", string(of[mesh.Config](lnk, "a")[0].Document))
}

// The instance that forms the calls dies with requests of this one. Those
// without an engine begin anew elsewhere; of one that runs, the next is told.
func TestRequestsOutliveTheirDesk(t *testing.T) {
	ctl, lnk := newControl(t)
	known(ctl)
	ctl.do(evLinked{mem: member.Member{Address: "a", Zone: "z", Born: 1, Share: 400}}, evGot{from: "a", msg: mesh.Beat{Beat: member.Beat{Ready: true}}})
	ctl.duties(ctl.clk.Now())
	require.Equal(t, "a", ctl.deskAt)
	one, two := make(chan batch.Verdict, 1), make(chan batch.Verdict, 1)
	spec := func(id string) batch.Spec {
		now := ctl.clk.Now()
		return batch.Spec{Key: batch.Key{Owner: "b", ID: id}, Service: "m", Prompt: 10, Arrived: now, Aim: now.Add(time.Second), Give: now.Add(4 * time.Second), End: now.Add(9 * time.Second)}
	}
	ctl.do(evSubmit{spec: spec("r1"), out: one}, evSubmit{spec: spec("r2"), out: two})
	require.Len(t, of[mesh.Submit](lnk, "a"), 2)
	ctl.do(evGot{from: "a", msg: mesh.Verdict{Verdict: batch.Verdict{Key: batch.Key{Owner: "b", ID: "r1"}, Word: batch.Placed, Server: engine("e", 4).Entry}}})
	require.Equal(t, batch.Placed, (<-one).Word)
	lnk.down["a"] = true
	ctl.do(evUnlinked{address: "a"})
	require.Equal(t, "b", ctl.deskAt)
	require.Equal(t, batch.Placed, (<-two).Word, "placed by this instance")
	require.Equal(t, 2, ctl.desk.Jobs(), "the running one is counted")
	ctl.do(evEnded{id: "r1"}, evEnded{id: "r2"})
	require.Zero(t, ctl.desk.Jobs())
	require.Empty(t, ctl.waiters)
}

// Another server answers at an address. Nothing goes there until the entry
// changes.
func TestStrangerIsLeftAlone(t *testing.T) {
	ctl, _ := newControl(t)
	known(ctl)
	ctl.do(evStranger{ent: engine("e", 4).Entry})
	require.Empty(t, ctl.View().Servers["m"])
	require.True(t, ctl.View().Left["e"])
	ctl.do(evServers{list: follow.Listing{Revision: 9, Words: []stock.Known{engine("e", 9)}}})
	require.Len(t, ctl.View().Servers["m"], 1)
}

// A peer knows otherwise of servers for a while: it is asked what differs, and
// not again with each beat. Asked itself, this instance tells what differs and
// no more.
func TestUnlikePeersAreAsked(t *testing.T) {
	ctl, lnk := newControl(t)
	known(ctl)
	ctl.do(evLinked{mem: member.Member{Address: "a", Zone: "z", Born: 1}})
	require.Empty(t, of[mesh.Servers](lnk, "a"), "nothing is told unasked")
	now := ctl.clk.Now()
	ctl.compare(now, "a", 77)
	ctl.compare(now.Add(unlikeFor+time.Millisecond), "a", 77)
	ctl.compare(now.Add(unlikeFor+200*time.Millisecond), "a", 77)
	require.Len(t, of[mesh.AskServers](lnk, "a"), 1)
	require.Equal(t, ctl.book.Sums(), of[mesh.AskServers](lnk, "a")[0].Sums)
	ctl.compare(now.Add(time.Minute), "a", ctl.book.Digest())
	require.Empty(t, ctl.news.unlike)
	ctl.do(evGot{from: "a", msg: mesh.AskServers{Sums: ctl.book.Sums()}}, evTick{})
	require.Equal(t, []mesh.Servers{{}}, of[mesh.Servers](lnk, "a"), "the same is known")
	ctl.do(evGot{from: "a", msg: mesh.AskServers{}}, evTick{})
	require.Equal(t, []stock.Known{engine("e", 4)}, of[mesh.Servers](lnk, "a")[1].List)
}

// The other one lacks something, and its answers bring nothing. Asked again and
// again, peers of a large fleet would do nothing else; it is asked anew once
// either knows something new.
func TestPeersWithNothingNewAreLeftAlone(t *testing.T) {
	ctl, lnk := newControl(t)
	known(ctl)
	ctl.do(evLinked{mem: member.Member{Address: "a", Zone: "z", Born: 1}})
	now := ctl.clk.Now()
	ask := func(past time.Duration, digest uint64) int {
		ctl.compare(now.Add(past), "a", digest)
		return len(of[mesh.AskServers](lnk, "a"))
	}
	ask(0, 77)
	require.Equal(t, 1, ask(time.Second, 77))
	ctl.gotServers(now.Add(time.Second), "a", mesh.Servers{})
	require.Equal(t, 1, ask(20*time.Second, 77))
	require.Equal(t, 2, ask(20*time.Second, 78), "it learnt something")
	ctl.gotServers(now.Add(20*time.Second), "a", mesh.Servers{})
	require.Equal(t, 3, ask(20*time.Second+fruitlessFor+unlikeEvery, 78), "now and then all the same")
}

// An answer in pieces verifies nothing before its last, and news pass on links
// at any time.
func TestWokenProcessWaitsForTheWholeAnswer(t *testing.T) {
	ctl, lnk := newControl(t)
	known(ctl)
	ctl.do(evLinked{mem: member.Member{Address: "a", Zone: "z", Born: 1}})
	ctl.woke(ctl.clk.Now(), 4*time.Second)
	ctl.do(evUnlinked{address: "a"}, evLinked{mem: member.Member{Address: "a", Zone: "z", Born: 1}})
	ctl.do(evGot{from: "a", msg: mesh.Beat{Beat: member.Beat{Version: 3, Digest: ctl.book.Digest()}}})
	require.Len(t, of[mesh.AskServers](lnk, "a"), 1, "at once, though the digests are equal")
	require.Len(t, of[mesh.AskConfig](lnk, "a"), 1)
	ctl.do(evGot{from: "a", msg: mesh.Config{Version: 3}}, evGot{from: "a", msg: mesh.Servers{Part: true}}, evGot{from: "a", msg: mesh.Servers{News: true}})
	require.False(t, ctl.View().Verified)
	ctl.do(evGot{from: "a", msg: mesh.Servers{}})
	require.True(t, ctl.View().Verified)
}

// Settings may change with a signal or without one: new seeds of the same number
// must be tried, too.
func TestNewSeedsAreTried(t *testing.T) {
	ctl, _ := newControl(t)
	ctl.do(evSettings{set: Settings{Seeds: []string{"s1"}}})
	require.Equal(t, []string{"s1"}, ctl.mem.Dial(ctl.clk.Now()))
	ctl.do(evSettings{set: Settings{Seeds: []string{"s2"}}})
	require.Equal(t, []string{"s2"}, ctl.mem.Dial(ctl.clk.Now()))
}

// Beats say only that the last one holds while nothing changes. A peer whose
// link had no room for a change must hear it all the same.
func TestBeatsSayWhatChangedOnce(t *testing.T) {
	ctl, lnk := newControl(t)
	known(ctl)
	ctl.do(evLinked{mem: member.Member{Address: "a", Zone: "z", Born: 1}}, evLinked{mem: member.Member{Address: "c", Zone: "z", Born: 2}})
	now := ctl.clk.Now()
	ctl.sayBeats(now)
	whole, again := len(of[mesh.Beat](lnk, "a")), len(of[mesh.Again](lnk, "a"))
	ctl.sayBeats(now)
	ctl.sayBeats(now)
	require.Len(t, of[mesh.Beat](lnk, "a"), whole)
	require.Len(t, of[mesh.Again](lnk, "a"), again+2)
	lnk.down["c"] = true
	ctl.do(evConfig{doc: []byte("9")})
	ctl.sayBeats(now)
	require.EqualValues(t, 9, of[mesh.Beat](lnk, "a")[whole].Version)
	lnk.down["c"] = false
	ctl.sayBeats(now)
	require.Len(t, of[mesh.Beat](lnk, "a"), whole+1)
	beats := of[mesh.Beat](lnk, "c")
	require.EqualValues(t, 9, beats[len(beats)-1].Version)
	ctl.storeAt = ctl.storeAt.Add(freshStep)
	ctl.sayBeats(now)
	require.Len(t, of[mesh.Beat](lnk, "a"), whole+2, "news of the store")
}

// Lists wait at their links for a place; what is small passes, and the end of
// the control thread lets go of all that wait.
func TestLargeMessagesWaitAtTheirLinks(t *testing.T) {
	ctl, _ := newControl(t)
	list := make([]stock.Known, 500)
	waiting := group.New(context.Background())
	for range 3 * largeMessages {
		waiting.Go(func(context.Context) error {
			ctl.Got("a", mesh.Servers{List: list})
			return nil
		})
	}
	require.Eventually(t, func() bool { return len(ctl.que) == largeMessages }, 10*time.Second, time.Millisecond)
	ctl.Got("a", mesh.Again{})
	require.Len(t, ctl.que, largeMessages+1)
	for range largeMessages {
		(<-ctl.que).apply(ctl, ctl.clk.Now())
	}
	require.Eventually(t, func() bool { return len(ctl.que) == largeMessages+1 }, 10*time.Second, time.Millisecond)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	for len(ctl.que) > 0 {
		(<-ctl.que).apply(ctl, ctl.clk.Now())
		time.Sleep(time.Millisecond)
	}
	require.NoError(t, ctl.Run(ctx))
	require.NoError(t, waiting.Wait())
}

// 300 peers ask at once: answers go out at a bounded rate, one peer's words are
// held at a time, and who waited too long has asked another.
func TestAnswersArePaced(t *testing.T) {
	ctl, lnk := newControl(t)
	var list []stock.Known
	for num := range 3000 {
		kno := engine("lovage-pool-"+strconv.Itoa(num), int64(num+10))
		kno.Entry.Address = "10.1." + strconv.Itoa(num%250) + ".7:8000"
		list = append(list, kno)
	}
	ctl.do(evConfig{doc: []byte("3")}, evServers{list: follow.Listing{Revision: 5000, Words: list}, whole: true})
	now := ctl.clk.Now()
	for num := range 300 {
		ctl.asks(now, "p"+strconv.Itoa(num), nil)
		ctl.asks(now, "p"+strconv.Itoa(num), nil)
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
		ctl.answer(now.Add(past))
		require.LessOrEqual(t, sent(), int(answerBurst+past.Seconds()*answerRate)+64<<10)
		require.LessOrEqual(t, len(ctl.news.pending), len(list))
	}
	pieces := of[mesh.Servers](lnk, "p0")
	require.Len(t, pieces, 15)
	got := 0
	for idx, one := range pieces {
		got += len(one.List)
		require.Equal(t, idx < 14, one.Part)
	}
	require.Equal(t, 3000, got)
	ctl.answer(now.Add(askWait))
	ctl.answer(now.Add(2 * askWait))
	require.Empty(t, ctl.news.waiting)
}
