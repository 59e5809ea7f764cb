package edge

import (
	"math/rand/v2"
	"slices"
	"time"

	"lovagestream/core/member"
	"lovagestream/core/stock"
	"lovagestream/core/sums"
	"lovagestream/io/lines"
	"lovagestream/io/mesh"
)

// Dissemination and anti-entropy of configuration and server records.
//
// Changes are forwarded once, when they happen. An instance that missed one
// notices that a peer's heartbeat carries another digest or version, and asks
// that peer for the difference. Nothing that a peer may already know is sent
// without being asked for.
//
// Sending the full state on each new link overloads the network when many links
// open at once, as after a start of the fleet, a mass restart or late heartbeats:
// heartbeats queue behind the state, links that look silent are closed and dialed
// again, and each new link transfers everything once more. With 300 instances a hub
// sent 14 MB a second without any change, and queued 400 MB.

const (
	// divergedDelay is how long a peer's server digest may differ before it is
	// asked for the difference: a single change takes a few milliseconds to
	// spread.
	divergedDelay = 700 * time.Millisecond
	// divergedRetryInterval is how often that peer is asked again while the digests
	// still differ.
	divergedRetryInterval = 4 * time.Second
	// noProgressBackoff is how long a peer isn't asked again if its answer brought
	// nothing new and neither digest has changed since: then it is the peer that
	// lacks records.
	noProgressBackoff = time.Minute
	// askTimeout is how long to wait for an answer, or its next part, before
	// another peer is asked.
	askTimeout = time.Second
	// syncInterval is the least time between two queries for server records.
	// Queries take 2.1 KB a second, besides the answers.
	syncInterval = 250 * time.Millisecond
	// answerRate bounds the traffic of answers with server records, in bytes per
	// second. It is less than half of a link of 10 Mbit/s; heartbeats need the
	// rest.
	answerRate = 512 << 10
	// answerBurst is the burst size of that limit, in bytes.
	answerBurst = 64 << 10
	// answerBatch is the number of records in one part of an answer, about 18 KB.
	answerBatch = 200
	// fanout is the number of hubs that a record received from a peer is
	// forwarded to.
	fanout = 6
)

// query is a query that waits for its answer; the zero value means no query.
type query struct {
	peer string
	at   time.Time
	// digest and other are this instance's and the peer's digest at the time of
	// the query; useful is set if the answer brought anything new.
	digest, other uint64
	useful        bool
}

// open reports whether the query still waits for its answer.
func (qry *query) open(now time.Time) bool {
	return qry.peer != "" && now.Sub(qry.at) < askTimeout
}

// digestPair holds the digests of this instance and a peer at the time of a query
// whose answer brought nothing new.
type digestPair struct {
	own, peer uint64
	at        time.Time
}

// peerQuery is a peer's query for server records that hasn't been answered yet.
type peerQuery struct {
	peer string
	sums []uint64
	at   time.Time
}

// syncState is the control thread's state of queries and answers.
type syncState struct {
	// servers and config are the open queries, at most one of each: one peer's
	// answer is enough.
	servers, config query
	// divergedSince is the time since which each peer's digest has differed.
	divergedSince map[string]time.Time
	// noProgress holds the peers whose last answer brought nothing new.
	noProgress map[string]digestPair
	// toForward are records to forward, by the peer that sent them.
	toForward map[string][]stock.Record
	// joined are new members to announce to the peers with the next heartbeat.
	joined []member.Member
	// queries are peers' queries to answer, one for each peer; answering is the
	// peer that the pending records are sent to.
	queries   []peerQuery
	answering string
	pending   []stock.Record
	// tokens is the token bucket of answers, in bytes.
	tokens     float64
	refilledAt time.Time
	// packed is the compressed configuration of packedVersion.
	packed        []byte
	packedVersion int64
}

func newSyncState() *syncState {
	return &syncState{divergedSince: map[string]time.Time{}, noProgress: map[string]digestPair{}, toForward: map[string][]stock.Record{}}
}

