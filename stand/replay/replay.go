// Package replay simulates scenarios, read from data files, against the
// policies of core/sched and core/place. Stage servers, model engines and time
// are simulated. Each scenario names the baseline policies that the product's
// policies must outperform on it.
package replay

import (
	"container/heap"
	"embed"
	"fmt"
	"io/fs"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/pkg/errors"
	"gopkg.in/yaml.v3"

	"lovagestream/core/sched"
)

//go:embed data/*.yaml
var dataFiles embed.FS

// Pool is a pool of stage servers. The fields of a scenario's types are exported
// for the YAML decoder.
type Pool struct {
	Name      string   `yaml:"name"`
	Servers   int      `yaml:"servers"`
	MaxPieces int      `yaml:"size"`
	CallTime  duration `yaml:"call"`
	PieceTime duration `yaml:"piece"`
	// ResultMemory is the memory for results of one server, in bytes.
	ResultMemory   int64    `yaml:"room"`
	ResultLifetime duration `yaml:"life"`
}

// Stage is one stage of a kind of request.
type Stage struct {
	Pool  string `yaml:"pool"`
	After []int  `yaml:"after"`
	// ResultSize is the size of one result, in bytes.
	ResultSize int64 `yaml:"bytes"`
	// Pieces is the mean number of pieces. Share is the fraction of requests that
	// have any; 0 stands for all.
	Pieces float64 `yaml:"pieces"`
	Share  float64 `yaml:"share"`
	// Work scales the pool's time for a piece.
	Work float64 `yaml:"work"`
}

// Kind is one kind of request. Rate is in requests a second. Target is the latency
// target, Patience how long a caller tries from its first attempt, and LateShare
// the fraction of the value that a late answer earns. An answer with a longer pause
// between events than EventGap is late, too. A prompt starts with one of
// Prefixes shared prefixes and has PromptTokens on average; a stream has Events.
type Kind struct {
	Name string `yaml:"name"`
	// Account is the client account of all requests of the kind.
	Account      string   `yaml:"account"`
	Rate         float64  `yaml:"rate"`
	Target       duration `yaml:"aim"`
	Patience     duration `yaml:"wait"`
	Urgency      int      `yaml:"urgency"`
	Value        float64  `yaml:"worth"`
	LateShare    float64  `yaml:"late"`
	PromptTokens int      `yaml:"prompt"`
	PrefixTokens int      `yaml:"shared"`
	Prefixes     int      `yaml:"things"`
	Events       int      `yaml:"events"`
	EventGap     duration `yaml:"gap"`
	Stages       []Stage  `yaml:"stages"`
}

// Engines are the model engines.
type Engines struct {
	Count       int `yaml:"count"`
	Slots       int `yaml:"slots"`
	CacheTokens int `yaml:"memory"`
	// PrefillRate is in prompt tokens a millisecond.
	PrefillRate float64  `yaml:"rate"`
	BaseLatency duration `yaml:"base"`
	// Versions is the number of software versions, given to the engines in turn.
	Versions int    `yaml:"versions"`
	Uneven   Uneven `yaml:",inline"`
}

// Event is a change of load or a fault during a scenario.
type Event struct {
	At       duration `yaml:"at"`
	Duration duration `yaml:"for"`
	Type     string   `yaml:"what"`
	// Name is the kind of request or the pool affected, Count the number of
	// servers. Factor multiplies the kind's rate or the servers' call time.
	Name   string  `yaml:"name"`
	Factor float64 `yaml:"times"`
	Count  int     `yaml:"count"`
	// Account is the account of a "flood"; "abuse" makes its refused callers
	// retry at once, whatever their retry time, up to Count times.
	Account string `yaml:"account"`
}

// Account is a client account. Weight is its part of all requests.
type Account struct {
	Name     string  `yaml:"name"`
	Weight   float64 `yaml:"weight"`
	Priority int     `yaml:"priority"`
	// Count stands for as many accounts of the same weight each.
	Count int `yaml:"count"`
}

