package back

import (
	"encoding/base64"
	"encoding/binary"
	"net/http"
	"time"
)

// exportBody requests the cached blocks of a prompt, given by its text or by
// the ID of a running call.
type exportBody struct {
	Prompt string `json:"prompt,omitempty"`
	ID     string `json:"id,omitempty"`
}

// handleBody carries exported cache blocks. The handle is opaque to all but
// engines; it stands for the KV cache memory that real engines transfer.
type handleBody struct {
	Handle string `json:"handle"`
}

// importedBody is the reply to an import: the number of tokens imported.
type importedBody struct {
	Tokens int `json:"tokens"`
}

func (srv *Server) exportCache(wri http.ResponseWriter, req *http.Request) {
	var bod exportBody
	if !srv.readCall(wri, req, &bod) {
		return
	}
	eng := srv.eng
	eng.mu.Lock()
	blocks := blocksOf(bod.Prompt)
	if seq := eng.byCall[bod.ID]; seq != nil {
		blocks = seq.blocks
	}
	blocks = blocks[:eng.cache.match(blocks)]
	eng.mu.Unlock()
	if len(blocks) == 0 {
		wri.WriteHeader(http.StatusNotFound)
		return
	}
	raw := make([]byte, 0, 8*len(blocks))
	for _, blk := range blocks {
		raw = binary.LittleEndian.AppendUint64(raw, blk)
	}
	reply(wri, handleBody{Handle: base64.RawURLEncoding.EncodeToString(raw)})
}

// importCost is the time to import a token, as a share of its prefill time.
const importCost = 0.1

func (srv *Server) importCache(wri http.ResponseWriter, req *http.Request) {
	var bod handleBody
	if !srv.readCall(wri, req, &bod) {
		return
	}
	raw, err := base64.RawURLEncoding.DecodeString(bod.Handle)
	if err != nil || len(raw)%8 != 0 {
		http.Error(wri, "handle: want one that an engine exported", http.StatusBadRequest)
		return
	}
	blocks := make([]uint64, 0, len(raw)/8)
	for ; len(raw) > 0; raw = raw[8:] {
		blocks = append(blocks, binary.LittleEndian.Uint64(raw))
	}
	tokens := len(blocks) * blockBytes / bytesPerToken
	cost := importCost * float64(tokens) * float64(srv.mod.perPrefill) / srv.swi.speed()
	if wait(req.Context(), time.Duration(cost)) != nil {
		return
	}
	eng := srv.eng
	eng.mu.Lock()
	eng.cache.store(time.Now(), blocks)
	eng.mu.Unlock()
	reply(wri, importedBody{Tokens: tokens})
}
