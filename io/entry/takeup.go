package entry

import (
	"context"
	"time"

	"lovagestream/core/call"
	"lovagestream/core/resume"
	"lovagestream/core/stock"
	"lovagestream/io/lines"
)

const (
	// streamUnknownRetryAfter is the retry delay for a stream of which no instance that
	// was asked knows the software version. Another instance may know it.
	streamUnknownRetryAfter = 500 * time.Millisecond
	// reasonOtherVersion is the reason if a server doesn't have the software version that
	// began the stream.
	reasonOtherVersion = "server-of-another-version"
)

// takesUp reports whether the caller takes up a stream that was broken off.
func (arq *activeRequest) takesUp() bool {
	return arq.req.LastEventID != "" && arq.rou.Kind == call.Stream && arq.rou.Resumable
}

// streamID returns the ID of the attempt that brought the first event of the stream;
// empty if the caller takes up a stream that it doesn't name.
func (arq *activeRequest) streamID() string {
	if arq.takesUp() {
		return arq.req.Resumes
	}
	return arq.req.ID
}

// findStream finds out which software began the stream that the caller takes up. It
// returns false if the caller has been answered.
func (arq *activeRequest) findStream(ctx context.Context) bool {
	var rec resume.Record
	select {
	case rec = <-arq.srv.ctl.FindStream(arq.streamID(), uint64(arq.fpr)):
	case <-ctx.Done():
		arq.answerUnserved(ctx, outcome{reason: "no-verdict"})
		return false
	}
	result := "recorded"
	switch {
	case !rec.Known():
		result = "unknown"
	case !arq.rou.HasService(rec.Service):
		result = "service-gone"
	}
	arq.srv.gau.Count("streams-taken-up", result)
	arq.srv.log.Log("stream-taken-up", lines.Fields{"id": arq.req.ID, "resumes": arq.req.Resumes, "after": arq.req.LastEventID, "software": rec.Version, "known": result})
	if result == "unknown" || result == "service-gone" {
		return arq.refuse("stream-"+result, streamUnknownRetryAfter)
	}
	arq.service, arq.goesOn, arq.stream = rec.Service, true, rec
	return true
}

// beginStream records the software of the stream's first event, before the caller has
// it.
func (arq *activeRequest) beginStream(ent stock.Entry) {
	if arq.stream.Known() || arq.uncertain {
		return
	}
	cur, have := arq.currentEntry(ent.ID)
	if have && cur.Start() != ent.Start() || arq.srv.ctl.View().EndedStarts[ent.Start()] {
		arq.uncertain = true
		return
	}
	until := arq.arrived.Add(resume.MaxLife)
	if arq.req.Timeout > 0 {
		until = arq.arrived.Add(arq.req.Timeout)
	}
	arq.stream = resume.Record{ID: arq.streamID(), Request: uint64(arq.fpr), Service: arq.service, Version: ent.Version, Until: until}
	arq.srv.ctl.StreamBegan(arq.stream)
}

// currentEntry returns what this instance knows of a server of the request's service.
func (arq *activeRequest) currentEntry(id string) (stock.Entry, bool) {
	for _, ent := range arq.srv.ctl.View().Servers[arq.service] {
		if ent.ID == id {
			return ent, true
		}
	}
	return stock.Entry{}, false
}

// mayServe reports whether a server has the software that began the stream, by the
// entry given and by what this instance knows. The coordinator may know an earlier start
// of the server, or not know that the version matters.
func (arq *activeRequest) mayServe(ent stock.Entry) bool {
	if !arq.stream.Known() {
		return true
	}
	cur, have := arq.currentEntry(ent.ID)
	return ent.Version == arq.stream.Version && (!have || cur.Version == arq.stream.Version) && !arq.hasEnded(ent)
}

// hasEnded reports whether a server's start has ended. A lost path looks the same, unless
// other instances reach the server.
func (arq *activeRequest) hasEnded(ent stock.Entry) bool {
	return arq.srv.ctl.View().EndedStarts[ent.Start()] && !arq.srv.poo.NoPathTo(arq.service, ent.Address)
}

// avoidOtherVersions adds the servers that may not serve the stream to a set.
func (arq *activeRequest) avoidOtherVersions(list []stock.Entry, avoid map[string]bool) {
	for _, ent := range list {
		if !arq.mayServe(ent) {
			avoid[ent.ID] = true
		}
	}
}
