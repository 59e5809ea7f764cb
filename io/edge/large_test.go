package edge

import (
	"bytes"
	"container/heap"
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"sort"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"lovagestream/core/stock"
	"lovagestream/core/table"
	"lovagestream/io/clock"
	"lovagestream/io/follow"
	"lovagestream/io/gauge"
	"lovagestream/io/group"
	"lovagestream/io/lines"
	"lovagestream/io/mesh"
)

const (
	// simStep is the tick period of the simulated instances.
	simStep = 50 * time.Millisecond
	// simLatency is the latency of a message between two instances.
	simLatency = time.Millisecond
	// simBandwidth is the capacity of a link of 10 Mbit/s, in bytes per second.
	simBandwidth = 1.25e6
	// simDocumentBytes is the size of a configuration.
	simDocumentBytes = 60 << 10
	// serversPerNode is the number of backend servers per instance.
	serversPerNode = 10
	simZones       = 3
	// largePerZone instances of each zone are larger than the others, as in
	// fleets where some are meant to be hubs.
	largePerZone = 2
)

// simClock is the clock of a simulated fleet.
type simClock struct {
	clock.System
	now time.Time
}

func (clk *simClock) Now() time.Time { return clk.now }

// paddedDecoder decodes documents that begin with their version.
type paddedDecoder struct{}

func (paddedDecoder) Config(doc []byte) (*table.Table, error) {
	head, _, _ := bytes.Cut(doc, []byte(" "))
	num, err := strconv.ParseInt(string(head), 10, 64)
	if err != nil {
		return nil, errors.Wrap(err, "test")
	}
	return table.New(num, nil, []*table.Service{{Name: "m", Model: &table.Model{Slots: 8, CacheTokens: 1 << 20}}}, nil, table.Limits{}), nil
}

// simNode is an instance of a simulated fleet and implements its own Links.
type simNode struct {
	sim     *simFleet
	address string
	zone    string
	share   int
	starts  int
	ctl     *Control
	grp     *group.Group
	// up is false while the instance is stopped.
	up bool
	// reading is whether it reads the store, storeHeardAt when that last
	// answered.
	reading      bool
	storeHeardAt time.Time
	// links are the open links by address. A link's number tells late messages of
	// a closed link apart.
	links map[string]int
	// linkFreeAt is when everything sent so far has left the instance.
	linkFreeAt time.Time
	// sent counts bytes by message type, count the messages; maxQueued is the
	// most bytes that were queued.
	sent      map[string]int
	count     int
	maxQueued int
}

// simEvent is an event on its way to an instance.
type simEvent struct {
	at   time.Time
	num  int
	to   *simNode
	from string
	// link is the number of the link; 0 for events that need none.
	link int
	evt  event
	then func()
}

type simQueue []*simEvent

func (que simQueue) Len() int { return len(que) }
func (que simQueue) Less(i, j int) bool {
	if que[i].at.Equal(que[j].at) {
		return que[i].num < que[j].num
	}
	return que[i].at.Before(que[j].at)
}
func (que simQueue) Swap(i, j int) { que[i], que[j] = que[j], que[i] }
func (que *simQueue) Push(one any) { *que = append(*que, one.(*simEvent)) }
func (que *simQueue) Pop() any {
	old := *que
	one := old[len(old)-1]
	*que = old[:len(old)-1]
	return one
}

// simFleet is a fleet of control states whose links count traffic.
type simFleet struct {
	t          *testing.T
	clk        *simClock
	rnd        *rand.Rand
	nodes      []*simNode
	byAdr      map[string]*simNode
	queue      simQueue
	lastNumber int
	// The store's revision, configuration document and entries.
	revision stock.Revision
	document []byte
	entries  map[string]stock.Record
	version  int64
	reports  int64
	// partitioned is a zone that reaches neither the others nor the store.
	partitioned string
}

