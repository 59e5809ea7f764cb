package proxy

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
)

// Paths of the proxy's control interface.
const (
	// PathLinks takes POST {"name","target"} and answers {"address"}. A further
	// POST changes the link's target and keeps its address.
	PathLinks = "/links"
	// PathRules takes POST {"name","rules"}; an empty list removes all faults.
	PathRules = "/rules"
)

// LinkBody is the JSON body of requests and of the answer of PathLinks.
type LinkBody struct {
	Name    string `json:"name"`
	Target  string `json:"target,omitempty"`
	Address string `json:"address,omitempty"`
	Rules   []Rule `json:"rules,omitempty"`
}

// Server holds links by name and is controlled over HTTP.
type Server struct {
	ctx   context.Context
	mu    sync.Mutex
	links map[string]*Link
}

// NewServer returns a server without links. Its links are closed when the
// context ends.
func NewServer(ctx context.Context) *Server {
	return &Server{ctx: ctx, links: map[string]*Link{}}
}

// Handler returns the handler of the control interface.
func (srv *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+PathLinks, srv.link)
	mux.HandleFunc("POST "+PathRules, srv.rules)
	return mux
}

func (srv *Server) link(wri http.ResponseWriter, req *http.Request) {
	var bod LinkBody
	if err := json.NewDecoder(req.Body).Decode(&bod); err != nil {
		http.Error(wri, err.Error(), http.StatusBadRequest)
		return
	}
	srv.mu.Lock()
	defer srv.mu.Unlock()
	lnk := srv.links[bod.Name]
	if lnk == nil {
		var err error
		if lnk, err = NewLink(srv.ctx, bod.Target); err != nil {
			http.Error(wri, err.Error(), http.StatusInternalServerError)
			return
		}
		srv.links[bod.Name] = lnk
	}
	lnk.SetTarget(bod.Target)
	bod.Address = lnk.Address()
	_ = json.NewEncoder(wri).Encode(bod)
}

func (srv *Server) rules(wri http.ResponseWriter, req *http.Request) {
	var bod LinkBody
	if err := json.NewDecoder(req.Body).Decode(&bod); err != nil {
		http.Error(wri, err.Error(), http.StatusBadRequest)
		return
	}
	srv.mu.Lock()
	lnk := srv.links[bod.Name]
	srv.mu.Unlock()
	if lnk == nil {
		http.Error(wri, "no such link: "+bod.Name, http.StatusNotFound)
		return
	}
	lnk.SetRules(bod.Rules)
}