// forget drops the state of a peer whose link was closed.
func (syn *syncState) forget(peer string) {
	delete(syn.divergedSince, peer)
	delete(syn.noProgress, peer)
	if syn.servers.peer == peer {
		syn.servers = query{}
	}
	if syn.config.peer == peer {
		syn.config = query{}
	}
	if syn.answering == peer {
		syn.answering, syn.pending = "", nil
	}
}

// handleHeartbeat handles a heartbeat, and asks its sender for what this instance
// lacks.
func (ctl *Control) handleHeartbeat(now time.Time, from string, hbt member.Heartbeat) {
	if ctl.mem.HeartbeatReceived(now, from, hbt) {
		// The sender may have become or ceased to be the coordinator.
		ctl.updateDuties(now)
	}
	ctl.compareDigest(now, from, hbt.ServerDigest)
	ctl.askNewerConfig(now, from, hbt.ConfigVersion)
}

// handleHeartbeatRepeat handles a heartbeat that repeats the last one.
func (ctl *Control) handleHeartbeatRepeat(now time.Time, from string) {
	hbt := ctl.mem.HeartbeatRepeated(now, from)
	ctl.compareDigest(now, from, hbt.ServerDigest)
	ctl.askNewerConfig(now, from, hbt.ConfigVersion)
}

// askNewerConfig asks a peer for its configuration if it is newer, or if this
// instance has resumed after a pause and must confirm that its own is current.
func (ctl *Control) askNewerConfig(now time.Time, from string, version int64) {
	own := int64(0)
	if ctl.tab != nil {
		own = ctl.tab.Version()
	}
	resumed := !ctl.verified && !ctl.readConfig && version > 0
	if version <= own && !resumed || ctl.sync.config.open(now) {
		return
	}
	if ctl.lnk.Send(from, mesh.AskConfig{Version: own}) {
		ctl.sync.config = query{peer: from, at: now}
	}
}

// sendConfig answers mesh.AskConfig.
func (ctl *Control) sendConfig(peer string, version int64) {
	if ctl.tab == nil || !ctl.verified {
		return
	}
	msg := mesh.Config{Version: ctl.tab.Version()}
	if version < msg.Version {
		msg.Document, msg.Packed = ctl.doc, ctl.packedConfig()
	}
	ctl.lnk.Send(peer, msg)
}

// packedConfig returns the compressed configuration, which is made once for each
// version.
func (ctl *Control) packedConfig() []byte {
	if ctl.sync.packedVersion != ctl.tab.Version() {
		raw, err := mesh.Pack(ctl.doc)
		if err != nil {
			ctl.log.Log("config-compress-failed", lines.Fields{"error": err.Error()})
			raw = nil
		}
		ctl.sync.packed, ctl.sync.packedVersion = raw, ctl.tab.Version()
	}
	return ctl.sync.packed
}

// handleConfig handles a peer's configuration.
func (ctl *Control) handleConfig(now time.Time, from string, msg mesh.Config) {
	if ctl.sync.config.peer == from {
		ctl.sync.config = query{}
	}
	if len(msg.Document) > 0 {
		ctl.adoptConfig(now, msg.Document, from)
	}
	ctl.readConfig = ctl.readConfig || ctl.relinked[from]
	ctl.verify(now)
}

// compareDigest asks a peer for differing server records if the digests have
// differed for a while: a record may have been missed while links changed. A new
// or resumed instance asks at once.
func (ctl *Control) compareDigest(now time.Time, from string, digest uint64) {
	resumed := !ctl.verified && !ctl.readServers && digest != 0
	if digest == ctl.registry.Digest() && !resumed {
		delete(ctl.sync.divergedSince, from)
		return
	}
	qry := &ctl.sync.servers
	if qry.open(now) {
		return
	}
	if !resumed && (ctl.registry.Len() > 0 || digest == 0) {
		since, have := ctl.sync.divergedSince[from]
		if !have {
			ctl.sync.divergedSince[from] = now
		}
		if !have || now.Sub(since) <= divergedDelay || now.Sub(qry.at) < syncInterval || ctl.backsOff(now, from, digest) {
			return
		}
	}
	if ctl.lnk.Send(from, mesh.AskServers{Sums: ctl.registry.Sums()}) {
		ctl.sync.divergedSince[from] = now.Add(divergedRetryInterval - divergedDelay)
		*qry = query{peer: from, at: now, digest: ctl.registry.Digest(), other: digest}
	}
}

