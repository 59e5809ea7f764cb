package replay

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"lovagestream/core/call"
	"lovagestream/core/member"
	"lovagestream/core/place"
	"lovagestream/core/sched"
	"lovagestream/core/stock"
	"lovagestream/core/table"
)

const (
	// networkDelay is the delay of a message between instances or to a server.
	networkDelay = 2 * time.Millisecond
	// tickInterval is the interval of the control thread's timer.
	tickInterval = 10 * time.Millisecond
	// streamEventTime is the time between two events of a stream.
	streamEventTime = 20 * time.Millisecond
	// modelService names the engines' service.
	modelService = "model"
)

// request is one caller's request with its retries.
type request struct {
	kind     *Kind
	spec     sched.Spec
	arrived  time.Time
	attempts int
	value    float64
	earned   float64
	served   bool
	// ended is set when the current attempt has ended.
	ended bool
	// coordinator is the index of the instance that has the request; engine is set
	// while the request is placed.
	coordinator int
	engine      string
	account     string
	// refused is set once the request was refused.
	refused bool
	// takenUp is set once the stream broke and its caller takes it up, wentOn once it
	// goes on.
	takenUp bool
	wentOn  bool
	// unservedWait is the longest wait of an attempt that got no answer.
	unservedWait time.Duration
}

type simulation struct {
	scn *Scenario
	ply sched.Policy
	// ownCalls makes each instance schedule the requests of its own callers.
	// keepJobs makes it keep its jobs once another instance is the coordinator.
	ownCalls bool
	keepJobs bool
	// forgetSpeeds makes a new coordinator begin without its predecessor's records.
	forgetSpeeds bool
	rnd          *rand.Rand
	now          time.Time
	end          time.Time
	queue        eventQueue
	seq          int
	tab          *table.Table
	live         []stock.Entry

	instances   []*instance
	requests    []*request
	byKey       map[sched.Key]*request
	servers     map[string]*server
	engines     map[string]*engine
	rateFactors map[string]float64
	// hotShares are the shares of requests with a hot prompt, by kind.
	hotShares map[string]float64
	seed      uint64
	// floods are the factors of flooding accounts, abuse the retries of those
	// whose callers retry at once.
	floods map[string]float64
	abuse  map[string]int
	// accountRnd draws accounts, apart from all else.
	accountRnd *rand.Rand
	// allDown is set while no instance runs. unlinked is the number of restarted
	// instances that have not found each other yet.
	allDown  bool
	unlinked int
	// breaks is the share of streams that break.
	breaks float64
	// lostAt is when the coordinator was lost.
	lostAt time.Time
	res    Result
	// crossZone is the size of results sent between zones, in bytes.
	crossZone int64
}

// instance is an entry instance: a sched.Scheduler on the simulated network.
type instance struct {
	sim  *simulation
	num  int
	sch  *sched.Scheduler
	lost bool
	// replacedAt is when another instance became the coordinator.
	replacedAt time.Time
}

var _ sched.Effects = (*instance)(nil)

func newSimulation(scn *Scenario, ply sched.Policy, baseline string, seed uint64) *simulation {
	ownCalls := baseline == "own-calls"
	sim := &simulation{scn: scn, ply: ply, ownCalls: ownCalls, keepJobs: baseline == "jobs-kept", forgetSpeeds: baseline == "speeds-forgotten", rnd: rand.New(rand.NewPCG(seed, 7)), now: time.Unix(1000, 0), byKey: map[sched.Key]*request{}, servers: map[string]*server{}, engines: map[string]*engine{}, rateFactors: map[string]float64{}, floods: map[string]float64{}, abuse: map[string]int{}, accountRnd: rand.New(rand.NewPCG(seed, 11)), hotShares: map[string]float64{}, seed: seed}
	sim.end = sim.now.Add(scn.Duration.d())
	sim.build()
	num := 1
	if ownCalls {
		num = scn.Instances
	}
	for range num {
		sim.addInstance()
	}
	for idx := range scn.Kinds {
		sim.scheduleArrivals(&scn.Kinds[idx])
	}
	for _, evt := range scn.Events {
		sim.after(evt.At.d(), func() { sim.apply(evt) })
	}
	sim.runTicks()
	return sim
}

