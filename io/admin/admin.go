// Package admin implements the read-only administration API on the operators'
// listener: the configuration in force at this entry instance, its view of the
// other instances, and why each backend server is used or not. Operators change
// the system by publishing configurations instead.
package admin

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"lovagestream/core"
	"lovagestream/core/limit"
	"lovagestream/io/clock"
	"lovagestream/io/meter"
)

// PathStatus is the URL path of the status.
const PathStatus = "/v1/status"

// Views provides the newest snapshot of the control state.
type Views interface {
	View() *core.View
}

// Costs provides the cost of stages since the instance started.
type Costs interface {
	Costs() meter.CostTree
}

var _ Costs = (*meter.Meter)(nil)

// Server serves the administration API.
type Server struct {
	instance string
	zone     string
	vws      Views
	lmt      *limit.Limiter
	cst      Costs
	clk      clock.Service
	// token is the SHA-256 of the operators' bearer token; nil disables
	// authentication.
	token []byte
}

// New returns the server of an entry instance. The token is the operators' bearer
// token; an empty one disables authentication.
func New(instance, zone, token string, vws Views, gat *limit.Limiter, cst Costs, clk clock.Service) *Server {
	srv := &Server{instance: instance, zone: zone, vws: vws, lmt: gat, cst: cst, clk: clk}
	if token != "" {
		sum := sha256.Sum256([]byte(token))
		srv.token = sum[:]
	}
	return srv
}

// RequireToken wraps a handler so that requests without the operators' bearer token
// are rejected with 401.
func (srv *Server) RequireToken(next http.Handler) http.Handler {
	return http.HandlerFunc(func(wri http.ResponseWriter, req *http.Request) {
		if !srv.allowed(req) {
			wri.Header().Set("WWW-Authenticate", "Bearer")
			http.Error(wri, "Authorization: want the operators' bearer token", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(wri, req)
	})
}

// allowed compares hashes in constant time, so that the response time does not
// reveal how much of a guessed token is right.
func (srv *Server) allowed(req *http.Request) bool {
	if srv.token == nil {
		return true
	}
	tok, found := strings.CutPrefix(req.Header.Get("Authorization"), "Bearer ")
	sum := sha256.Sum256([]byte(tok))
	return found && subtle.ConstantTimeCompare(sum[:], srv.token) == 1
}

// ServeHTTP responds to GET with the status.
func (srv *Server) ServeHTTP(wri http.ResponseWriter, req *http.Request) {
	if req.Method != http.MethodGet {
		wri.Header().Set("Allow", http.MethodGet)
		http.Error(wri, "want GET", http.StatusMethodNotAllowed)
		return
	}
	wri.Header().Set("Content-Type", "application/json")
	// The write fails only if the caller closed the connection.
	_ = json.NewEncoder(wri).Encode(srv.Status())
}

var _ http.Handler = (*Server)(nil)

// Status returns the current status.
func (srv *Server) Status() Status {
	now := srv.clk.Now()
	vie := srv.vws.View()
	sta := Status{
		Instance:     srv.instance,
		Zone:         srv.zone,
		At:           now,
		Ready:        vie.Ready() && vie.Fresh(now),
		Stopping:     vie.Stopping(),
		FromBootFile: vie.FromBootFile(),
		ListRevision: vie.ListRevision(),
		Duties:       duties(vie),
		Members:      members(vie, now),
		Servers:      servers(vie),
		Accounts:     srv.contracts(vie, now),
		Refused:      refusals(vie),
		Keys:         KeysBody{Bound: vie.Keys().Bound(), Live: vie.Keys().Live(), Past: vie.Keys().Ended(), Bytes: vie.Keys().Bytes()},
		Costs:        srv.cst.Costs(),
	}
	sta.CrashReports, sta.MaxCrashes = vie.Marks().Len(), vie.Marks().MostCrashes()
	if doc := vie.Config(); doc != nil {
		sta.Revision, sta.Preset = doc.Revision(), doc.Preset().Name()
	}
	return sta
}

func duties(vie *core.View) []string {
	got := []string{}
	for _, val := range []core.PublishedValue{core.ValueConfig, core.ValueList} {
		if vie.Watches(val) {
			got = append(got, "read-"+string(val))
		}
	}
	return got
}

func members(vie *core.View, now time.Time) []MemberBody {
	bods := []MemberBody{}
	for _, mem := range vie.Members() {
		bod := MemberBody{ID: mem.ID(), Zone: mem.Zone(), Address: mem.Address(), State: string(mem.State()), Revision: mem.Revision(), Linked: mem.Linked(), SilentMS: -1}
		if !mem.LastHeard().IsZero() {
			bod.SilentMS = now.Sub(mem.LastHeard()).Milliseconds()
		}
		bods = append(bods, bod)
	}
	return bods
}

func servers(vie *core.View) []ServerBody {
	bods := []ServerBody{}
	for _, got := range vie.Backends() {
		srv := got.Server()
		bod := ServerBody{ID: srv.ID(), Pool: srv.Pool(), Zone: srv.Zone(), Address: srv.Address(), State: string(got.State()), Inflight: srv.Inflight(), Running: -1, Waiting: -1}
		if rep := srv.Report(); rep != nil {
			bod.Running, bod.Waiting = rep.Running(), rep.Waiting()
		}
		bods = append(bods, bod)
	}
	return bods
}

// contracts lists the contracts of accounts with recent demand at this instance.
func (srv *Server) contracts(vie *core.View, now time.Time) []ContractBody {
	bods := []ContractBody{}
	doc := vie.Config()
	if doc == nil {
		return bods
	}
	for _, dem := range srv.lmt.Demand(now) {
		acc := doc.Account(dem.Account())
		if acc == nil {
			continue
		}
		ctr := acc.Contract()
		share, limited := vie.Shares()[acc.Name()]
		if !limited {
			share = 1
		}
		bods = append(bods, ContractBody{
			Account:     acc.Name(),
			Class:       string(ctr.Class()),
			Rate:        ctr.Rate(),
			Concurrency: ctr.Concurrency(),
			Tokens:      ctr.Tokens(),
			Share:       share,
			UsedRate:    dem.Rate(),
			Running:     dem.Running(),
			UsedTokens:  dem.Tokens(),
		})
	}
	return bods
}

func refusals(vie *core.View) []RefusalBody {
	bods := []RefusalBody{}
	for _, rfs := range vie.Refusals() {
		bods = append(bods, RefusalBody{Source: rfs.Source(), Revision: rfs.Revision(), At: rfs.At(), Error: rfs.Err().Error()})
	}
	return bods
}
