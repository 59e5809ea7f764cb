package core

import (
	"time"

	"lovagestream/core/config"
	"lovagestream/core/patch"
)

// ConfigPull asks a peer for its document.
type ConfigPull struct {
	// versions are those of the sections that the requester has.
	versions []patch.SectionVersion
}

// NewConfigPull returns a request; without versions it asks for complete
// sections.
func NewConfigPull(versions []patch.SectionVersion) ConfigPull { return ConfigPull{versions: versions} }

// SectionVersions returns the versions of the sections that the requester has.
func (msg ConfigPull) SectionVersions() []patch.SectionVersion { return msg.versions }

func (ConfigPull) message() {}

// ConfigPatch is a document, encoded as differences from sections that the
// receiver has.
type ConfigPatch struct {
	revision uint64
	// digest is that of the rebuilt document.
	digest  uint64
	patches []patch.SectionPatch
}

// NewConfigPatch returns a patch that rebuilds the document with the given
// revision and digest.
func NewConfigPatch(revision, digest uint64, patches []patch.SectionPatch) ConfigPatch {
	return ConfigPatch{revision: revision, digest: digest, patches: patches}
}

// Revision returns the document's revision.
func (msg ConfigPatch) Revision() uint64 { return msg.revision }

// Digest returns the digest of the rebuilt document.
func (msg ConfigPatch) Digest() uint64 { return msg.digest }

// SectionPatches returns the sections' patches.
func (msg ConfigPatch) SectionPatches() []patch.SectionPatch { return msg.patches }

func (ConfigPatch) message() {}

// ConfigAccepted reports to the driver that a document came into force.
type ConfigAccepted struct {
	source string
	doc    *config.Document
}

// Source names where the document came from: SourceBoot, SourcePlatform or a
// peer. Its bytes as published are in Document().Source().
func (dec ConfigAccepted) Source() string { return dec.source }

// Document returns the document in force.
func (dec ConfigAccepted) Document() *config.Document { return dec.doc }

func (ConfigAccepted) decision() {}

// ConfigRefused reports to the driver that a document was refused. The
// configuration in force stays.
type ConfigRefused struct {
	source string
	err    error
}

// Source returns where the document came from.
func (dec ConfigRefused) Source() string { return dec.source }

// Err returns the reason, with every fault found.
func (dec ConfigRefused) Err() error { return dec.err }

func (ConfigRefused) decision() {}

// Refusal is a refused document, for the status.
type Refusal struct {
	source string
	// revision is 0 if it could not be read.
	revision uint64
	digest   uint64
	at       time.Time
	err      error
}

// Source returns where the document came from.
func (rfs Refusal) Source() string { return rfs.source }

// Revision returns the document's revision; 0 if it could not be read.
func (rfs Refusal) Revision() uint64 { return rfs.revision }

// At returns when it was refused.
func (rfs Refusal) At() time.Time { return rfs.at }

// Err returns the reason with every fault found: key path, found value and
// allowed values.
func (rfs Refusal) Err() error { return rfs.err }

var (
	_ Message  = ConfigPull{}
	_ Message  = ConfigPatch{}
	_ Decision = ConfigAccepted{}
	_ Decision = ConfigRefused{}
)