func (sim *simulation) build() {
	var services []*table.Service
	for _, pol := range sim.scn.Pools {
		services = append(services, &table.Service{Name: pol.Name, Batch: &table.Batch{
			ConcurrentCalls: 1, QueuedCalls: 2, MaxPieces: pol.MaxPieces, CallTime: pol.CallTime.d(), PieceTime: pol.PieceTime.d(), ResultMemory: pol.ResultMemory, ResultLifetime: pol.ResultLifetime.d(),
		}})
		for num := range pol.Servers {
			ent := sim.addServer(pol.Name, num)
			sim.servers[ent.ID] = newServer(sim, ent, pol)
		}
	}
	eng := sim.scn.Engines
	services = append(services, &table.Service{Name: modelService, Model: &table.Model{Slots: eng.Slots, CacheTokens: eng.CacheTokens}})
	for num := range eng.Count {
		ent := sim.addServer(modelService, num)
		if eng.Versions > 0 {
			ent.Version = fmt.Sprint("v", num%eng.Versions)
			sim.live[len(sim.live)-1] = ent
		}
		sim.engines[ent.ID] = newEngine(sim, num, ent)
	}
	var routes []*table.Route
	for _, knd := range sim.scn.Kinds {
		routes = append(routes, &table.Route{Name: knd.Name, EventGapTarget: knd.EventGap.d(), Shares: []table.TrafficShare{{Service: modelService, Weight: 1}}})
	}
	sim.tab = table.New(1, routes, services, nil, table.Limits{})
}

func (sim *simulation) addServer(service string, num int) stock.Entry {
	ent := stock.Entry{ID: fmt.Sprintf("%s-%d", service, num), Service: service, Address: fmt.Sprintf("%s-%d", service, num), Zone: sim.scn.Zones[num%len(sim.scn.Zones)]}
	sim.live = append(sim.live, ent)
	return ent
}

// after schedules a function.
func (sim *simulation) after(wait time.Duration, fun func()) {
	sim.seq++
	heap.Push(&sim.queue, scheduledEvent{at: sim.now.Add(wait), seq: sim.seq, fun: fun})
}

func (sim *simulation) run() {
	for len(sim.queue) > 0 {
		nxt := heap.Pop(&sim.queue).(scheduledEvent)
		if nxt.at.After(sim.end.Add(20 * time.Second)) {
			return
		}
		sim.now = nxt.at
		nxt.fun()
	}
}

func (sim *simulation) runTicks() {
	for _, ins := range sim.instances {
		if ins.lost || ins.sch.Jobs() == 0 {
			continue
		}
		if !ins.replacedAt.IsZero() && !sim.keepJobs {
			ins.sch.Transfer(sim.now, ins.replacedAt, "")
		}
		ins.sch.Tick(sim.now)
	}
	if sim.now.Before(sim.end.Add(15 * time.Second)) {
		sim.after(tickInterval, sim.runTicks)
	}
}

// scheduleArrivals generates Poisson arrivals of a kind.
func (sim *simulation) scheduleArrivals(knd *Kind) {
	rate := knd.Rate * max(1, sim.rateFactors[knd.Name]) * sim.floodFactor()
	wait := time.Duration(sim.rnd.ExpFloat64() / rate * float64(time.Second))
	sim.after(wait, func() {
		if sim.now.After(sim.end) {
			return
		}
		sim.arrive(knd)
		sim.scheduleArrivals(knd)
	})
}

func (sim *simulation) arrive(knd *Kind) {
	prefix := fmt.Sprintf("%s-%d", knd.Name, sim.rnd.IntN(max(1, knd.Prefixes)))
	if share := sim.hotShares[knd.Name]; share > 0 && sim.rnd.Float64() < share {
		prefix = knd.Name + "-0"
	}
	suffix := max(16, int(float64(knd.PromptTokens-knd.PrefixTokens)*math.Exp(sim.rnd.NormFloat64()*0.6-0.18)))
	req := &request{kind: knd, arrived: sim.now, value: knd.Value}
	req.spec = sched.Spec{
		Zone: sim.scn.Zones[sim.rnd.IntN(len(sim.scn.Zones))], Service: modelService, Urgency: knd.Urgency, Account: knd.Account, PromptTokens: knd.PrefixTokens + suffix, MaxOutputTokens: 4 * knd.Events,
		Parts: []call.PromptPart{{ID: prefix, Tokens: knd.PrefixTokens}, {ID: fmt.Sprintf("own-%d", len(sim.requests)), Tokens: suffix}},
	}
	for _, stg := range knd.Stages {
		req.spec.Stages = append(req.spec.Stages, table.Stage{Service: stg.Pool, DependsOn: stg.After, ResultSize: stg.ResultSize})
		req.spec.Pieces = append(req.spec.Pieces, sim.drawPieces(stg))
	}
	if len(sim.scn.Accounts) > 0 {
		req.account, req.spec.Priority = sim.drawAccount()
		req.spec.Account = req.account
	}
	sim.requests = append(sim.requests, req)
	req.spec.Fingerprint = uint64(len(sim.requests))
	sim.submit(req, fmt.Sprintf("r%d", len(sim.requests)))
}

