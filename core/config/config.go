// Package config defines the published configuration: zones, pools, pipelines,
// client accounts with their contracts, and presets, exactly one of which is
// active. It parses documents strictly and validates them.
//
// Validation is a pure function of the document, so that every entry instance
// accepts or refuses the same documents. The control state in package core
// tracks the source of a document and which one is in force.
package config

import (
	"time"
)

// Kind is the type of work that the servers of a pool do.
type Kind string

// The kinds of pools. Generate pools are inference engines; the calls of
// Service pools are plain HTTP requests.
const (
	Encode   Kind = "encode"
	Retrieve Kind = "retrieve"
	Rerank   Kind = "rerank"
	Generate Kind = "generate"
	Service  Kind = "service"
)

// Class is the priority of a client account in load shedding: lower classes are
// shed first.
type Class string

// The classes of contracts, from the last to the first to be shed.
const (
	Gold   Class = "gold"
	Silver Class = "silver"
	Bulk   Class = "bulk"
)

// Rank returns the position of the class in the order above, from 0 for the
// class that is shed last.
func (cls Class) Rank() int {
	switch cls {
	case Gold:
		return 0
	case Silver:
		return 1
	default:
		return 2
	}
}

// Document is one valid configuration. It is immutable, so that it can be
// shared without a lock. A request keeps the document that it was admitted
// under.
type Document struct {
	// revision increases from one accepted document to the next.
	revision uint64
	// active is the name of the active preset.
	active string
	// zones, pools, pipelines, accounts and presets have unique names, and each
	// name that the document refers to is defined in it.
	zones     []*Zone
	pools     []*Pool
	pipelines []*Pipeline
	accounts  []*Account
	presets   []*Preset
	// digest is a hash of source. It distinguishes documents that were published
	// under the same revision.
	digest uint64
	// source is the document as published.
	source []byte

	pipelineByName map[string]*Pipeline
	poolByName     map[string]*Pool
	accountByName  map[string]*Account
	presetByName   map[string]*Preset
}

// Revision returns the document's revision.
func (doc *Document) Revision() uint64 { return doc.revision }

// Digest returns a 64-bit hash of the document as published.
func (doc *Document) Digest() uint64 { return doc.digest }

// Source returns the bytes of the document as published, not where it came from,
// which is core.ConfigAccepted.Source. They must not be changed.
func (doc *Document) Source() []byte { return doc.source }

// Preset returns the active preset.
func (doc *Document) Preset() *Preset { return doc.presetByName[doc.active] }

// Presets returns all presets in document order.
func (doc *Document) Presets() []*Preset { return doc.presets }

// Zones returns the availability zones.
func (doc *Document) Zones() []*Zone { return doc.zones }

// Pools returns the pools of backend servers.
func (doc *Document) Pools() []*Pool { return doc.pools }

// Pool returns a pool by name, or nil.
func (doc *Document) Pool(name string) *Pool { return doc.poolByName[name] }

// Pipelines returns the pipelines.
func (doc *Document) Pipelines() []*Pipeline { return doc.pipelines }

// Pipeline returns a pipeline by name, or nil.
func (doc *Document) Pipeline(name string) *Pipeline { return doc.pipelineByName[name] }

// Accounts returns the client accounts.
func (doc *Document) Accounts() []*Account { return doc.accounts }

// Account returns a client account by name, or nil.
func (doc *Document) Account(name string) *Account { return doc.accountByName[name] }

// Zone is an availability zone.
type Zone struct {
	name   string
	region string
}

// Name returns the zone's name.
func (zon *Zone) Name() string { return zon.name }

// Region returns the region the zone lies in.
func (zon *Zone) Region() string { return zon.region }

// Pool is a set of interchangeable backend servers.
type Pool struct {
	name   string
	kind   Kind
	models []string
	// fenced says that the pool's servers refuse orders with an old fencing
	// number. Servers of other pools carry out any order.
	fenced bool
	// silenceTimeout is how long a call may make no progress before its
	// connection counts as silent.
	silenceTimeout time.Duration
}

// Name returns the pool's name.
func (poo *Pool) Name() string { return poo.name }

// Kind returns what the pool's servers do.
func (poo *Pool) Kind() Kind { return poo.kind }

// Models returns the models and adapters that the pool's servers may load.
func (poo *Pool) Models() []string { return poo.models }

// Fenced reports whether its servers refuse orders with old fencing numbers.
func (poo *Pool) Fenced() bool { return poo.fenced }

// SilenceTimeout returns how long a call may make no progress before its
// connection counts as silent.
func (poo *Pool) SilenceTimeout() time.Duration { return poo.silenceTimeout }

// FromRequest is the input name that refers to the body of the caller's request.
const FromRequest = "request"

// Pipeline is a sequence of stages, each of which can use the output of earlier
// ones.
type Pipeline struct {
	name string
	// deadline is the upper limit of the deadline that a caller sets.
	deadline time.Duration
	// stages are in document order. A stage can only use the request and earlier
	// stages as inputs, so the order is topological.
	stages []*Stage
	// answerStage is the index of the stage whose output the caller gets.
	answerStage int
	// repeatable is true if every stage is repeatable.
	repeatable bool
}

// Name returns the pipeline's name.
func (pip *Pipeline) Name() string { return pip.name }