func newSimFleet(t *testing.T, size int, seed uint64) *simFleet {
	t.Helper()
	sim := &simFleet{t: t, clk: &simClock{now: time.Unix(1000, 0)}, rnd: rand.New(rand.NewPCG(seed, 1)), byAdr: map[string]*simNode{}, entries: map[string]stock.Record{}}
	for num := range size {
		zone := num % simZones
		nod := &simNode{sim: sim, address: fmt.Sprintf("10.%d.%d.%d:7000", zone, num/250, num%250), zone: "zone-" + strconv.Itoa(zone), share: 192}
		if num < largePerZone*simZones {
			nod.share = 800
		}
		sim.nodes = append(sim.nodes, nod)
		sim.byAdr[nod.address] = nod
	}
	for num := range size * serversPerNode {
		sim.put(fmt.Sprintf("lovage-pool-zone-%d-%04d", num%simZones, num), 0)
	}
	sim.publishNext()
	return sim
}

// put publishes a server and returns its record.
func (sim *simFleet) put(id string, sequence int64) stock.Record {
	sim.revision++
	rec := stock.Record{Revision: sim.revision, Entry: stock.Entry{ID: id, Service: "m", Address: "10.9.1.1:8000", Zone: "zone-0", Version: "1.4.2", Slots: 64, Sequence: sequence, StartedAt: 1700000000000}}
	sim.entries[id] = rec
	return rec
}

func (sim *simFleet) publish(version int64) {
	sim.revision++
	// The document compresses about ten to one, as documents of routes do.
	var doc strings.Builder
	fmt.Fprintf(&doc, "%d ", version)
	for doc.Len() < simDocumentBytes {
		fmt.Fprintf(&doc, `{"route":"/v1/listing-%d","service":"lovage-pool","account":"tenant-%d","deadlineMs":%d},`, sim.rnd.IntN(1e6), sim.rnd.IntN(16), 100*sim.rnd.IntN(90))
	}
	sim.document = []byte(doc.String())
}

// start starts a stopped instance.
func (sim *simFleet) start(nod *simNode) {
	nod.starts++
	nod.grp = group.New(context.Background())
	sim.t.Cleanup(nod.grp.Stop)
	var seeds []string
	for range 3 {
		seeds = append(seeds, sim.nodes[sim.rnd.IntN(len(sim.nodes))].address)
	}
	log := lines.New(io.Discard, sim.clk)
	set := Settings{AdvertisedAddr: nod.address, Zone: nod.zone, MilliCPU: nod.share, Seeds: seeds, RetryRatio: 0.2, RetrySlack: 10, RetryWindow: 10 * time.Second}
	nod.ctl = NewControl(set, sim.clk, paddedDecoder{}, log, sim.clk.now.UnixMilli()+int64(sim.rnd.IntN(50)))
	nod.ctl.lnk = nod
	nod.ctl.calls = newStageCaller(nil, nil, sim.clk, nod.grp, log, gauge.New(), nod.ctl)
	nod.links, nod.up, nod.reading, nod.linkFreeAt = map[string]int{}, true, false, sim.clk.now
	nod.reset()
}

func (nod *simNode) reset() { nod.sent, nod.count, nod.maxQueued = map[string]int{}, 0, 0 }

// kill stops an instance, whose peers notice that their links are closed.
func (sim *simFleet) kill(nod *simNode) {
	nod.up = false
	for adr := range nod.links {
		sim.unlink(nod, adr)
	}
}

func (sim *simFleet) post(sev *simEvent) {
	sim.lastNumber++
	sev.num = sim.lastNumber
	heap.Push(&sim.queue, sev)
}

// separated reports whether the partition lies between two instances.
func (sim *simFleet) separated(one, two *simNode) bool {
	return sim.partitioned != "" && one.zone != two.zone && (one.zone == sim.partitioned || two.zone == sim.partitioned)
}

func (sim *simFleet) unlink(nod *simNode, address string) {
	oth := sim.byAdr[address]
	delete(nod.links, address)
	delete(oth.links, nod.address)
	sim.post(&simEvent{at: sim.clk.now.Add(simLatency), to: nod, evt: evUnlinked{address: address}})
	sim.post(&simEvent{at: sim.clk.now.Add(simLatency), to: oth, evt: evUnlinked{address: nod.address}})
}