func (sim *simulation) drawPieces(stg Stage) int {
	if stg.Share > 0 && sim.rnd.Float64() > stg.Share {
		return 0
	}
	if stg.Pieces <= 1 {
		return 1
	}
	return int(max(1, min(4*stg.Pieces, math.Round(stg.Pieces*math.Exp(sim.rnd.NormFloat64()*0.6-0.18)))))
}

// submit starts one attempt of a request.
func (sim *simulation) submit(req *request, id string) {
	if sim.allDown {
		// No instance runs; the caller retries once, after the connect timeout.
		if req.attempts == 0 {
			req.attempts++
			sim.after(connectTimeout, func() { sim.submit(req, id+"-later") })
		}
		return
	}
	req.attempts++
	req.ended = false
	req.engine = ""
	spc := &req.spec
	spc.HeldResults = nil
	spc.Key = sched.Key{Owner: "me", ID: id}
	spc.Arrived, spc.Target = sim.now, sim.now.Add(req.kind.Target.d())
	spc.Deadline = req.arrived.Add(req.kind.Patience.d())
	spc.GiveUp = sim.now.Add(max(2*time.Second, 4*req.kind.Target.d()))
	if spc.GiveUp.After(spc.Deadline) {
		spc.GiveUp = spc.Deadline
	}
	req.coordinator = sim.coordinatorOf()
	sim.byKey[spc.Key] = req
	sim.forward(req)
	sim.after(spc.GiveUp.Sub(sim.now), func() { sim.abandon(req, id) })
}

// coordinatorOf returns the index of the instance that gets a request now.
func (sim *simulation) coordinatorOf() int {
	switch {
	case sim.ownCalls:
		return sim.rnd.IntN(len(sim.instances))
	case sim.unlinked > 0:
		return len(sim.instances) - 1 - sim.rnd.IntN(sim.unlinked)
	}
	return len(sim.instances) - 1
}

func (sim *simulation) forward(req *request) {
	ins := sim.instances[req.coordinator]
	spc := req.spec
	spc.HeldResults = slices.Clone(spc.HeldResults)
	sim.after(networkDelay, func() {
		switch {
		case ins.lost || req.ended || req.spec.Key != spc.Key:
		case req.engine != "":
			ins.sch.Adopt(sim.now, spc, req.engine)
		default:
			ins.sch.Submit(sim.now, spc)
		}
	})
}

// Ejected does nothing: replays measure what callers see.
func (ins *instance) Ejected(string, string, place.Outcome) {}

// ReportResults reports held results to the request's entry instance.
func (ins *instance) ReportResults(hld sched.HeldResults) {
	sim := ins.sim
	sim.after(networkDelay, func() {
		if req := sim.byKey[hld.Key]; req != nil && !req.ended && req.spec.Key == hld.Key {
			req.spec.AddResults(hld)
		}
	})
}

// abandon cancels an attempt whose caller has waited too long for the first
// event.
func (sim *simulation) abandon(req *request, id string) {
	if req.ended || req.spec.Key.ID != id || req.served {
		return
	}
	req.ended = true
	req.unservedWait = max(req.unservedWait, sim.now.Sub(req.spec.Arrived))
	sim.instances[req.coordinator].sch.Cancel(sim.now, req.spec.Key)
}

// Notify delivers a decision to the caller or to the engine.
func (ins *instance) Notify(ver sched.Decision) {
	sim := ins.sim
	req := sim.byKey[ver.Key]
	sim.after(networkDelay, func() {
		switch {
		case req == nil || req.ended || req.spec.Key != ver.Key || ins.lost:
		case ver.Outcome == sched.Moved:
			req.coordinator = len(sim.instances) - 1
			sim.forward(req)
		case ver.Outcome == sched.Placed:
			req.engine = ver.Server.ID
			sim.engines[ver.Server.ID].run(req, ver.Inputs)
		default:
			sim.retryRefused(req, ver)
		}
	})
}

