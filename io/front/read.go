package front

import (
	"encoding/json"
	"fmt"
	"mime"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gorilla/mux"
	"github.com/pkg/errors"

	"lovagestream/core/config"
	"lovagestream/core/result"
	"lovagestream/io/frame"
	"lovagestream/io/runner"
)

func (srv *Server) requestID(hrq *http.Request) (string, *result.Refusal) {
	id := hrq.Header.Get(HeaderRequestID)
	if id == "" {
		now := strconv.FormatInt(srv.clk.Now().UnixNano(), 36)
		return srv.opt.instance + "-" + now + "-" + strconv.FormatUint(srv.seq.Add(1), 36), nil
	}
	if !requestIDPattern.MatchString(id) {
		return "invalid", refuse(result.BadRequest, 0, HeaderRequestID+": want 1 to 64 of letters, digits, '.', '_' and '-'")
	}
	return id, nil
}

// readRequest reads and checks a request, cheapest checks first. Nothing has
// run for a request that it refuses.
func (srv *Server) readRequest(id string, wri http.ResponseWriter, hrq *http.Request) (*runner.Request, *result.Refusal) {
	if rfl := srv.checkHeaders(hrq); rfl != nil {
		return nil, rfl
	}
	vie := srv.vws.View()
	doc := vie.Config()
	if doc == nil {
		return nil, refuse(result.NotReady, time.Second, "no configuration is in force yet")
	}
	if !vie.Fresh(srv.clk.Now()) {
		return nil, refuse(result.NotReady, time.Second, "this entry instance has not heard the others yet")
	}
	acc := srv.acs.find(doc, hrq)
	if acc == nil {
		return nil, refuse(result.Unauthorized, 0, "Authorization: want the bearer token of a client account")
	}
	name := mux.Vars(hrq)["pipeline"]
	pip := doc.Pipeline(name)
	if pip == nil {
		const longest = 64
		return nil, refuse(result.NoPipeline, 0, fmt.Sprintf("pipeline: %q is not configured", name[:min(len(name), longest)]))
	}
	deadline, rfl := requestDeadline(srv.clk.Now(), pip, hrq)
	if rfl != nil {
		return nil, rfl
	}
	body, rfl := srv.readBody(wri, hrq, deadline)
	if rfl != nil {
		return nil, rfl
	}
	return runner.NewRequest(id, doc, acc, pip, body, deadline), nil
}

// checkHeaders checks what needs no lookup: the size of the headers, the
// accepted response formats and the content type.
func (srv *Server) checkHeaders(hrq *http.Request) *result.Refusal {
	size := len(hrq.RequestURI)
	for key, vals := range hrq.Header {
		for _, val := range vals {
			size += len(key) + len(val) + len(": \r\n")
		}
	}
	if int64(size) > srv.opt.maxHeaderBytes {
		return refuse(result.HeadersTooLarge, 0, fmt.Sprintf("headers: over the limit of %d bytes", srv.opt.maxHeaderBytes))
	}
	if negotiate(hrq.Header.Values("Accept")) == formatNone {
		return refuse(result.NotAcceptable, 0, "Accept: want application/json or text/event-stream")
	}
	typ := hrq.Header.Get("Content-Type")
	if typ == "" {
		return nil
	}
	media, _, err := mime.ParseMediaType(typ)
	if err != nil || media != "application/json" && !strings.HasSuffix(media, "+json") {
		return refuse(result.NotJSON, 0, "Content-Type: want application/json")
	}
	return nil
}

func requestDeadline(now time.Time, pip *config.Pipeline, hrq *http.Request) (time.Time, *result.Refusal) {
	txt := hrq.Header.Get(HeaderDeadline)
	if txt == "" {
		return now.Add(pip.Deadline()), nil
	}
	wait, err := time.ParseDuration(txt)
	if err != nil {
		return now, refuse(result.BadRequest, 0, HeaderDeadline+": want a duration with its unit, such as 2500ms")
	}
	if wait <= 0 {
		return now, refuse(result.DeadlinePassed, 0, HeaderDeadline+": the deadline lies in the past")
	}
	return now.Add(min(wait, pip.Deadline())), nil
}

// readBody reads the body within its size limit and before the request's
// deadline.
func (srv *Server) readBody(wri http.ResponseWriter, hrq *http.Request, deadline time.Time) (json.RawMessage, *result.Refusal) {
	raw, err := frame.ReadBody(wri, hrq, srv.opt.maxBodyBytes, deadline, srv.clk)
	if err != nil {
		srv.setReadDeadline(wri, srv.clk.Now())
		return nil, srv.refuseBody(err)
	}
	if !json.Valid(raw) {
		return nil, refuse(result.BadRequest, 0, "body: want one JSON value")
	}
	return raw, nil
}

// refuseBody returns the refusal for a body that could not be read to its end.
func (srv *Server) refuseBody(err error) *result.Refusal {
	var bad *frame.BodyError
	if errors.As(err, &bad) {
		switch bad.Kind {
		case frame.TooLarge:
			return refuse(result.BodyTooLarge, 0, fmt.Sprintf("body: over the limit of %d bytes", srv.opt.maxBodyBytes))
		case frame.TooSlow:
			return refuse(result.DeadlinePassed, 0, "body: did not come before the deadline")
		}
	}
	return refuse(result.BadRequest, 0, "body: could not be read to its end")
}
