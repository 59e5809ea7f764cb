package serve

import (
	"net/http"

	"lovagestream/io/front"
	"lovagestream/io/setup"
)

func frontOptions(set *setup.Settings) front.Options {
	lim := set.CallerLimits()
	return front.NewOptions(set.Instance(), lim.MaxBody()).
		WithMaxHeaderBytes(lim.MaxHeaderBytes()).
		WithMaxConcurrent(lim.MaxRequests(), lim.MaxStreams()).
		WithWriteTimeout(lim.WriteTimeout())
}

// setLimits sets the limits that the HTTP server enforces before a handler runs.
// Headers up to twice the maximum size still reach the handler, which rejects them
// with an error in the API's format; the server itself rejects larger ones.
func setLimits(srv *http.Server, lim setup.CallerLimits) {
	const slack = 2
	srv.MaxHeaderBytes = slack * int(lim.MaxHeaderBytes())
	srv.ReadHeaderTimeout = lim.HeaderTimeout()
	srv.IdleTimeout = lim.IdleTimeout()
}
