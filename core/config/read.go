package config

import (
	"encoding/hex"
	"fmt"
	"math"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"lovagestream/core/schema"
)

// Limits of a document. They exceed the size that the two-year plan needs and
// keep a published value under MaxBytes.
const (
	// MaxBytes is the maximum size of a value on the platform.
	MaxBytes = 1 << 20
	// MaxStages is the maximum number of stages of a pipeline.
	MaxStages = 6

	maxZones     = 64
	maxPools     = 256
	maxPipelines = 256
	minStages    = 3
	maxAccounts  = 8192
	maxPresets   = 16
	maxPlacement = 256
	maxModels    = 64
	maxAttempts  = 4
	maxDeadline  = 10 * time.Minute
	maxTokens    = 1 << 20
	// shareTolerance is how far the sum of a contract's shares may differ from 1.
	shareTolerance = 1e-6
)

// Read parses and validates a document. The file name only appears in faults.
// The result depends on the bytes alone. The error is a schema.Faults.
func Read(file string, data []byte) (*Document, error) {
	if len(data) > MaxBytes {
		fau := schema.NewFault(file, 1, "(document)", fmt.Sprintf("%d bytes", len(data)), fmt.Sprintf("at most %d", MaxBytes))
		return nil, schema.Faults{fau}
	}
	doc := &Document{digest: xxhash.Sum64(data), source: append([]byte(nil), data...)}
	if fas := schema.Read(file, data, doc.fill); len(fas) > 0 {
		return nil, fas
	}
	return doc, nil
}

// Fields describes the keys of a document for the reference page.
func Fields() []schema.Field {
	return schema.Describe(new(Document).fill)
}

func (doc *Document) fill(mp *schema.Map) {
	doc.poolByName = map[string]*Pool{}
	doc.pipelineByName = map[string]*Pipeline{}
	doc.accountByName = map[string]*Account{}
	doc.presetByName = map[string]*Preset{}
	doc.revision = mp.Uint("revision", 0, 1, "Grows with every published document.")
	if !mp.Has("revision") && !mp.Describing() {
		mp.Fault("revision", "nothing", "a whole number from 1")
	}
	doc.active = mp.Name("active-preset", "The preset in force.")
	doc.fillZones(mp)
	doc.fillPools(mp)
	doc.fillPipelines(mp)
	doc.fillAccounts(mp)
	doc.fillPresets(mp)
	if doc.active != "" && doc.presetByName[doc.active] == nil {
		mp.Fault("active-preset", strconv.Quote(doc.active), "one of "+joinNames(doc.presetByName))
	}
}

// joinNames returns the sorted keys of a map for the text of a fault.
func joinNames[T any](byName map[string]T) string {
	names := make([]string, 0, len(byName))
	for name := range byName {
		names = append(names, name)
	}
	if len(names) == 0 {
		return "(none defined)"
	}
	sort.Strings(names)
	return strings.Join(names, ", ")
}

// addUnique adds a named object to a map and reports a fault if the name is
// already in use.
func addUnique[T any](mp *schema.Map, byName map[string]T, name string, obj T) {
	if name == "" {
		return
	}
	if _, twice := byName[name]; twice {
		mp.Fault("name", strconv.Quote(name)+" a second time", "a name not used before in its list")
		return
	}
	byName[name] = obj
}

// checkDefined reports a fault if the document doesn't define a name.
func checkDefined[T any](mp *schema.Map, key string, byName map[string]T, name string) {
	if _, found := byName[name]; name != "" && !found {
		mp.Fault(key, strconv.Quote(name), "one of "+joinNames(byName))
	}
}

func (doc *Document) fillZones(mp *schema.Map) {
	byName := map[string]*Zone{}
	mp.List("zones", 1, maxZones, func(sub *schema.Map) {
		zon := &Zone{
			name:   sub.Name("name", "The availability zone."),
			region: sub.Name("region", "The region it lies in."),
		}
		addUnique(sub, byName, zon.name, zon)
		doc.zones = append(doc.zones, zon)
	})
}

func (doc *Document) hasZone(name string) bool {
	for _, zon := range doc.zones {
		if zon.name == name {
			return true
		}
	}
	return false
}

