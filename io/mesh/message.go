package mesh

import (
	"maps"
	"math"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"lovagestream/core/call"
	"lovagestream/core/fair"
	"lovagestream/core/member"
	"lovagestream/core/pause"
	"lovagestream/core/place"
	"lovagestream/core/rates"
	"lovagestream/core/resume"
	"lovagestream/core/sched"
	"lovagestream/core/speed"
	"lovagestream/core/stock"
	"lovagestream/core/sums"
	"lovagestream/core/table"
	"lovagestream/io/mesh/wire"
)

// Message is a message between entry instances.
type Message interface {
	// encode is called when the message is sent at now. Times are encoded relative
	// to now.
	encode(now time.Time) *wire.Envelope
}

// The kinds of messages.
type (
	// Heartbeat reports that the sender is alive, and its state.
	Heartbeat struct{ member.Heartbeat }
	// HeartbeatRepeat reports that the sender is alive and that its state is still
	// that of its last Heartbeat.
	HeartbeatRepeat struct{}
	// Members lists instances, or has only the digest of all instances that the
	// sender knows.
	Members struct {
		List   []member.Member
		Digest uint64
		// MatchingBuckets has, in an answer, the buckets in which both sides know
		// the same instances.
		MatchingBuckets sums.Mask
	}
	// AskMembers asks for the members in the buckets where the receiver's sums
	// differ from the sender's.
	AskMembers struct{ Sums []uint64 }
	// Config is a configuration as it was published. Without a document it answers
	// AskConfig that there is no newer one. Packed, if set, is the compressed
	// document, which is sent instead.
	Config struct {
		Version  int64
		Document []byte
		Packed   []byte
	}
	// AskConfig asks for a configuration newer than Version.
	AskConfig struct{ Version int64 }
	// Servers has records of backend servers: recent changes, or an answer to
	// AskServers.
	Servers struct {
		List []stock.Record
		// Partial marks one chunk of an answer that more chunks follow.
		Partial bool
		// Pushed marks recent changes that are sent without being asked for.
		Pushed bool
		// Packed, if set, is the compressed list, which is sent instead.
		Packed []byte
	}
	// AskServers asks for the records in the buckets where the receiver's sums
	// differ from the sender's.
	AskServers struct{ Sums []uint64 }
	// Submit hands a request over to its coordinator, which chooses the engine and
	// runs the stages before it.
	Submit struct{ Spec sched.Spec }
	// Adopt hands a request that runs at an engine over to a new coordinator.
	Adopt struct {
		Spec   sched.Spec
		Engine string
	}
	// Withdraw cancels a request, for example after its caller left.
	Withdraw struct{ ID string }
	// Began reports the first event of a request's answer.
	Began struct{ ID string }
	// Ended reports the end of a request's run.
	Ended struct {
		ID      string
		Outcome place.Outcome
	}
	// Retry reports that a run ended without an answer and asks for another
	// engine. Spec lets a coordinator that doesn't know the request schedule it as a
	// new one.
	Retry struct {
		Spec       sched.Spec
		Outcome    place.Outcome
		InputsGone bool
	}
	// Decision answers Submit.
	Decision struct{ sched.Decision }
	// Crash reports a backend server that was lost with a request in flight.
	// Request is the request's fingerprint, Parts are those of the parts of its prompt
	// unless its answer had begun well before, Names their names for operators. Ended is set if the server refused new
	// connections. At is the time by this instance's clock.
	Crash struct {
		Request uint64
		Parts   []uint64
		Names   []string
		Server  string
		Ended   bool
		At      time.Time
	}
	// Crashes has the crashes that the sender knows of, for a new link.
	Crashes struct{ List []Crash }
	// Sound reports that requests with these fingerprints were answered, with the time of
	// the last answer by this instance's clock.
	Sound struct{ Prints map[uint64]time.Time }
	// Answered reports that servers answered which were taken for crashed. Running are
	// those of them that were reached as they were reported, so that they have not started
	// again since.
	Answered struct {
		Servers []string
		Running []string
	}
	// HeldResults reports results that a stage server holds for a request of the
	// receiver.
	HeldResults struct{ sched.HeldResults }
	// Limits reports the request rates that backend servers accept, and the brittle
	// servers with the rejections in a second that they survive, 0 once they are not
	// brittle any more.
	Limits struct {
		List    []rates.Report
		Brittle map[string]int
	}
	// Usages reports to the coordinator what client accounts ask of contended
	// services through the sender.
	Usages struct{ List []fair.Usage }
	// Streams has records of streams for the receiver to keep, or answers AskStream:
	// Unknown are the IDs that the sender doesn't know, Requests the requests of which List
	// has all streams that it knows.
	Streams struct {
		List     []resume.Record
		Unknown  []string
		Requests []uint64
	}
	// AskStream asks for the record of the stream with an ID or, without one, of all
	// streams of a request.
	AskStream struct {
		ID      string
		Request uint64
	}
	// Speeds has the lasting speeds of engines by service, for an instance that may
	// become the coordinator.
	Speeds struct{ Records map[string][]speed.Record }
	// Standings names the client accounts over their share, and replaces what the
	// same sender named before.
	Standings struct{ List []fair.Standing }
)

