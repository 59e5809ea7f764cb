package core

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"lovagestream/core/config"
	"lovagestream/core/patch"
)

// Sources of configuration documents.
const (
	// SourceBoot is the boot file named in the settings. Its document has the
	// lowest precedence: any other document replaces it, and peers do not
	// receive it.
	SourceBoot = "boot"
	// SourcePlatform is the platform's configuration service.
	SourcePlatform = "platform"
)

const (
	// pullTimeout is how long a peer may take to answer a pull before another
	// peer is asked.
	pullTimeout = time.Second
	// maxRefusals bounds the refusals kept for the status.
	maxRefusals = 16
)

// conf is the component for the accepted configuration.
type conf struct {
	ctl *Control
	// doc is the accepted document with the highest revision seen.
	doc *config.Document
	// boot is set while doc came from the boot file.
	boot bool
	// sto holds the sections of recent documents, against which patches apply.
	sto patch.Store
	// pull is the one outstanding pull.
	pull pull
	// refusals lists each refused document once, newest last.
	refusals []Refusal
}

// pull is a request to a peer for its document.
type pull struct {
	from string
	// at is when the request was sent; zero if none is outstanding.
	at time.Time
	// whole is set after a patch could not be applied.
	whole bool
}

var _ component = (*conf)(nil)

func newConf(ctl *Control) *conf { return &conf{ctl: ctl} }

func (cnf *conf) step(now time.Time, ev Event) []Decision {
	switch evt := ev.(type) {
	case ConfigRead:
		return cnf.applyDocument(now, evt.source, evt.data)
	case MessageReceived:
		return cnf.onMessage(now, evt)
	}
	return nil
}

func (cnf *conf) fill(vie *View) {
	vie.doc, vie.fromBootFile = cnf.doc, cnf.boot
	vie.refusals = append([]Refusal(nil), cnf.refusals...)
}

// version returns the accepted revision and its digest; both are zero before
// the first document and while the boot file is in force.
func (cnf *conf) version() (revision, digest uint64) {
	if cnf.doc == nil || cnf.boot {
		return 0, 0
	}
	return cnf.doc.Revision(), cnf.doc.Digest()
}

// applyDocument accepts a document if its revision is higher than the one in
// force, whatever its source.
func (cnf *conf) applyDocument(now time.Time, source string, data []byte) []Decision {
	if cnf.doc != nil && (source == SourceBoot || xxhash.Sum64(data) == cnf.doc.Digest() && !cnf.boot) {
		return nil
	}
	doc, err := config.Read(source, data)
	if err != nil {
		return cnf.refuse(now, source, 0, xxhash.Sum64(data), err)
	}
	if own, digest := cnf.version(); cnf.doc != nil && !cnf.boot {
		// A stale platform replica, a stale peer or a late reply shows as a
		// lower revision. Only a higher revision replaces the document in
		// force, so none of these can revert it.
		if doc.Revision() < own {
			return nil
		}
		if doc.Revision() == own && doc.Digest() != digest {
			return cnf.refuseConflict(now, source, own, doc.Digest())
		}
	}
	cnf.doc, cnf.boot = doc, source == SourceBoot
	cnf.sto.Add(doc.Source())
	cnf.ctl.dirty = true
	return []Decision{ConfigAccepted{source: source, doc: doc}}
}

// refuseConflict keeps the first of two different documents with the same
// revision. Instances may differ in which came first; the next revision
// resolves this.
func (cnf *conf) refuseConflict(now time.Time, source string, revision, digest uint64) []Decision {
	err := errors.Errorf("revision %d was published with different contents; the one in force stays until a higher revision", revision)
	return cnf.refuse(now, source, revision, digest, err)
}

// refuse reports a document once, however often it is read again.
func (cnf *conf) refuse(now time.Time, source string, revision, digest uint64, err error) []Decision {
	for _, rfs := range cnf.refusals {
		if rfs.digest == digest {
			return nil
		}
	}
	rfs := Refusal{source: source, revision: revision, digest: digest, at: now, err: err}
	if len(cnf.refusals) == maxRefusals {
		cnf.refusals = cnf.refusals[1:]
	}
	cnf.refusals = append(cnf.refusals[:len(cnf.refusals):len(cnf.refusals)], rfs)
	cnf.ctl.dirty = true
	return []Decision{ConfigRefused{source: source, err: err}}
}

// wasRefused reports whether a document was refused before. All instances of
// one version accept the same documents, but a peer of another version may
// accept one that is refused here, which would otherwise be pulled again with
// every heartbeat.
func (cnf *conf) wasRefused(digest uint64) bool {
	for _, rfs := range cnf.refusals {
		if rfs.digest == digest {
			return true
		}
	}
	return false
}

func (cnf *conf) onMessage(now time.Time, evt MessageReceived) []Decision {
	var decs []Decision
	switch msg := evt.msg.(type) {
	case ConfigPull:
		return cnf.answerPull(evt.from, msg)
	case ConfigPatch:
		decs = cnf.applyPatch(now, evt.from, msg)
	}
	return append(decs, cnf.pullIfBehind(now, evt)...)
}

// pullIfBehind requests the document of a peer that has a higher revision.
func (cnf *conf) pullIfBehind(now time.Time, evt MessageReceived) []Decision {
	own, digest := cnf.version()
	stm := evt.stamp
	switch {
	case stm.revision == own && stm.digest != digest && !cnf.wasRefused(stm.digest):
		return cnf.refuseConflict(now, "peer "+evt.from, own, stm.digest)
	case stm.revision <= own || cnf.wasRefused(stm.digest):
		return nil
	case !cnf.pull.at.IsZero() && now.Sub(cnf.pull.at) < pullTimeout:
		return nil
	}
	return cnf.sendPull(now, evt.from, cnf.pull.whole)
}

func (cnf *conf) sendPull(now time.Time, from string, whole bool) []Decision {
	cnf.pull = pull{from: from, at: now, whole: whole}
	msg := ConfigPull{}
	if !whole {
		msg.versions = patch.SectionVersions(cnf.sto.Newest())
	}
	return []Decision{send(from, msg)}
}

func (cnf *conf) answerPull(to string, msg ConfigPull) []Decision {
	revision, digest := cnf.version()
	if revision == 0 {
		return nil
	}
	patches := patch.Make(cnf.sto.Newest(), msg.versions, cnf.sto.Find)
	return []Decision{send(to, ConfigPatch{revision: revision, digest: digest, patches: patches})}
}

// applyPatch rebuilds a document from a patch. If the result does not have the
// digest that the sender gave, the complete document is requested once.
func (cnf *conf) applyPatch(now time.Time, from string, msg ConfigPatch) []Decision {
	if own, _ := cnf.version(); msg.revision <= own {
		return nil
	}
	data, err := patch.Apply(msg.patches, cnf.sto.Find, config.MaxBytes)
	if err != nil || xxhash.Sum64(data) != msg.digest {
		if cnf.pull.whole && cnf.pull.from == from {
			cnf.pull = pull{}
			return nil
		}
		return cnf.sendPull(now, from, true)
	}
	cnf.pull = pull{}
	return cnf.applyDocument(now, "peer "+from, data)
}