// Dial opens a link after one round trip.
func (nod *simNode) Dial(address string) {
	sim := nod.sim
	sim.post(&simEvent{at: sim.clk.now.Add(2 * simLatency), to: nod, then: func() {
		oth := sim.byAdr[address]
		if !nod.up {
			return
		}
		if !oth.up || sim.separated(nod, oth) {
			sim.post(&simEvent{at: sim.clk.now, to: nod, evt: evUnlinked{address: address}})
			return
		}
		if nod.links[address] != 0 {
			return
		}
		sim.lastNumber++
		nod.links[address], oth.links[nod.address] = sim.lastNumber, sim.lastNumber
		sim.post(&simEvent{at: sim.clk.now, to: nod, evt: evLinked{mem: oth.ctl.mem.Self()}})
		sim.post(&simEvent{at: sim.clk.now, to: oth, evt: evLinked{mem: nod.ctl.mem.Self()}})
	}})
}

// Disconnect closes a link.
func (nod *simNode) Disconnect(address string) {
	if nod.links[address] != 0 {
		nod.sim.unlink(nod, address)
	}
}

// Send queues a message on the instance's outgoing bandwidth.
func (nod *simNode) Send(address string, msg mesh.Message) bool {
	num := nod.links[address]
	if num == 0 {
		return false
	}
	now := nod.sim.clk.now
	size := mesh.Size(now, msg)
	nod.sent[strings.TrimPrefix(fmt.Sprintf("%T", msg), "mesh.")] += size
	nod.count++
	if nod.linkFreeAt.Before(now) {
		nod.linkFreeAt = now
	}
	nod.linkFreeAt = nod.linkFreeAt.Add(time.Duration(float64(size) / simBandwidth * float64(time.Second)))
	nod.maxQueued = max(nod.maxQueued, int(nod.linkFreeAt.Sub(now).Seconds()*simBandwidth))
	nod.sim.post(&simEvent{at: nod.linkFreeAt.Add(simLatency), to: nod.sim.byAdr[address], from: nod.address, link: num, evt: evMessage{from: nod.address, msg: msg}})
	return true
}

// apply applies an event at an instance.
func (sim *simFleet) apply(nod *simNode, evt event) {
	if !nod.up {
		return
	}
	evt.apply(nod.ctl, sim.clk.now)
	nod.ctl.publishIfDue(sim.clk.now)
}

// run advances the simulated time.
func (sim *simFleet) run(span time.Duration) {
	end := sim.clk.now.Add(span)
	for sim.clk.now.Before(end) {
		next := sim.clk.now.Add(simStep)
		for len(sim.queue) > 0 && !sim.queue[0].at.After(next) {
			sev := heap.Pop(&sim.queue).(*simEvent)
			if sev.at.After(sim.clk.now) {
				sim.clk.now = sev.at
			}
			switch {
			case sev.link != 0 && sev.to.links[sev.from] != sev.link:
			case sev.then != nil:
				sev.then()
			default:
				sim.apply(sev.to, sev.evt)
			}
		}
		sim.clk.now = next
		for _, nod := range sim.nodes {
			if nod.up {
				sim.apply(nod, evTick{due: sim.clk.now})
				sim.read(nod)
			}
		}
	}
}

// read simulates an instance's reader of the store.
func (sim *simFleet) read(nod *simNode) {
	if !nod.ctl.Duty().Reads || nod.zone == sim.partitioned {
		nod.reading = false
		return
	}
	if sim.clk.now.Sub(nod.storeHeardAt) < time.Second && nod.reading {
		return
	}
	nod.storeHeardAt = sim.clk.now
	sim.apply(nod, evStoreResult{})
	if nod.reading {
		return
	}
	nod.reading = true
	sim.apply(nod, evConfig{doc: sim.document})
	lst := follow.Listing{Revision: sim.revision}
	for _, rec := range sim.entries {
		if !rec.Removed {
			lst.Records = append(lst.Records, rec)
		}
	}
	sim.apply(nod, evServers{list: lst, full: true})
}

// notifyReaders sends a change of the store to the instances that read it.
func (sim *simFleet) notifyReaders(evt event) {
	for _, nod := range sim.nodes {
		if nod.up && nod.reading && nod.zone != sim.partitioned {
			sim.post(&simEvent{at: sim.clk.now.Add(time.Duration(sim.rnd.IntN(20)) * time.Millisecond), to: nod, evt: evt})
		}
	}
}