var (
	_ Message = Heartbeat{}
	_ Message = HeartbeatRepeat{}
	_ Message = Members{}
	_ Message = AskMembers{}
	_ Message = Config{}
	_ Message = AskConfig{}
	_ Message = Servers{}
	_ Message = AskServers{}
	_ Message = Submit{}
	_ Message = Adopt{}
	_ Message = Withdraw{}
	_ Message = Began{}
	_ Message = Ended{}
	_ Message = Retry{}
	_ Message = Decision{}
	_ Message = Crash{}
	_ Message = Answered{}
	_ Message = Sound{}
	_ Message = Crashes{}
	_ Message = HeldResults{}
	_ Message = Limits{}
	_ Message = Usages{}
	_ Message = Standings{}
	_ Message = Streams{}
	_ Message = AskStream{}
	_ Message = Speeds{}
)

func (msg Heartbeat) encode(time.Time) *wire.Envelope {
	age := msg.StoreAge.Milliseconds()
	if msg.StoreAge < 0 {
		age = -1
	}
	return &wire.Envelope{Body: &wire.Envelope_Beat{Beat: &wire.Beat{Ready: msg.Ready, Leaving: msg.Leaving, Fresh: age, Version: msg.ConfigVersion, Digest: msg.ServerDigest, ServersLost: msg.ServersLost, StoreFailing: msg.StoreFailing, Overloaded: msg.Overloaded}}}
}

func (HeartbeatRepeat) encode(time.Time) *wire.Envelope {
	return &wire.Envelope{Body: &wire.Envelope_Again{Again: &wire.Again{}}}
}

func (msg Members) encode(time.Time) *wire.Envelope {
	out := &wire.Members{Digest: msg.Digest, Same: uint64(msg.MatchingBuckets)}
	for _, mem := range msg.List {
		out.List = append(out.List, fromMember(mem))
	}
	return &wire.Envelope{Body: &wire.Envelope_Members{Members: out}}
}

func fromMember(mem member.Member) *wire.Member {
	return &wire.Member{Address: mem.Address, Zone: mem.Zone, Born: mem.StartedAt, Share: uint32(max(0, mem.MilliCPU))}
}

func toMember(mem *wire.Member) member.Member {
	return member.Member{Address: mem.GetAddress(), Zone: mem.GetZone(), StartedAt: mem.GetBorn(), MilliCPU: int(mem.GetShare())}
}