// Deadline returns the maximum duration of a request.
func (pip *Pipeline) Deadline() time.Duration { return pip.deadline }

// Stages returns the stages in topological order.
func (pip *Pipeline) Stages() []*Stage { return pip.stages }

// AnswerStage returns the index of the stage whose output the caller gets.
func (pip *Pipeline) AnswerStage() int { return pip.answerStage }

// Repeatable reports whether a request may run more than once.
func (pip *Pipeline) Repeatable() bool { return pip.repeatable }

// MaxTokens returns the maximum number of tokens that one request may generate.
func (pip *Pipeline) MaxTokens() int {
	sum := 0
	for _, stg := range pip.stages {
		sum += stg.maxTokens
	}
	return sum
}

// Stage is one call of a pipeline.
type Stage struct {
	name  string
	pool  string
	kind  Kind
	model string
	// inputs are indices of earlier stages, or -1 for the request.
	inputs     []int
	repeatable bool
	// attempts is the maximum number of calls for one request, at least 1. It is
	// 1 for a stage that is not repeatable.
	attempts int
	// maxTokens is the maximum number of tokens that a Generate stage may
	// produce; 0 for other kinds.
	maxTokens int
	path      string
}

// Name returns the stage's name, unique in its pipeline.
func (stg *Stage) Name() string { return stg.name }

// Pool returns the name of the pool that serves the stage.
func (stg *Stage) Pool() string { return stg.pool }

// Kind returns the kind of the stage's pool.
func (stg *Stage) Kind() Kind { return stg.kind }

// Model returns the model or adapter, or "" if the pool has no models.
func (stg *Stage) Model() string { return stg.model }

// Inputs returns the indices of the stages whose outputs this one uses; -1 is
// the request.
func (stg *Stage) Inputs() []int { return stg.inputs }

// Repeatable reports whether the call may be made more than once.
func (stg *Stage) Repeatable() bool { return stg.repeatable }

// Attempts returns the maximum number of calls for one request.
func (stg *Stage) Attempts() int { return stg.attempts }

// MaxTokens returns the maximum number of generated tokens.
func (stg *Stage) MaxTokens() int { return stg.maxTokens }

// Path returns the URL path that is called at servers of a Service pool.
func (stg *Stage) Path() string { return stg.path }

// Account is a client account with its contract.
type Account struct {
	name string
	// credential is the SHA-256 of the bearer token, in 32 bytes.
	credential []byte
	contract   Contract
}

// Name returns the client account's name.
func (acc *Account) Name() string { return acc.name }

// Credential returns the SHA-256 of the bearer token.
func (acc *Account) Credential() []byte { return acc.credential }

// Contract returns the limits of the client account.
func (acc *Account) Contract() Contract { return acc.contract }

// Contract holds the limits of a client account over all entry instances
// together.
type Contract struct {
	class Class
	// rate is in requests per second, tokens in generated tokens per second.
	rate        float64
	concurrency int
	tokens      float64
	// zoneShares is the share of each zone; the shares sum to 1. A partitioned
	// zone uses its own share without asking other zones.
	zoneShares map[string]float64
}

// Class returns the priority in load shedding.
func (con Contract) Class() Class { return con.class }

// Rate returns the maximum rate in requests per second.
func (con Contract) Rate() float64 { return con.rate }

// Concurrency returns the maximum number of requests in progress.
func (con Contract) Concurrency() int { return con.concurrency }

// Tokens returns the maximum rate in generated tokens per second.
func (con Contract) Tokens() float64 { return con.tokens }

// ZoneShare returns the zone's share of the contract, from 0 to 1.
func (con Contract) ZoneShare(name string) float64 { return con.zoneShares[name] }

// Preset is a named set of policy settings, for example for ordinary days,
// peaks or maintenance.
type Preset struct {
	name string
	// extraWork is the budget of retries and hedges, as a fraction of the
	// initial calls.
	extraWork float64
	// hedge enables hedging of slow repeatable calls.
	hedge bool
	// admit is the lowest class that is admitted.
	admit Class
	// headroom is the fraction of the deadline that admission control reserves.
	headroom  float64
	placement []Placement
}

// Name returns the preset's name.
func (pre *Preset) Name() string { return pre.name }

// ExtraWork returns the budget of retries and hedges, as a fraction of the
// initial calls.
func (pre *Preset) ExtraWork() float64 { return pre.extraWork }

// Hedge reports whether slow repeatable calls are hedged.
func (pre *Preset) Hedge() bool { return pre.hedge }

// Admit returns the lowest class that is admitted.
func (pre *Preset) Admit() Class { return pre.admit }

// Headroom returns the fraction of the deadline that admission control
// reserves.
func (pre *Preset) Headroom() float64 { return pre.headroom }

// Placement returns the desired number of servers for each model.
func (pre *Preset) Placement() []Placement { return pre.placement }

// Placement is the desired number of a pool's servers that hold a model.
type Placement struct {
	pool    string
	model   string
	servers int
}

// Pool returns the pool's name.
func (pla Placement) Pool() string { return pla.pool }

// Model returns the model or adapter.
func (pla Placement) Model() string { return pla.model }

// Servers returns how many servers should hold the model.
func (pla Placement) Servers() int { return pla.servers }