func (doc *Document) fillPools(mp *schema.Map) {
	mp.List("pools", 1, maxPools, func(sub *schema.Map) {
		const defaultSilence = 2 * time.Second
		poo := &Pool{
			name:           sub.Name("name", "The pool, as the instance list names it."),
			kind:           Kind(sub.Choice("kind", "What its servers do.", string(Generate), string(Encode), string(Retrieve), string(Rerank), string(Service))),
			models:         sub.Texts("models", 0, maxModels, "Models and adapters that its servers may hold."),
			fenced:         sub.Bool("fenced", false, "Whether its servers refuse orders with an old fencing number."),
			silenceTimeout: sub.Duration("silence", defaultSilence, 50*time.Millisecond, time.Minute, "Longest time a call may show no progress."),
		}
		addUnique(sub, doc.poolByName, poo.name, poo)
		doc.pools = append(doc.pools, poo)
	})
}

func (doc *Document) fillPipelines(mp *schema.Map) {
	mp.List("pipelines", 1, maxPipelines, func(sub *schema.Map) {
		pip := &Pipeline{
			name:     sub.Name("name", "The pipeline, as callers name it."),
			deadline: sub.Duration("deadline", 6*time.Second, 10*time.Millisecond, maxDeadline, "Longest time a request may take."),
		}
		doc.fillStages(sub, pip)
		answer := sub.OptName("answer", "The stage that answers the caller; by default the last.")
		pip.answerStage = len(pip.stages) - 1
		if answer != "" {
			pip.answerStage = pip.stageIndex(answer)
			if pip.answerStage < 0 {
				sub.Fault("answer", strconv.Quote(answer), "one of the pipeline's stages")
			}
		}
		addUnique(sub, doc.pipelineByName, pip.name, pip)
		doc.pipelines = append(doc.pipelines, pip)
	})
}

func (pip *Pipeline) stageIndex(name string) int {
	for i, stg := range pip.stages {
		if stg.name == name {
			return i
		}
	}
	return -1
}

func (doc *Document) fillStages(mp *schema.Map, pip *Pipeline) {
	pip.repeatable = true
	byName := map[string]*Stage{}
	mp.List("stages", minStages, MaxStages, func(sub *schema.Map) {
		stg := doc.readStage(sub, pip)
		addUnique(sub, byName, stg.name, stg)
		pip.stages = append(pip.stages, stg)
		pip.repeatable = pip.repeatable && stg.repeatable
	})
}

func (doc *Document) readStage(sub *schema.Map, pip *Pipeline) *Stage {
	stg := &Stage{
		name:       sub.Name("name", "The stage, unique in its pipeline."),
		pool:       sub.Name("pool", "The pool that serves it."),
		model:      sub.Text("model", "", "The model or adapter, where the pool has one.", false),
		repeatable: sub.Bool("repeatable", true, "Whether the call may be made more than once."),
		path:       sub.Text("path", "/v1/call", "The path called on a plain service.", false),
	}
	checkDefined(sub, "pool", doc.poolByName, stg.pool)
	if poo := doc.poolByName[stg.pool]; poo != nil {
		stg.kind = poo.kind
		checkModel(sub, poo, stg.model)
	}
	stg.attempts = sub.Int("attempts", stg.defaultAttempts(), 1, maxAttempts, "Most calls made for one request.")
	if !stg.repeatable && stg.attempts > 1 {
		sub.Fault("attempts", strconv.Itoa(stg.attempts), "1, since the stage is not repeatable")
	}
	stg.maxTokens = sub.Int("max-tokens", 256, 1, maxTokens, "Most tokens generated.")
	if stg.kind != Generate {
		stg.maxTokens = 0
	}
	stg.inputs = readInputs(sub, pip, stg.name)
	if !strings.HasPrefix(stg.path, "/") {
		sub.Fault("path", strconv.Quote(stg.path), "a path that begins with /")
	}
	return stg
}

func (stg *Stage) defaultAttempts() int {
	if stg.repeatable {
		return 2
	}
	return 1
}

func checkModel(sub *schema.Map, poo *Pool, model string) {
	if model == "" && (poo.kind != Generate || len(poo.models) == 0) {
		return
	}
	for _, mod := range poo.models {
		if mod == model {
			return
		}
	}
	sub.Fault("model", strconv.Quote(model), "one of the pool's models: "+strings.Join(poo.models, ", "))
}

// readInputs resolves the names of a stage's inputs. A stage can only refer to
// earlier stages, which also rules out cycles.
func readInputs(sub *schema.Map, pip *Pipeline, self string) []int {
	var inputs []int
	for i, name := range sub.Texts("inputs", 1, MaxStages+1, "What feeds the stage: request, or names of earlier stages.") {
		if name == FromRequest {
			inputs = append(inputs, -1)
			continue
		}
		idx := pip.stageIndex(name)
		if idx < 0 || name == self {
			sub.Fault(fmt.Sprintf("inputs[%d]", i), strconv.Quote(name), "request, or a stage that stands before this one")
			continue
		}
		inputs = append(inputs, idx)
	}
	return inputs
}