func (msg Config) encode(time.Time) *wire.Envelope {
	out := &wire.Config{Version: msg.Version, Document: msg.Document}
	if len(msg.Packed) > 0 {
		out.Document, out.Packed = nil, msg.Packed
	}
	return &wire.Envelope{Body: &wire.Envelope_Config{Config: out}}
}

// toConfig returns nil if the document can't be decompressed; it is then asked for
// again.
func toConfig(con *wire.Config) Message {
	out := Config{Version: con.GetVersion(), Document: con.GetDocument()}
	if len(con.GetPacked()) > 0 {
		doc, err := unpack(con.GetPacked())
		if err != nil {
			return nil
		}
		out.Document = doc
	}
	return out
}

func (msg AskConfig) encode(time.Time) *wire.Envelope {
	return &wire.Envelope{Body: &wire.Envelope_AskConfig{AskConfig: &wire.AskConfig{Version: msg.Version}}}
}

func (msg AskServers) encode(time.Time) *wire.Envelope {
	return &wire.Envelope{Body: &wire.Envelope_AskServers{AskServers: &wire.AskServers{Sums: msg.Sums}}}
}

func (msg AskMembers) encode(time.Time) *wire.Envelope {
	return &wire.Envelope{Body: &wire.Envelope_AskMembers{AskMembers: &wire.AskMembers{Sums: msg.Sums}}}
}

func (msg Servers) encode(time.Time) *wire.Envelope {
	out := msg.wire()
	if len(msg.Packed) > 0 {
		out = &wire.Servers{Packed: msg.Packed}
	}
	out.Part, out.News = msg.Partial, msg.Pushed
	return &wire.Envelope{Body: &wire.Envelope_Servers{Servers: out}}
}

func (msg Servers) wire() *wire.Servers {
	out := &wire.Servers{}
	for _, rec := range msg.List {
		out.List = append(out.List, fromServer(rec))
	}
	return out
}

// minPackRecords is the number of records from which a list is compressed.
const minPackRecords = 20

// Pack returns the message with its list also compressed, for sending to many
// peers. A message with a short list is returned unchanged.
func (msg Servers) Pack() Servers {
	if len(msg.List) < minPackRecords {
		return msg
	}
	raw, err := proto.Marshal(msg.wire())
	if err != nil {
		return msg
	}
	if packed, err := Pack(raw); err == nil {
		msg.Packed = packed
	}
	return msg
}

// toServers returns nil if the list can't be decompressed; the records that differ
// are then asked for again.
func toServers(ser *wire.Servers) Message {
	out := Servers{Partial: ser.GetPart(), Pushed: ser.GetNews()}
	list := ser.GetList()
	if len(ser.GetPacked()) > 0 {
		raw, err := unpack(ser.GetPacked())
		inner := &wire.Servers{}
		if err != nil || proto.Unmarshal(raw, inner) != nil {
			return nil
		}
		list = inner.GetList()
	}
	for _, one := range list {
		out.List = append(out.List, toServer(one))
	}
	return out
}

func fromServer(rec stock.Record) *wire.Server {
	ent := rec.Entry
	return &wire.Server{
		Id: ent.ID, Revision: int64(rec.Revision), Gone: rec.Removed, Service: ent.Service, Address: ent.Address, Zone: ent.Zone,
		Version: ent.Version, Slots: int32(ent.Slots), Leaving: ent.Leaving, Cold: ent.ColdStart.Milliseconds(), Sequence: ent.Sequence, Born: ent.StartedAt,
	}
}

func toServer(ser *wire.Server) stock.Record {
	return stock.Record{Revision: stock.Revision(ser.GetRevision()), Removed: ser.GetGone(), Entry: stock.Entry{
		ID: ser.GetId(), Service: ser.GetService(), Address: ser.GetAddress(), Zone: ser.GetZone(), Version: ser.GetVersion(),
		Slots: int(ser.GetSlots()), Leaving: ser.GetLeaving(), ColdStart: time.Duration(ser.GetCold()) * time.Millisecond, Sequence: ser.GetSequence(), StartedAt: ser.GetBorn(),
	}}
}

