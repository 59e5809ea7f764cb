package front

import (
	"mime"
	"net/http"
	"strconv"
	"strings"
)

// responseFormat is the media type that a response is written in.
type responseFormat int

const (
	// formatNone: the caller accepts neither format.
	formatNone responseFormat = iota
	formatJSON
	formatStream
)

// The media types of responses.
const (
	mediaJSON        = "application/json"
	mediaEventStream = "text/event-stream"
)

// negotiate picks the response format by the Accept headers. The higher weight
// wins; with equal weights, a caller that names the event stream gets it, since
// it can read one, and any other gets JSON.
func negotiate(headers []string) responseFormat {
	joined := strings.Join(headers, ",")
	if strings.TrimSpace(joined) == "" {
		return formatJSON
	}
	jsonPref, streamPref := preferenceFor(joined, mediaJSON), preferenceFor(joined, mediaEventStream)
	switch {
	case streamPref.weight > 0 && (streamPref.weight > jsonPref.weight || streamPref.weight == jsonPref.weight && streamPref.exact):
		return formatStream
	case jsonPref.weight > 0:
		return formatJSON
	}
	return formatNone
}

// preference is the weight that a caller gives to a media type.
type preference struct {
	weight float64
	// exact reports that the type itself was named, not only a range.
	exact bool
	// rank is 3 for the type itself, 2 for type/*, 1 for */* and 0 for no match.
	// The match of the highest rank decides.
	rank int
}

func preferenceFor(accept, media string) preference {
	var pref preference
	major, _, _ := strings.Cut(media, "/")
	for item := range strings.SplitSeq(accept, ",") {
		typ, params, err := mime.ParseMediaType(item)
		if err != nil {
			continue
		}
		rank := 0
		switch typ {
		case media:
			rank = 3
		case major + "/*":
			rank = 2
		case "*/*":
			rank = 1
		}
		if rank > pref.rank {
			pref = preference{weight: quality(params), exact: rank == 3, rank: rank}
		}
	}
	return pref
}

func quality(params map[string]string) float64 {
	txt, found := params["q"]
	if !found {
		return 1
	}
	val, err := strconv.ParseFloat(txt, 64)
	if err != nil || val < 0 || val > 1 {
		return 0
	}
	return val
}

func wantsStream(hrq *http.Request) bool {
	return negotiate(hrq.Header.Values("Accept")) == formatStream
}
