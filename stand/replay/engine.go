package replay

import (
	"fmt"
	"time"

	"lovagestream/core/place"
	"lovagestream/core/speed"
	"lovagestream/core/stock"
)

// Uneven makes engines differ. Speeds are given to the engines in turn; an
// engine of speed 2 takes half the time. For NoiseShare of its time an engine
// takes NoiseTimes as long; this changes every NoiseInterval. If Reports is set,
// engines report how long work takes with each answer: the report arrives after
// ReportDelay, is lost with a probability of ReportLoss, and is ReportError
// times the truth.
type Uneven struct {
	Speeds        []float64 `yaml:"speeds"`
	NoiseShare    float64   `yaml:"noise-share"`
	NoiseTimes    float64   `yaml:"noise-times"`
	NoiseInterval duration  `yaml:"noise-interval"`
	Reports       bool      `yaml:"reports"`
	ReportDelay   duration  `yaml:"report-delay"`
	ReportLoss    float64   `yaml:"report-loss"`
	ReportError   float64   `yaml:"report-error"`
}

// engine is a simulated model engine, which reads prompts one after another.
type engine struct {
	sim         *simulation
	num         int
	ent         stock.Entry
	cachedParts map[string]bool
	// prefillUntil is when all earlier prompts are read.
	prefillUntil time.Time
	// dark engines accept requests and never answer.
	dark bool
	// streams are the requests between their first event and their end.
	streams map[*request]bool
}

func newEngine(sim *simulation, num int, ent stock.Entry) *engine {
	return &engine{sim: sim, num: num, ent: ent, cachedParts: map[string]bool{}, streams: map[*request]bool{}}
}

// noise is how long work takes now relative to the engine's usual time. It
// depends on the seed, the engine and the time alone, so that all policies meet
// the same.
func (eng *engine) noise() float64 {
	une := eng.sim.scn.Engines.Uneven
	if une.NoiseShare == 0 {
		return 1
	}
	slot := eng.sim.now.UnixNano() / int64(une.NoiseInterval)
	if hashFraction(eng.sim.seed, uint64(eng.num), uint64(slot)) < une.NoiseShare {
		return une.NoiseTimes
	}
	return 1
}

// hashFraction is a number in [0,1) that depends on its arguments alone.
func hashFraction(parts ...uint64) float64 {
	sum := uint64(14695981039346656037)
	for _, par := range parts {
		sum = (sum ^ par) * 0x9e3779b97f4a7c15
		sum ^= sum >> 29
	}
	return float64(sum>>11) / (1 << 53)
}

// factor is how long work takes relative to an engine of usual speed.
func (eng *engine) factor() float64 {
	fac := eng.noise()
	if list := eng.sim.scn.Engines.Uneven.Speeds; len(list) > 0 {
		fac /= list[eng.num%len(list)]
	}
	return fac
}

func (eng *engine) run(req *request, inputs []string) {
	sim := eng.sim
	uncached := req.spec.PromptTokens
	for _, par := range req.spec.Parts {
		if !eng.cachedParts[par.ID] {
			break
		}
		uncached -= par.Tokens
	}
	for _, par := range req.spec.Parts {
		eng.cachedParts[par.ID] = true
	}
	for _, ser := range sim.servers {
		for _, han := range inputs {
			if num, have := ser.results[han]; have && ser.ent.Zone != eng.ent.Zone {
				sim.crossZone += num
			}
		}
	}
	if eng.dark {
		return
	}
	begin := sim.now
	if eng.prefillUntil.After(begin) {
		begin = eng.prefillUntil
	}
	factor := eng.factor()
	read := time.Duration(factor * float64(uncached) / sim.scn.Engines.PrefillRate * float64(time.Millisecond))
	eng.prefillUntil = begin.Add(read)
	eng.stall(begin, read)
	first := eng.prefillUntil.Sub(sim.now) + time.Duration(factor*float64(sim.scn.Engines.BaseLatency))
	key := req.spec.Key
	sim.after(first, func() {
		if req.ended || req.spec.Key != key {
			return
		}
		if eng.breakStream(req) {
			return
		}
		sim.goesOn(req)
		sim.firstEvent(req)
		eng.streams[req] = true
		sim.instances[req.coordinator].sch.Began(sim.now, key)
		eng.report()
		sim.after(time.Duration(factor*float64(req.kind.Events)*float64(streamEventTime)), func() {
			req.ended = true
			delete(eng.streams, req)
			sim.instances[req.coordinator].sch.Ended(sim.now, key, place.Done)
		})
	})
}

// stall makes streams late whose events pause for too long while a prompt is
// read.
func (eng *engine) stall(begin time.Time, read time.Duration) {
	eng.sim.after(begin.Sub(eng.sim.now), func() {
		for req := range eng.streams {
			if gap := req.kind.EventGap.d(); gap > 0 && read > gap && req.earned == req.value {
				req.earned = req.value * req.kind.LateShare
			}
		}
	})
}

// report sends the engine's report to the coordinator.
func (eng *engine) report() {
	sim, une := eng.sim, eng.sim.scn.Engines.Uneven
	if !une.Reports || hashFraction(sim.seed, uint64(eng.num), uint64(sim.now.UnixNano()), 1) < une.ReportLoss {
		return
	}
	load := speed.Load{Running: len(eng.streams), Slots: sim.scn.Engines.Slots, Factor: eng.noise()}
	if une.ReportError > 0 {
		load.Factor *= une.ReportError
	}
	sim.after(une.ReportDelay.d(), func() {
		if ins := sim.instances[len(sim.instances)-1]; !ins.lost {
			ins.sch.ObserveLoad(sim.now, eng.ent, load)
		}
	})
}

// applyToEngines starts an event of the engines, and schedules its end.
func (sim *simulation) applyToEngines(evt Event) {
	switch evt.Type {
	case "engine-dark":
		sim.eachEngine(evt, func(eng *engine) { eng.dark = true })
		sim.after(evt.Duration.d(), func() { sim.eachEngine(evt, func(eng *engine) { eng.dark = false }) })
	case "hot-prompt":
		sim.hotShares[evt.Name] = evt.Factor
		sim.after(evt.Duration.d(), func() { delete(sim.hotShares, evt.Name) })
	}
}

func (sim *simulation) eachEngine(evt Event, fun func(*engine)) {
	for num := range evt.Count {
		if eng := sim.engines[fmt.Sprintf("%s-%d", modelService, num)]; eng != nil {
			fun(eng)
		}
	}
}