func (msg Submit) encode(now time.Time) *wire.Envelope {
	return &wire.Envelope{Body: &wire.Envelope_Submit{Submit: fromSpec(now, &msg.Spec)}}
}

func (msg Adopt) encode(now time.Time) *wire.Envelope {
	return &wire.Envelope{Body: &wire.Envelope_Adopt{Adopt: &wire.Adopt{Job: fromSpec(now, &msg.Spec), Engine: msg.Engine}}}
}

func fromSpec(now time.Time, spc *sched.Spec) *wire.Submit {
	out := &wire.Submit{
		Id: spc.Key.ID, Service: spc.Service, PieceKey: spc.PieceKey, Prompt: int32(spc.PromptTokens), Output: int32(spc.MaxOutputTokens),
		Priority: int32(spc.Priority), Urgency: int32(spc.Urgency), Print: spc.Fingerprint, Account: spc.Account, Avoid: spc.Avoid, Again: spc.Retry, Zone: spc.Zone, Attempt: spc.Attempt, Software: spc.Version, GoesOn: spc.GoesOn,
		Arrived: spc.Arrived.Sub(now).Microseconds(), Aim: spc.Target.Sub(now).Microseconds(),
		Give: spc.GiveUp.Sub(now).Microseconds(), End: spc.Deadline.Sub(now).Microseconds(),
	}
	for _, stg := range spc.Stages {
		out.Stages = append(out.Stages, &wire.Stage{Service: stg.Service, After: toInt32(stg.DependsOn), Size: stg.ResultSize})
	}
	out.Pieces = toInt32(spc.Pieces)
	for _, par := range spc.Parts {
		out.Parts = append(out.Parts, &wire.Part{Id: par.ID, Tokens: int32(par.Tokens)})
	}
	for _, one := range spc.Paused {
		out.Paused = append(out.Paused, &wire.Paused{Server: one.ID, Left: one.Until.Sub(now).Microseconds()})
	}
	for idx := range spc.HeldResults {
		hld := fromHeld(now, &spc.HeldResults[idx])
		// The request's ID and attempt are already in Submit.
		hld.Id, hld.Attempt = "", 0
		out.Held = append(out.Held, hld)
	}
	return out
}

func fromHeld(now time.Time, hld *sched.HeldResults) *wire.Held {
	return &wire.Held{
		Id: hld.Key.ID, Attempt: hld.Attempt, Stage: int32(hld.Stage), Server: hld.Server,
		Pieces: toInt32(hld.Pieces), Handles: hld.Handles, Left: hld.Expires.Sub(now).Microseconds(),
	}
}

func toHeld(now time.Time, key sched.Key, attempt uint64, hld *wire.Held) sched.HeldResults {
	return sched.HeldResults{
		Key: key, Attempt: attempt, Stage: int(hld.GetStage()), Server: hld.GetServer(),
		Pieces: fromInt32(hld.GetPieces()), Handles: hld.GetHandles(), Expires: now.Add(time.Duration(hld.GetLeft()) * time.Microsecond),
	}
}

