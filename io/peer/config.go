package peer

import (
	"lovagestream/core"
	"lovagestream/core/patch"
	"lovagestream/io/peer/wire"
)

func encodeConfigPull(msg core.ConfigPull, env *wire.Envelope) {
	bod := &wire.ConfigPull{}
	for _, ver := range msg.SectionVersions() {
		bod.Sections = append(bod.Sections, &wire.SectionMark{Name: ver.Name(), Digest: ver.Digest()})
	}
	env.Body = &wire.Envelope_ConfigPull{ConfigPull: bod}
}

func decodeConfigPull(env *wire.Envelope) (core.ConfigPull, error) {
	secs := env.GetConfigPull().GetSections()
	if len(secs) > patch.MaxSections {
		return core.ConfigPull{}, messageErrorf(env, "%d sections; at most %d", len(secs), patch.MaxSections)
	}
	var vers []patch.SectionVersion
	for _, sec := range secs {
		if len(sec.GetName()) > maxNameLen {
			return core.ConfigPull{}, messageErrorf(env, "a section's name of %d bytes", len(sec.GetName()))
		}
		vers = append(vers, patch.NewSectionVersion(sec.GetName(), sec.GetDigest()))
	}
	return core.NewConfigPull(vers), nil
}

func encodeConfigPatch(msg core.ConfigPatch, env *wire.Envelope) {
	bod := &wire.PatchBody{}
	for _, pat := range msg.SectionPatches() {
		out := &wire.PatchPart{Name: pat.Name(), Base: pat.Base()}
		for _, edt := range pat.Edits() {
			out.Edits = append(out.Edits, &wire.PatchEdit{From: uint32(edt.From()), Lines: uint32(edt.Lines()), Text: edt.Text()})
		}
		bod.Parts = append(bod.Parts, out)
	}
	env.Body = &wire.Envelope_ConfigPatch{ConfigPatch: &wire.ConfigPatch{
		Revision: msg.Revision(),
		Digest:   msg.Digest(),
		Patch:    deflate(bod),
	}}
}

func decodeConfigPatch(env *wire.Envelope) (core.ConfigPatch, error) {
	msg := env.GetConfigPatch()
	bod := &wire.PatchBody{}
	if err := inflate(msg.GetPatch(), bod); err != nil {
		return core.ConfigPatch{}, messageErrorf(env, "%s", err)
	}
	if len(bod.GetParts()) > patch.MaxSections {
		return core.ConfigPatch{}, messageErrorf(env, "%d sections; at most %d", len(bod.GetParts()), patch.MaxSections)
	}
	var patches []patch.SectionPatch
	for _, pat := range bod.GetParts() {
		if len(pat.GetName()) > maxNameLen {
			return core.ConfigPatch{}, messageErrorf(env, "a section's name of %d bytes", len(pat.GetName()))
		}
		var edits []patch.Edit
		for _, edt := range pat.GetEdits() {
			edits = append(edits, patch.NewEdit(int(edt.GetFrom()), int(edt.GetLines()), edt.GetText()))
		}
		patches = append(patches, patch.NewSectionPatch(pat.GetName(), pat.GetBase(), edits))
	}
	return core.NewConfigPatch(msg.GetRevision(), msg.GetDigest(), patches), nil
}
