package edge

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"lovagestream/core/marks"
)

// CausesPath is the path of the causes of crashes on the metrics listener.
const CausesPath = "/crash-causes"

// operators serves metrics, and the causes of crashes: GET lists them, DELETE of one lifts it.
func (nod *Node) operators() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", nod.gau)
	mux.HandleFunc("GET "+CausesPath, nod.serveCauses)
	mux.HandleFunc("DELETE "+CausesPath+"/{fingerprint}", nod.liftCause)
	return mux
}

func (nod *Node) serveCauses(wri http.ResponseWriter, _ *http.Request) {
	wri.Header().Set("Content-Type", "application/json")
	// The write fails only if the operator closed the connection.
	_ = json.NewEncoder(wri).Encode(nod.ctl.stats.Load().causes)
}

func (nod *Node) liftCause(wri http.ResponseWriter, req *http.Request) {
	txt := req.PathValue("fingerprint")
	num, err := strconv.ParseUint(txt, 10, 64)
	if err != nil {
		http.Error(wri, strings.TrimPrefix(CausesPath, "/")+": found "+strconv.Quote(txt)+", want a fingerprint as listed", http.StatusBadRequest)
		return
	}
	if _, refused := nod.ctl.View().Marks.Verdict(marks.Fingerprint(num)); !refused {
		http.Error(wri, "no requests are refused for "+txt, http.StatusNotFound)
		return
	}
	nod.ctl.Lift(marks.Fingerprint(num))
	wri.WriteHeader(http.StatusNoContent)
}