func toSpec(now time.Time, owner string, sub *wire.Submit) sched.Spec {
	at := func(mic int64) time.Time { return now.Add(time.Duration(mic) * time.Microsecond) }
	spc := sched.Spec{
		Key: sched.Key{Owner: owner, ID: sub.GetId()}, Zone: sub.GetZone(), Service: sub.GetService(), PieceKey: sub.GetPieceKey(),
		PromptTokens: int(sub.GetPrompt()), MaxOutputTokens: int(sub.GetOutput()), Priority: int(sub.GetPriority()), Urgency: int(sub.GetUrgency()), Fingerprint: sub.GetPrint(), Account: sub.GetAccount(),
		Arrived: at(sub.GetArrived()), Target: at(sub.GetAim()), GiveUp: at(sub.GetGive()), Deadline: at(sub.GetEnd()),
		Avoid: sub.GetAvoid(), Retry: sub.GetAgain(), Version: sub.GetSoftware(), GoesOn: sub.GetGoesOn(), Attempt: sub.GetAttempt(), Pieces: fromInt32(sub.GetPieces()),
	}
	for _, stg := range sub.GetStages() {
		spc.Stages = append(spc.Stages, table.Stage{Service: stg.GetService(), DependsOn: fromInt32(stg.GetAfter()), ResultSize: stg.GetSize()})
	}
	for _, par := range sub.GetParts() {
		spc.Parts = append(spc.Parts, call.PromptPart{ID: par.GetId(), Tokens: int(par.GetTokens())})
	}
	for _, one := range sub.GetPaused() {
		spc.Paused = append(spc.Paused, pause.Server{ID: one.GetServer(), Until: at(one.GetLeft())})
	}
	for _, hld := range sub.GetHeld() {
		spc.HeldResults = append(spc.HeldResults, toHeld(now, spc.Key, spc.Attempt, hld))
	}
	return spc
}

func toInt32(list []int) []int32 {
	out := make([]int32, len(list))
	for idx, num := range list {
		out[idx] = int32(num)
	}
	return out
}

func fromInt32(list []int32) []int {
	out := make([]int, len(list))
	for idx, num := range list {
		out[idx] = int(num)
	}
	return out
}

func (msg Withdraw) encode(time.Time) *wire.Envelope {
	return &wire.Envelope{Body: &wire.Envelope_Withdraw{Withdraw: &wire.Withdraw{Id: msg.ID}}}
}

func (msg Began) encode(time.Time) *wire.Envelope {
	return &wire.Envelope{Body: &wire.Envelope_Began{Began: &wire.Began{Id: msg.ID}}}
}

func (msg Ended) encode(time.Time) *wire.Envelope {
	return &wire.Envelope{Body: &wire.Envelope_Ended{Ended: &wire.Ended{Id: msg.ID, Outcome: uint32(msg.Outcome)}}}
}

func (msg Retry) encode(now time.Time) *wire.Envelope {
	return &wire.Envelope{Body: &wire.Envelope_Retry{Retry: &wire.Retry{
		Id: msg.Spec.Key.ID, Outcome: uint32(msg.Outcome), InputsGone: msg.InputsGone, Job: fromSpec(now, &msg.Spec),
	}}}
}

func (msg Decision) encode(time.Time) *wire.Envelope {
	return &wire.Envelope{Body: &wire.Envelope_Verdict{Verdict: &wire.Verdict{
		Id: msg.Key.ID, Word: uint32(msg.Outcome), Reason: msg.Reason, After: msg.RetryAfter.Microseconds(),
		Server: fromServer(stock.Record{Entry: msg.Server}), Inputs: msg.Inputs,
		Expected: msg.Estimate.Microseconds(), Allowed: msg.Allowed.Microseconds(), Standing: fromDecided(msg.Standing),
	}}}
}

func (msg Crash) encode(now time.Time) *wire.Envelope {
	return &wire.Envelope{Body: &wire.Envelope_Crash{Crash: msg.wire(now)}}
}

func (msg Crash) wire(now time.Time) *wire.Crash {
	return &wire.Crash{Request: msg.Request, Parts: msg.Parts, Names: msg.Names, Server: msg.Server, Ended: msg.Ended, Age: now.Sub(msg.At).Microseconds()}
}

func (msg Crashes) encode(now time.Time) *wire.Envelope {
	bod := &wire.Crashes{}
	for _, crs := range msg.List {
		bod.List = append(bod.List, crs.wire(now))
	}
	return &wire.Envelope{Body: &wire.Envelope_Crashes{Crashes: bod}}
}