// Scenario is one load with its events.
type Scenario struct {
	Name        string   `yaml:"name"`
	Description string   `yaml:"story"`
	Baselines   []string `yaml:"baselines"`
	// Metric names the metric by which baselines are compared; see MetricValue.
	Metric    string   `yaml:"measure"`
	Duration  duration `yaml:"length"`
	Instances int      `yaml:"instances"`
	Zones     []string `yaml:"zones"`
	Pools     []Pool   `yaml:"pools"`
	Engines   Engines  `yaml:"engines"`
	Kinds     []Kind   `yaml:"kinds"`
	Events    []Event  `yaml:"events"`
	// Accounts are the client accounts; none stands for one without a name.
	Accounts []Account `yaml:"accounts"`
	// Immodest are the accounts that ask for more than their share; the refused
	// shares of the others are measured.
	Immodest []string `yaml:"immodest"`
}

type duration time.Duration

// UnmarshalYAML parses a duration in Go's syntax.
func (dur *duration) UnmarshalYAML(nod *yaml.Node) error {
	got, err := time.ParseDuration(nod.Value)
	*dur = duration(got)
	return errors.Wrapf(err, "line %d", nod.Line)
}

func (dur duration) d() time.Duration { return time.Duration(dur) }

// baselines are the policies to compare with, by name.
var baselines = map[string]sched.Policy{
	"own-calls":          {},
	"hold-and-wait":      {HoldAndWait: true},
	"unbounded-holding":  {UnboundedHolding: true},
	"split-jobs":         {SplitJobs: true},
	"by-due":             {IgnoreCost: true},
	"keep-infeasible":    {KeepInfeasible: true},
	"any-zone":           {AnyZone: true},
	"full-capacity":      {FullCapacity: true},
	"forget-refused":     {ForgetRefused: true},
	"ask-full":           {RetryFull: true, IgnoreUntracked: true},
	"results-unreported": {NoResultReports: true},
	"ignore-untracked":   {IgnoreUntracked: true},
	"room-unfading":      {ExpireAtOnce: true},
	"jobs-kept":          {},
	"speeds-forgotten":   {},
	"late-at-last":       {IgnoreQueueWait: true},
	"equal-speed":        {IgnoreSpeed: true},
	"queue-resumed":      {QueueResumed: true},
	"ignore-accounts":    {IgnoreAccounts: true},
	"admit-all":          {AdmitAll: true, KeepInfeasible: true},
}

// Names returns the names of all scenarios, sorted.
func Names() ([]string, error) {
	list, err := fs.ReadDir(dataFiles, "data")
	if err != nil {
		return nil, errors.Wrap(err, "read the scenarios")
	}
	var out []string
	for _, fil := range list {
		if name := strings.TrimSuffix(fil.Name(), ".yaml"); name != "site" {
			out = append(out, name)
		}
	}
	sort.Strings(out)
	return out, nil
}

// Load reads a scenario. Its values override those of site.yaml.
func Load(name string) (*Scenario, error) {
	scn := &Scenario{}
	for _, fil := range []string{"site", name} {
		doc, err := dataFiles.ReadFile("data/" + fil + ".yaml")
		if err != nil {
			return nil, errors.Wrap(err, "read scenario file")
		}
		if err := yaml.Unmarshal(doc, scn); err != nil {
			return nil, errors.Wrap(err, "parse scenario file "+fil)
		}
	}
	scn.Name = name
	return scn, nil
}