func (doc *Document) fillAccounts(mp *schema.Map) {
	byCredential := map[string]string{}
	mp.List("client-accounts", 1, maxAccounts, func(sub *schema.Map) {
		acc := &Account{
			name:       sub.Name("name", "The client account."),
			credential: readCredential(sub, byCredential),
		}
		sub.Sub("contract", func(con *schema.Map) { acc.contract = doc.readContract(con) })
		addUnique(sub, doc.accountByName, acc.name, acc)
		doc.accounts = append(doc.accounts, acc)
	})
}

// readCredential reads the hash of a bearer token. Faults don't show the value,
// which may be the token itself, given instead of its hash by mistake.
func readCredential(sub *schema.Map, seen map[string]string) []byte {
	const want = "the SHA-256 of the bearer token, as 64 hexadecimal digits, unlike any other account's"
	txt := sub.Text("credential-sha256", "", "The SHA-256 of the bearer token in hexadecimal.", true)
	if txt == "" {
		return nil
	}
	raw, err := hex.DecodeString(txt)
	if err != nil || len(raw) != 32 {
		sub.Fault("credential-sha256", "(not shown)", want)
		return nil
	}
	if _, twice := seen[string(raw)]; twice {
		sub.Fault("credential-sha256", "(not shown) a second time", want)
	}
	seen[string(raw)] = txt
	return raw
}

func (doc *Document) readContract(mp *schema.Map) Contract {
	con := Contract{
		class:       Class(mp.Choice("class", "Order of shedding: bulk goes first.", string(Silver), string(Gold), string(Bulk))),
		rate:        mp.Float("rate", 100, 0.01, 1e6, "Requests a second over all entry instances."),
		concurrency: mp.Int("concurrency", 100, 1, 1e6, "Most requests in progress."),
		tokens:      mp.Float("tokens", 1e5, 1, 1e9, "Generated tokens a second."),
		zoneShares:  map[string]float64{},
	}
	if !mp.Has("zones") {
		for _, zon := range doc.zones {
			con.zoneShares[zon.name] = 1 / float64(len(doc.zones))
		}
	}
	sum := 0.0
	mp.List("zones", 0, maxZones, func(sub *schema.Map) {
		name := sub.Name("name", "The availability zone.")
		if name != "" && !doc.hasZone(name) {
			sub.Fault("name", strconv.Quote(name), "one of the document's zones")
		}
		con.zoneShares[name] = sub.Float("share", 0, 0, 1, "Its part of the contract.")
		sum += con.zoneShares[name]
	})
	if mp.Has("zones") && math.Abs(sum-1) > shareTolerance {
		mp.Fault("zones", fmt.Sprintf("shares that sum to %g", sum), "shares that sum to 1")
	}
	return con
}

func (doc *Document) fillPresets(mp *schema.Map) {
	mp.List("presets", 1, maxPresets, func(sub *schema.Map) {
		pre := &Preset{
			name:      sub.Name("name", "The preset."),
			extraWork: sub.Float("extra-work", 0.1, 0, 1, "Share of fresh calls that retries and hedges may add."),
			hedge:     sub.Bool("hedge", false, "Whether a slow repeatable call may be doubled."),
			admit:     Class(sub.Choice("admit", "Lowest class that is admitted.", string(Bulk), string(Silver), string(Gold))),
			headroom:  sub.Float("headroom", 0.05, 0, 0.9, "Share of the deadline that admission keeps free."),
		}
		sub.List("placement", 0, maxPlacement, func(pla *schema.Map) {
			pre.placement = append(pre.placement, doc.readPlacement(pla))
		})
		addUnique(sub, doc.presetByName, pre.name, pre)
		doc.presets = append(doc.presets, pre)
	})
}

func (doc *Document) readPlacement(mp *schema.Map) Placement {
	pla := Placement{
		pool:    mp.Name("pool", "The pool."),
		model:   mp.Text("model", "", "The model or adapter.", true),
		servers: mp.Int("servers", 1, 1, 1e5, "How many servers should hold it."),
	}
	checkDefined(mp, "pool", doc.poolByName, pla.pool)
	if poo := doc.poolByName[pla.pool]; poo != nil {
		checkModel(mp, poo, pla.model)
	}
	return pla
}