func toCrashes(now time.Time, list []*wire.Crash) Crashes {
	msg := Crashes{}
	for _, crs := range list {
		msg.List = append(msg.List, toCrash(now, crs))
	}
	return msg
}

// maxCrashParts bounds the parts of a prompt in a report.
const maxCrashParts = 256

// toCrash returns a crash by this instance's clock. A build that sends no age reports a crash
// at once.
func toCrash(now time.Time, crs *wire.Crash) Crash {
	age := time.Duration(max(0, crs.GetAge())) * time.Microsecond
	parts, names := crs.GetParts(), crs.GetNames()
	if len(parts) > maxCrashParts || len(names) > len(parts) {
		parts, names = nil, nil
	}
	return Crash{Request: crs.GetRequest(), Parts: parts, Names: names, Server: crs.GetServer(), Ended: crs.GetEnded(), At: now.Add(-age)}
}

func (msg Sound) encode(now time.Time) *wire.Envelope {
	bod := &wire.Sound{}
	for fpr, at := range msg.Prints {
		bod.Prints = append(bod.Prints, fpr)
		bod.Ages = append(bod.Ages, now.Sub(at).Microseconds())
	}
	return &wire.Envelope{Body: &wire.Envelope_Sound{Sound: bod}}
}

func toSound(now time.Time, snd *wire.Sound) Sound {
	msg := Sound{Prints: map[uint64]time.Time{}}
	for i, fpr := range snd.GetPrints() {
		if i < len(snd.GetAges()) {
			msg.Prints[fpr] = now.Add(-time.Duration(max(0, snd.GetAges()[i])) * time.Microsecond)
		}
	}
	return msg
}

func (msg Answered) encode(time.Time) *wire.Envelope {
	return &wire.Envelope{Body: &wire.Envelope_Answered{Answered: &wire.Answered{Servers: msg.Servers, Running: msg.Running}}}
}

func (msg HeldResults) encode(now time.Time) *wire.Envelope {
	return &wire.Envelope{Body: &wire.Envelope_Held{Held: fromHeld(now, &msg.HeldResults)}}
}

func (msg Limits) encode(time.Time) *wire.Envelope {
	out := &wire.Limits{}
	for _, rep := range msg.List {
		out.List = append(out.List, &wire.Limit{Server: rep.Server, Rate: rep.Rate, Ended: rep.Ended})
	}
	for _, id := range slices.Sorted(maps.Keys(msg.Brittle)) {
		out.Brittle = append(out.Brittle, &wire.Brittle{Server: id, Rejections: uint32(max(0, msg.Brittle[id]))}) //nolint:gosec // The decoder of answers bounds it.
	}
	return &wire.Envelope{Body: &wire.Envelope_Limits{Limits: out}}
}

// toLimits drops reports whose rate is negative, infinite or not a number.
func toLimits(lim *wire.Limits) Message {
	var out Limits
	for _, one := range lim.GetList() {
		if one.GetRate() >= 0 && !math.IsInf(one.GetRate(), 0) {
			out.List = append(out.List, rates.Report{Server: one.GetServer(), Rate: one.GetRate(), Ended: one.GetEnded()})
		}
	}
	for _, bri := range lim.GetBrittle() {
		if out.Brittle == nil {
			out.Brittle = map[string]int{}
		}
		out.Brittle[bri.GetServer()] = int(bri.GetRejections())
	}
	return out
}

