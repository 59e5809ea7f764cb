package admin

import (
	"net/http"
)

// PathConfig is the URL path of the configuration in force, as it was published.
const PathConfig = "/v1/config"

// Config responds with the source of the document in force, or with 404 if there is
// none yet.
func (srv *Server) Config(wri http.ResponseWriter, _ *http.Request) {
	doc := srv.vws.View().Config()
	if doc == nil {
		http.Error(wri, "no configuration is in force yet", http.StatusNotFound)
		return
	}
	wri.Header().Set("Content-Type", "application/yaml")
	_, _ = wri.Write(doc.Source())
}
