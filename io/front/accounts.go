package front

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"strings"
	"sync/atomic"

	"lovagestream/core/config"
)

// accounts looks up the client account of a bearer token, at a cost that does
// not depend on the number of accounts.
type accounts struct {
	idx atomic.Pointer[index]
}

// index maps the SHA-256 of each token to its account, for one document. It is
// immutable.
type index struct {
	doc   *config.Document
	bySum map[[sha256.Size]byte]*config.Account
}

// find returns the account of a request's bearer token, or nil.
//
// It resists timing attacks: the map lookup depends only on the token's SHA-256,
// whose bits can't be chosen by a caller except by trial and reveal nothing of the
// token. The hash found is compared again in constant time, so that the result does
// not depend on how a map compares keys.
func (acs *accounts) find(doc *config.Document, hrq *http.Request) *config.Account {
	tok, found := strings.CutPrefix(hrq.Header.Get("Authorization"), "Bearer ")
	if !found || tok == "" {
		return nil
	}
	sum := sha256.Sum256([]byte(tok))
	acc := acs.indexFor(doc).bySum[sum]
	if acc == nil || subtle.ConstantTimeCompare(sum[:], acc.Credential()) != 1 {
		return nil
	}
	return acc
}

// indexFor returns the index of a document and caches it for the document in
// force. Concurrent requests may build it twice, which is harmless.
func (acs *accounts) indexFor(doc *config.Document) *index {
	if idx := acs.idx.Load(); idx != nil && idx.doc == doc {
		return idx
	}
	idx := &index{doc: doc, bySum: make(map[[sha256.Size]byte]*config.Account, len(doc.Accounts()))}
	for _, acc := range doc.Accounts() {
		if len(acc.Credential()) == sha256.Size {
			idx.bySum[[sha256.Size]byte(acc.Credential())] = acc
		}
	}
	acs.idx.Store(idx)
	return idx
}