// decode converts a message that peer from sent to this instance. It returns nil
// for a message that this version doesn't know or that can't be decompressed.
func decode(now time.Time, self, from string, env *wire.Envelope) Message {
	switch bod := env.GetBody().(type) {
	case *wire.Envelope_Beat:
		age := time.Duration(bod.Beat.GetFresh()) * time.Millisecond
		return Heartbeat{member.Heartbeat{Ready: bod.Beat.GetReady(), Leaving: bod.Beat.GetLeaving(), StoreAge: age, ConfigVersion: bod.Beat.GetVersion(), ServerDigest: bod.Beat.GetDigest(), ServersLost: bod.Beat.GetServersLost(), StoreFailing: bod.Beat.GetStoreFailing(), Overloaded: bod.Beat.GetOverloaded()}}
	case *wire.Envelope_Again:
		return HeartbeatRepeat{}
	case *wire.Envelope_Members:
		out := Members{Digest: bod.Members.GetDigest(), MatchingBuckets: sums.Mask(bod.Members.GetSame())}
		for _, mem := range bod.Members.GetList() {
			out.List = append(out.List, toMember(mem))
		}
		return out
	case *wire.Envelope_Config:
		return toConfig(bod.Config)
	case *wire.Envelope_AskConfig:
		return AskConfig{Version: bod.AskConfig.GetVersion()}
	case *wire.Envelope_AskServers:
		return AskServers{Sums: bod.AskServers.GetSums()}
	case *wire.Envelope_AskMembers:
		return AskMembers{Sums: bod.AskMembers.GetSums()}
	case *wire.Envelope_Servers:
		return toServers(bod.Servers)
	case *wire.Envelope_Submit:
		return Submit{Spec: toSpec(now, from, bod.Submit)}
	case *wire.Envelope_Adopt:
		return Adopt{Spec: toSpec(now, from, bod.Adopt.GetJob()), Engine: bod.Adopt.GetEngine()}
	case *wire.Envelope_Withdraw:
		return Withdraw{ID: bod.Withdraw.GetId()}
	case *wire.Envelope_Began:
		return Began{ID: bod.Began.GetId()}
	case *wire.Envelope_Ended:
		return Ended{ID: bod.Ended.GetId(), Outcome: place.Outcome(bod.Ended.GetOutcome())}
	case *wire.Envelope_Retry:
		ret := bod.Retry
		return Retry{Spec: toSpec(now, from, ret.GetJob()), Outcome: place.Outcome(ret.GetOutcome()), InputsGone: ret.GetInputsGone()}
	case *wire.Envelope_Verdict:
		ver := bod.Verdict
		return Decision{sched.Decision{
			Key: sched.Key{Owner: self, ID: ver.GetId()}, Outcome: sched.Outcome(ver.GetWord()), Reason: ver.GetReason(),
			RetryAfter: time.Duration(ver.GetAfter()) * time.Microsecond, Server: toServer(ver.GetServer()).Entry, Inputs: ver.GetInputs(),
			Estimate: time.Duration(ver.GetExpected()) * time.Microsecond, Allowed: time.Duration(ver.GetAllowed()) * time.Microsecond,
			Standing: toStanding(ver.GetStanding()),
		}}
	case *wire.Envelope_Crash:
		return toCrash(now, bod.Crash)
	case *wire.Envelope_Crashes:
		return toCrashes(now, bod.Crashes.GetList())
	case *wire.Envelope_Sound:
		return toSound(now, bod.Sound)
	case *wire.Envelope_Answered:
		return Answered{Servers: bod.Answered.GetServers(), Running: bod.Answered.GetRunning()}
	case *wire.Envelope_Limits:
		return toLimits(bod.Limits)
	case *wire.Envelope_Usages:
		return toUsages(bod.Usages)
	case *wire.Envelope_Standings:
		return toStandings(bod.Standings)
	case *wire.Envelope_Streams:
		return toStreams(now, bod.Streams)
	case *wire.Envelope_AskStream:
		return AskStream{ID: bod.AskStream.GetId(), Request: bod.AskStream.GetRequest()}
	case *wire.Envelope_Speeds:
		return toSpeeds(bod.Speeds)
	case *wire.Envelope_Held:
		return HeldResults{toHeld(now, sched.Key{Owner: self, ID: bod.Held.GetId()}, bod.Held.GetAttempt(), bod.Held)}
	}
	return nil
}