// backsOff reports whether a peer isn't to be asked now, because its last answer
// brought nothing new and neither digest has changed since.
func (ctl *Control) backsOff(now time.Time, from string, digest uint64) bool {
	old, have := ctl.sync.noProgress[from]
	return have && old.own == ctl.registry.Digest() && old.peer == digest && now.Sub(old.at) < noProgressBackoff
}

// handleServers handles server records from a peer.
func (ctl *Control) handleServers(now time.Time, from string, msg mesh.Servers) {
	var applied []stock.Record
	for _, rec := range msg.List {
		if ctl.putRecord(now, rec, from) {
			applied = append(applied, rec)
		}
	}
	if len(applied) > 0 {
		ctl.serversDirty = true
	}
	if msg.Pushed {
		ctl.forward(applied, from)
	} else {
		ctl.handleAnswerPart(now, from, len(applied) > 0, !msg.Partial)
	}
	ctl.verify(now)
}

// handleAnswerPart handles a part of an answer. Its records aren't forwarded: peers
// that also lack them see that this instance's digest now differs, and ask.
func (ctl *Control) handleAnswerPart(now time.Time, from string, useful, complete bool) {
	if complete {
		ctl.readServers = ctl.readServers || ctl.relinked[from]
	}
	qry := &ctl.sync.servers
	if qry.peer != from {
		return
	}
	qry.at = now
	qry.useful = qry.useful || useful
	if !complete {
		return
	}
	if !qry.useful {
		ctl.sync.noProgress[from] = digestPair{own: qry.digest, peer: qry.other, at: now}
	}
	qry.peer = ""
}

// queueQuery queues a peer's query for server records, in place of an earlier
// one.
func (ctl *Control) queueQuery(now time.Time, from string, peerSums []uint64) {
	syn := ctl.sync
	for idx := range syn.queries {
		if syn.queries[idx].peer == from {
			syn.queries[idx] = peerQuery{peer: from, sums: peerSums, at: now}
			return
		}
	}
	syn.queries = append(syn.queries, peerQuery{peer: from, sums: peerSums, at: now})
}

// sendAnswers sends parts of answers within the rate limit. It collects the
// records for one peer at a time, so that many queries at once take little
// memory.
func (ctl *Control) sendAnswers(now time.Time) {
	syn := ctl.sync
	if syn.answering == "" && len(syn.queries) == 0 {
		return
	}
	syn.tokens = min(answerBurst, syn.tokens+now.Sub(syn.refilledAt).Seconds()*answerRate)
	syn.refilledAt = now
	for syn.tokens > 0 && ctl.nextAnswer(now) {
		num := min(answerBatch, len(syn.pending))
		msg := mesh.Servers{List: syn.pending[:num:num], Partial: num < len(syn.pending)}.Pack()
		syn.pending = syn.pending[num:]
		syn.tokens -= float64(mesh.Size(now, msg))
		peer := syn.answering
		if !msg.Partial {
			syn.answering, syn.pending = "", nil
		}
		if !ctl.lnk.Send(peer, msg) {
			syn.answering, syn.pending = "", nil
		}
	}
}

// nextAnswer starts the next answer if none is in progress. It skips queries
// older than askTimeout, whose senders have asked another peer.
func (ctl *Control) nextAnswer(now time.Time) bool {
	syn := ctl.sync
	for syn.answering == "" && len(syn.queries) > 0 {
		ask := syn.queries[0]
		syn.queries = syn.queries[1:]
		if now.Sub(ask.at) < askTimeout && ctl.verified {
			syn.answering, syn.pending = ask.peer, ctl.registry.Diverged(ask.sums)
		}
	}
	return syn.answering != ""
}