// retryRefused schedules the caller's only retry, after the wait that the refusal
// named.
func (sim *simulation) retryRefused(req *request, ver sched.Decision) {
	req.ended = true
	req.refused = true
	sim.res.Refused++
	req.unservedWait = max(req.unservedWait, sim.now.Sub(req.spec.Arrived))
	left := req.spec.Deadline.Sub(sim.now)
	if req.attempts <= sim.abuse[req.account] && left > 0 {
		sim.after(networkDelay, func() { sim.submit(req, fmt.Sprintf("%s-%d", ver.Key.ID, req.attempts)) })
		return
	}
	if req.attempts > 1 || ver.RetryAfter > left/3 {
		return
	}
	sim.after(ver.RetryAfter+networkDelay, func() { sim.submit(req, ver.Key.ID+"-again") })
}

// apply starts an event and schedules its end.
func (sim *simulation) apply(evt Event) {
	switch evt.Type {
	case "burst":
		for _, knd := range sim.scn.Kinds {
			if evt.Name == "" || evt.Name == knd.Name {
				sim.rateFactors[knd.Name] = evt.Factor
			}
		}
		sim.after(evt.Duration.d(), func() { sim.rateFactors = map[string]float64{} })
	case "flood":
		sim.floods[evt.Account] = evt.Factor
		sim.after(evt.Duration.d(), func() { delete(sim.floods, evt.Account) })
	case "abuse":
		sim.abuse[evt.Account] = evt.Count
		sim.after(evt.Duration.d(), func() { delete(sim.abuse, evt.Account) })
	case "slow":
		sim.eachServer(evt, func(ser *server) { ser.slowdown = evt.Factor })
		sim.after(evt.Duration.d(), func() { sim.eachServer(evt, func(ser *server) { ser.slowdown = 1 }) })
	case "dark":
		sim.eachServer(evt, (*server).crash)
		sim.after(evt.Duration.d(), func() { sim.eachServer(evt, func(ser *server) { ser.down = false }) })
	case "break":
		sim.breaks = evt.Factor
		sim.after(evt.Duration.d(), func() { sim.breaks = 0 })
	case "engine-dark", "hot-prompt":
		sim.applyToEngines(evt)
	case "coordinator-lost":
		sim.loseCoordinator(powerLossDetection, member.NewSet(member.Member{}).HeartbeatInterval())
	case "coordinator-killed":
		sim.loseCoordinator(killDetection, killDetection)
	case "all-lost":
		sim.restartAll(evt.Duration.d())
	case "coordinator-kept":
		sim.lostAt = sim.now
	}
}

func (sim *simulation) eachServer(evt Event, fun func(*server)) {
	for num := range evt.Count {
		if ser := sim.servers[fmt.Sprintf("%s-%d", evt.Name, num)]; ser != nil {
			fun(ser)
		}
	}
}

const (
	// windowBeforeLoss: callers that arrived this long before the loss of the
	// coordinator may still wait for it and are counted.
	windowBeforeLoss = time.Second
	// windowAfterLoss is how long after the loss its results stay at the servers.
	windowAfterLoss = 4 * time.Second
)

func (sim *simulation) result() Result {
	owed, earned, served := 0.0, 0.0, 0
	kinds := map[string][2]float64{}
	for _, req := range sim.requests {
		owed += req.value
		earned += req.earned
		sum := kinds[req.kind.Name]
		kinds[req.kind.Name] = [2]float64{sum[0] + req.earned, sum[1] + req.value}
		if age := req.arrived.Sub(sim.lostAt); age > -windowBeforeLoss && age < windowAfterLoss {
			sim.res.AroundLoss.Callers++
			if req.served {
				sim.res.AroundLoss.Served++
			}
			sim.res.AroundLoss.Earned += req.earned
		}
		if req.served {
			served++
			continue
		}
		sim.res.MaxUnservedWait = max(sim.res.MaxUnservedWait, req.unservedWait)
	}
	sim.res.countAccounts(sim.scn, sim.requests)
	sim.res.CrossZone = float64(sim.crossZone) / 1e9
	sim.res.Value = earned / owed
	sim.res.Served = float64(served) / float64(len(sim.requests))
	sim.res.Kinds = map[string]float64{}
	for name, sum := range kinds {
		sim.res.Kinds[name] = sum[0] / sum[1]
	}
	return sim.res
}

// firstEvent records that the first event reached the caller.
func (sim *simulation) firstEvent(req *request) {
	req.served = true
	took := sim.now.Sub(req.arrived)
	if took <= req.kind.Target.d() {
		req.earned = req.value
	} else {
		req.earned = req.value * req.kind.LateShare
	}
}