// Result is the outcome of one run of a scenario.
type Result struct {
	// Value is the fraction of the value of all requests that was earned, Served
	// the fraction of requests that got an answer, in time or late.
	Value  float64
	Served float64
	// Refused counts refusals, those of retries included.
	Refused int
	// CrossZone is the gigabytes of results sent between zones, Wasted the seconds
	// of stage servers' work on requests that had ended.
	CrossZone float64
	Wasted    float64
	// TakenUp counts the streams that broke and were taken up, WentOn those of them
	// that went on.
	TakenUp, WentOn int
	// EmptyCalls counts calls that produced no result, for lack of memory or
	// inputs.
	EmptyCalls int
	// MaxUnservedWait is the longest wait of a request that got no answer.
	MaxUnservedWait time.Duration
	// AroundLoss counts the callers around the loss of the coordinator.
	AroundLoss LossStats
	// Kinds is the fraction of value earned by kind of request.
	Kinds map[string]float64
	// Accounts is what happened to each account's requests.
	Accounts map[string]AccountStats
	// WorstRefused is the largest refused share among the other accounts with
	// minRequests requests or more, and MeanRefused that of all of them.
	WorstRefused float64
	MeanRefused  float64
}

// AccountStats counts the requests of one account. Refused is the number of
// those refused at least once.
type AccountStats struct {
	Requests, Refused, Served int
}

// LossStats counts the callers that arrived from shortly before the loss of the
// coordinator until its results had expired.
type LossStats struct {
	Callers int
	Served  int
	Earned  float64
}

// MetricValue returns a result's value of the scenario's metric; higher is
// better.
func (scn *Scenario) MetricValue(res Result) float64 {
	switch scn.Metric {
	case "served":
		return res.Served
	case "went-on":
		return res.resumedShare()
	case "crossed":
		return -res.CrossZone
	case "held":
		return -res.MaxUnservedWait.Seconds()
	case "after":
		return float64(res.AroundLoss.Served)
	case "modest":
		return -res.WorstRefused
	case "modest-mean":
		return -res.MeanRefused
	case "empty":
		return -float64(res.EmptyCalls)
	}
	return res.Value
}

// WithoutLoss returns the scenario without the loss of a coordinator, for
// comparison.
func (scn *Scenario) WithoutLoss() *Scenario {
	out := *scn
	out.Events = slices.Clone(scn.Events)
	for idx := range out.Events {
		if what := out.Events[idx].Type; what == "coordinator-lost" || what == "coordinator-killed" {
			out.Events[idx].Type = "coordinator-kept"
		}
	}
	return &out
}

// Run runs a scenario with a baseline's policy, or with the product's if the
// baseline is empty.
func (scn *Scenario) Run(baseline string, seed uint64) (Result, error) {
	ply, known := baselines[baseline]
	if baseline != "" && !known {
		return Result{}, errors.Errorf("scenario %s: unknown baseline %q", scn.Name, baseline)
	}
	sim := newSimulation(scn, ply, baseline, seed)
	sim.run()
	return sim.result(), nil
}

// String formats the result as one line of a table.
func (res Result) String() string {
	return fmt.Sprintf("value %.3f served %.3f refused %d crossed %.2f GB wasted %.1f s held %s empty %d after %d/%d %.0f went on %d/%d", res.Value, res.Served, res.Refused, res.CrossZone, res.Wasted, res.MaxUnservedWait.Round(10*time.Millisecond), res.EmptyCalls, res.AroundLoss.Served, res.AroundLoss.Callers, res.AroundLoss.Earned, res.WentOn, res.TakenUp)
}

// scheduledEvent is a function to run at a time. seq keeps events of the same
// time in the order of their scheduling.
type scheduledEvent struct {
	at  time.Time
	seq int
	fun func()
}

type eventQueue []scheduledEvent

var _ heap.Interface = (*eventQueue)(nil)

func (evq eventQueue) Len() int { return len(evq) }

func (evq eventQueue) Less(i, j int) bool {
	if evq[i].at.Equal(evq[j].at) {
		return evq[i].seq < evq[j].seq
	}
	return evq[i].at.Before(evq[j].at)
}

func (evq eventQueue) Swap(i, j int) { evq[i], evq[j] = evq[j], evq[i] }

// Push implements heap.Interface.
func (evq *eventQueue) Push(got any) { *evq = append(*evq, got.(scheduledEvent)) }

// Pop implements heap.Interface.
func (evq *eventQueue) Pop() any {
	old := *evq
	last := old[len(old)-1]
	*evq = old[:len(old)-1]
	return last
}