// forward applies records and queues them for the peers until the next tick: in a
// burst, a message for each record and peer costs more than the records
// themselves.
func (ctl *Control) forward(records []stock.Record, from string) {
	if len(records) == 0 {
		return
	}
	ctl.serversDirty = true
	ctl.sync.toForward[from] = append(ctl.sync.toForward[from], records...)
}

// sendForwards sends the records learned since the last tick. Instances get them
// from the two hubs of their zone; hubs get them from the store's readers and
// from each other.
func (ctl *Control) sendForwards(now time.Time) {
	if len(ctl.sync.toForward) == 0 {
		return
	}
	hub := ctl.mem.SelfIsHub(now)
	hubs, others := ctl.mem.GossipTargets(now)
	for from, records := range ctl.sync.toForward {
		delete(ctl.sync.toForward, from)
		targets := hubs
		if from != "" && !hub {
			// The hubs forward it to all instances.
			continue
		}
		if from != "" && len(hubs) > fanout {
			rand.Shuffle(len(hubs), func(i, j int) { hubs[i], hubs[j] = hubs[j], hubs[i] })
			targets = hubs[:fanout]
		}
		msg := mesh.Servers{List: records, Pushed: true}.Pack()
		for _, adr := range slices.Concat(targets, others) {
			if adr != from {
				ctl.lnk.Send(adr, msg)
			}
		}
	}
}

// membersPeriod is how often the hubs of a large fleet send the digest of all
// members to the instances linked to them, which see few others.
const membersPeriod = 10 * time.Second

// announceMembers announces members that joined this hub's zone to all peers,
// which learn of them only from hubs, and periodically sends a digest of the
// members.
func (ctl *Control) announceMembers(now time.Time) {
	joined := ctl.sync.joined
	ctl.sync.joined = nil
	if !ctl.mem.SelfIsHub(now) {
		return
	}
	if len(joined) > 0 {
		for _, adr := range ctl.mem.Peers() {
			ctl.lnk.Send(adr, mesh.Members{List: joined})
		}
	}
	if now.Sub(ctl.membersAt) < membersPeriod {
		return
	}
	ctl.membersAt = now
	dig := ctl.mem.Sums().Digest()
	for _, adr := range ctl.mem.Peers() {
		ctl.lnk.Send(adr, mesh.Members{Digest: dig})
	}
}

// handleMembers handles a list of members, and asks for the missing ones if the digest
// differs.
func (ctl *Control) handleMembers(now time.Time, from string, msg mesh.Members) {
	if msg.Digest == 0 {
		ctl.mem.Learn(now, msg.List)
		ctl.mem.Confirm(now, from, msg.MatchingBuckets, msg.List)
		return
	}
	own := ctl.mem.Sums()
	if own.Digest() == msg.Digest {
		ctl.mem.Confirm(now, from, sums.All, nil)
		return
	}
	ctl.lnk.Send(from, mesh.AskMembers{Sums: own.List()})
}

// sendDivergedMembers answers mesh.AskMembers.
func (ctl *Control) sendDivergedMembers(from string, peerSums []uint64) {
	list, same := ctl.mem.Diverged(peerSums)
	ctl.lnk.Send(from, mesh.Members{List: list, MatchingBuckets: same})
}

// greet sends a new peer this instance's state, and announces the peer to others
// if that is this instance's duty.
func (ctl *Control) greet(now time.Time, mem member.Member) {
	delete(ctl.sent.missed, mem.Address)
	if !ctl.lnk.Send(mem.Address, ctl.heartbeat(now)) {
		ctl.sent.missed[mem.Address] = true
	}
	ctl.lnk.Send(mem.Address, mesh.Members{Digest: ctl.mem.Sums().Digest()})
	if list := ctl.limits.reports(); len(list) > 0 {
		ctl.lnk.Send(mem.Address, mesh.Limits{List: list})
	}
	ctl.sendCrashes(mem.Address)
	if ctl.mem.AnnouncesNewcomer(now, mem.Zone) {
		ctl.sync.joined = append(ctl.sync.joined, mem)
	}
}