// trafficStats is the traffic within a span of time.
type trafficStats struct {
	// busiest and median are bytes sent by the busiest and the median instance;
	// count is the number of messages of the busiest, maxQueued the most bytes
	// queued at any instance.
	busiest, median, count, maxQueued int
	// kinds are the bytes of the busiest instance by message type.
	kinds map[string]int
}

func (sim *simFleet) traffic() trafficStats {
	var sums []int
	var out trafficStats
	for _, nod := range sim.nodes {
		sum := 0
		for _, num := range nod.sent {
			sum += num
		}
		sums = append(sums, sum)
		if sum > out.busiest {
			out.busiest, out.count, out.kinds = sum, nod.count, nod.sent
		}
		out.maxQueued = max(out.maxQueued, nod.maxQueued)
	}
	sort.Ints(sums)
	out.median = sums[len(sums)/2]
	return out
}

func (trf trafficStats) String() string {
	var kinds []string
	for kind := range trf.kinds {
		kinds = append(kinds, kind)
	}
	slices.SortFunc(kinds, func(one, two string) int { return trf.kinds[two] - trf.kinds[one] })
	var out strings.Builder
	fmt.Fprintf(&out, "busiest %d B in %d messages, median %d B, most queued %d B;", trf.busiest, trf.count, trf.median, trf.maxQueued)
	for _, kind := range kinds {
		fmt.Fprintf(&out, " %s %d", kind, trf.kinds[kind])
	}
	return out.String()
}

// measure returns the traffic within a span after a change.
func (sim *simFleet) measure(what string, span time.Duration, change func()) trafficStats {
	for _, nod := range sim.nodes {
		if nod.ctl != nil {
			nod.reset()
		}
	}
	change()
	sim.run(span)
	trf := sim.traffic()
	sim.t.Logf("%d instances, %s, %v: %s", len(sim.nodes), what, span, trf)
	return trf
}

// diverged counts instances whose state differs from the store's.
func (sim *simFleet) diverged() int {
	live, out := 0, 0
	for _, rec := range sim.entries {
		if !rec.Removed {
			live++
		}
	}
	for _, nod := range sim.nodes {
		if nod.up && (nod.ctl.tab == nil || !bytes.Equal(nod.ctl.doc, sim.document) || !sim.same(nod, live)) {
			out++
		}
	}
	return out
}

func (sim *simFleet) same(nod *simNode, live int) bool {
	got := nod.ctl.registry.Live()
	for _, ent := range got {
		if ent != sim.entries[ent.ID].Entry {
			return false
		}
	}
	return len(got) == live
}

// minKnown returns the least number of members that any instance knows.
func (sim *simFleet) minKnown() int {
	least := len(sim.nodes)
	for _, nod := range sim.nodes {
		if nod.up {
			_, num := nod.ctl.mem.Count(sim.clk.now)
			least = min(least, num)
		}
	}
	return least
}

var _ Links = (*simNode)(nil)

func (sim *simFleet) startAll() {
	for _, nod := range sim.nodes {
		sim.start(nod)
	}
}

// reportServers makes a fifth of the servers report again.
func (sim *simFleet) reportServers() {
	sim.reports++
	for num := range len(sim.nodes) * serversPerNode / 5 {
		rec := sim.put(fmt.Sprintf("lovage-pool-zone-%d-%04d", num%simZones, num), sim.reports)
		sim.notifyReaders(evServers{list: follow.Listing{Revision: rec.Revision, Records: []stock.Record{rec}}})
	}
}

// restart kills a third of the instances at once and starts them again after two
// seconds.
func (sim *simFleet) restart() {
	for num, nod := range sim.nodes {
		if num%3 == 1 {
			sim.kill(nod)
		}
	}
	sim.run(2 * time.Second)
	for num, nod := range sim.nodes {
		if num%3 == 1 {
			sent, count := nod.sent, nod.count
			sim.start(nod)
			nod.sent, nod.count = sent, count
		}
	}
}

// steadyRateLimit is how much of an instance's link the control traffic may take,
// in bytes per second.
const steadyRateLimit = 26 << 10

// proportionalFleetMax is the fleet size up to which traffic may grow in
// proportion.
const proportionalFleetMax = 200

