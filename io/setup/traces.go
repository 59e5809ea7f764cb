package setup

import (
	"strconv"

	"lovagestream/core/schema"
)

// Values of the setting "exporter" of traces.
const (
	TracesNone = "none"
	TracesFile = "file"
	TracesOTLP = "otlp"
)

// Traces are the settings of tracing.
type Traces struct {
	// exporter is one of the Traces constants.
	exporter    string
	file        string
	endpoint    string
	tls         bool
	sampleRatio float64
}

// OTLPTraces returns settings that export the spans of a share of the
// requests, from 0 to 1, over OTLP without TLS to a collector on the instance's own
// network. The endpoint is host and port.
func OTLPTraces(endpoint string, share float64) Traces {
	return Traces{exporter: TracesOTLP, endpoint: endpoint, sampleRatio: share}
}

// FileTraces returns settings that append the spans of all requests to a file.
func FileTraces(path string) Traces { return Traces{exporter: TracesFile, file: path, sampleRatio: 1} }

// Exporter returns where spans go, one of the Traces constants.
func (trs Traces) Exporter() string { return trs.exporter }

// File returns the path of the file that spans are appended to, one line of JSON
// for each.
func (trs Traces) File() string { return trs.file }

// Endpoint returns the host and port of the collector.
func (trs Traces) Endpoint() string { return trs.endpoint }

// TLS reports whether the collector is reached over TLS.
func (trs Traces) TLS() bool { return trs.tls }

// SampleRatio returns the share of requests, from 0 to 1, that is traced if the
// caller's trace context does not decide it.
func (trs Traces) SampleRatio() float64 { return trs.sampleRatio }

// Traces returns the settings of tracing.
func (set *Settings) Traces() Traces { return set.traces }

func (trs *Traces) fill(mp *schema.Map) {
	trs.exporter = mp.Choice("exporter", "Where spans go: nowhere, to a file as lines of JSON, or to a collector over OTLP with gRPC.", TracesNone, TracesFile, TracesOTLP)
	required := func(word string) bool { return trs.exporter == word && !mp.Describing() }
	trs.file = mp.Text("file", "", "The file, where the exporter is file; spans are added at its end.", required(TracesFile))
	trs.endpoint = mp.Text("endpoint", "", "IP number and port of the collector, where the exporter is otlp.", required(TracesOTLP))
	if required(TracesOTLP) && trs.endpoint != "" && !isAddr(trs.endpoint) {
		mp.Fault("endpoint", strconv.Quote(trs.endpoint), addrFormat)
	}
	trs.tls = mp.Bool("tls", false, "Whether the collector is reached over TLS.")
	trs.sampleRatio = mp.Float("share", 0.01, 0, 1, "Part of the requests that is traced, where the caller's trace context does not say.")
}