// burstLimit is how many bytes the busiest instance may send for a start, a
// change or a restart, per instance of the fleet: two seconds of a link of 10
// Mbit/s at 300.
const burstLimit = 2 * simBandwidth / 300

// queueLimit is how many bytes may be queued for all links of an instance.
const queueLimit = 4 << 20

// fleetSizes are the sizes of the simulated fleets; 300 takes three minutes.
// steadySpan is how long each runs without a change.
var (
	fleetSizes = flag.String("fleet", "30,60", "sizes of simulated fleets")
	steadySpan = flag.Duration("steady", 20*time.Second, "how long a simulated fleet runs without a change")
)

// The traffic between 300 instances must not exceed their links' capacity,
// whatever changes or fails.
func TestLargeFleetTrafficIsBounded(t *testing.T) {
	for _, word := range strings.Split(*fleetSizes, ",") {
		size, err := strconv.Atoi(word)
		require.NoError(t, err)
		t.Run(word, func(t *testing.T) {
			t.Parallel()
			sim := newSimFleet(t, size, 1)
			burst := int(burstLimit * float64(size))
			check := func(what string, span time.Duration, most int, change func()) {
				trf := sim.measure(what, span, change)
				require.LessOrEqual(t, trf.busiest, most, what)
				require.LessOrEqual(t, trf.maxQueued, queueLimit, what)
				require.Zero(t, sim.diverged(), "%s: instances whose state differs from the store's", what)
				require.Equal(t, size, sim.minKnown(), "%s: members known to every instance", what)
			}
			steady := steadyRateLimit * min(size, proportionalFleetMax) / proportionalFleetMax
			check("start", 15*time.Second, burst, sim.startAll)
			check("steady", *steadySpan, int(steadySpan.Seconds())*steady, func() {})
			check("servers", 5*time.Second, burst, sim.reportServers)
			check("configuration", 5*time.Second, sim.documentBytes(), sim.publishNext)
			check("restart", 15*time.Second, burst, sim.restart)
			check("cut", 15*time.Second, burst+sim.documentBytes(), sim.partitionZone)
			check("hubs", 15*time.Second, burst+sim.documentBytes(), sim.restartHubs)
			check("steady again", *steadySpan, int(steadySpan.Seconds())*steady, func() {})
		})
	}
}

// documentBytes returns the bytes to send one compressed configuration to every
// instance.
func (sim *simFleet) documentBytes() int {
	raw, err := mesh.Pack(sim.document)
	require.NoError(sim.t, err)
	return len(sim.nodes) * (len(raw) + 1<<10)
}

func (sim *simFleet) publishNext() {
	sim.version++
	sim.publish(sim.version)
	sim.notifyReaders(evConfig{doc: sim.document})
}

// partitionZone separates the last zone from the others and from the store for
// ten seconds, while servers come and go and the configuration changes.
func (sim *simFleet) partitionZone() {
	sim.reports++
	sim.partitioned = "zone-" + strconv.Itoa(simZones-1)
	for _, nod := range sim.nodes {
		for adr := range nod.links {
			if sim.separated(nod, sim.byAdr[adr]) {
				sim.unlink(nod, adr)
			}
		}
	}
	sim.run(2 * time.Second)
	sim.publishNext()
	for num := range len(sim.nodes) {
		id := fmt.Sprintf("lovage-pool-zone-%d-%04d", num%simZones, num)
		rec := sim.put(id, sim.reports)
		if num%2 == 1 {
			rec.Removed = true
			sim.entries[id] = rec
		}
		sim.notifyReaders(evServers{list: follow.Listing{Revision: rec.Revision, Records: []stock.Record{rec}}})
	}
	sim.run(8 * time.Second)
	sim.partitioned = ""
}

// restartHubs kills all large instances at once and starts them again after a
// change.
func (sim *simFleet) restartHubs() {
	for _, nod := range sim.nodes[:largePerZone*simZones] {
		sim.kill(nod)
	}
	sim.run(time.Second)
	sim.reportServers()
	sim.publishNext()
	sim.run(4 * time.Second)
	for _, nod := range sim.nodes[:largePerZone*simZones] {
		sent, count := nod.sent, nod.count
		sim.start(nod)
		nod.sent, nod.count = sent, count
	}
}
