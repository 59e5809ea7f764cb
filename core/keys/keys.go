// Package keys implements idempotency keys: it ensures that a request that
// must not be repeated runs at most once.
//
// A client account requests keys before it sends such requests. A key belongs
// to the entry instance that issued it, the issuer, in one incarnation. An
// unused key takes no memory: its text carries the issuer, the expiry and the
// client account, protected by a message authentication code.
//
// The entry instance that receives a keyed request asks the issuer to bind the
// key to it. Only the issuer binds its keys, each to one request at a time,
// whose instance is then the executor. The executor keeps a record of the
// run's outcome, so that a resend through any instance finds it. The protocol
// guarantees:
//
//   - A key has at most one executor at any time. The issuer binds only a free
//     key, and frees it only on a Release from the request that holds it.
//   - A request that gave up its key never runs later: its record stays
//     abandoned for longer than the issuer remembers the key.
//   - Missing state proves nothing. A restart, a lost peer or a full table
//     leads to "unknown", never to "not run" and never to a second run.
//   - "Not run" holds for every copy of the request: a copy that reached
//     another instance before the refusal can't use the key after it. Bound
//     carries the time since the last refusal, and the executor compares it
//     with the age of its own request.
//
// The package is pure: time is an argument, and only times of one instance's
// own clock are compared.
package keys

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"strings"
	"time"
)

// Limits of a key and of the secrets that authenticate keys.
const (
	// MaxKeyLen is the maximum length of a key's text, in bytes.
	MaxKeyLen = 512
	// MinSecretLen is the minimum length of a secret, in bytes.
	MinSecretLen = 16

	keyPrefix     = "lik1."
	macSize       = 16
	maxNameLen    = 64
	keyBufferSize = 256
)

// Instance identifies one incarnation of an entry instance.
type Instance struct {
	id          string
	incarnation uint64
}

// NewInstance returns the identity of one incarnation of an entry instance.
func NewInstance(id string, incarnation uint64) Instance {
	return Instance{id: id, incarnation: incarnation}
}

// ID returns the entry instance's name.
func (ins Instance) ID() string { return ins.id }

// Incarnation returns the number that distinguishes the instance's starts.
func (ins Instance) Incarnation() uint64 { return ins.incarnation }

// Key is a verified idempotency key.
type Key struct {
	issuer Instance
	// sequence is unique within the issuer, from 1.
	sequence uint64
	// expiry is the end of the time in which the key can be bound, measured
	// from the issuer's start on the issuer's monotonic clock.
	expiry  time.Duration
	account string
}

// NewKey returns a key with the given contents.
func NewKey(issuer Instance, sequence uint64, expiry time.Duration, account string) Key {
	return Key{issuer: issuer, sequence: sequence, expiry: expiry, account: account}
}

// Issuer returns the instance that issued the key and binds it.
func (key Key) Issuer() Instance { return key.issuer }

// Sequence returns the key's sequence number at its issuer.
func (key Key) Sequence() uint64 { return key.sequence }

// Expiry returns when the key expires, as the time since the issuer's start.
func (key Key) Expiry() time.Duration { return key.expiry }

// Account returns the client account that the key was issued to.
func (key Key) Account() string { return key.account }

// Secret authenticates keys. Each key contains the name of its secret, so that
// keys signed before a rotation verify while the old secret is still listed.
type Secret struct {
	name  string
	value []byte
}

// NewSecret returns a secret. The value is never printed.
func NewSecret(name string, value []byte) Secret { return Secret{name: name, value: value} }

// Name returns the secret's name.
func (sec Secret) Name() string { return sec.name }

// String returns a description without the value, which must not be logged.
func (sec Secret) String() string { return "secret " + sec.name }

// Keyring signs keys with one secret and verifies them with several. It is
// immutable; a rotation replaces it. To rotate without an outage, list the new
// secret second on all instances, then first on all instances, and remove the
// old one once the lifetime and retention of the keys that it signed are over.
type Keyring struct {
	// secrets starts with the signing secret. Names are unique.
	secrets []Secret
}

// NewKeyring returns a keyring that signs with the first secret.
func NewKeyring(secrets ...Secret) *Keyring { return &Keyring{secrets: secrets} }

// Sign returns the key's text for the Idempotency-Key header.
func (krg *Keyring) Sign(key Key) string {
	sec := krg.secrets[0]
	raw := make([]byte, 0, keyBufferSize)
	raw = appendText(raw, sec.name)
	raw = appendText(raw, key.issuer.id)
	raw = binary.AppendUvarint(raw, key.issuer.incarnation)
	raw = binary.AppendUvarint(raw, key.sequence)
	raw = binary.AppendUvarint(raw, uint64(key.expiry/time.Millisecond))
	raw = appendText(raw, key.account)
	raw = append(raw, computeMAC(sec, raw)...)
	return keyPrefix + base64.RawURLEncoding.EncodeToString(raw)
}

// Verification is the result of verifying the text of a key.
type Verification int

// The results. Only Forged proves that no entry instance ever accepted the
// text as a key.
const (
	// Authentic: signed with a secret of the keyring.
	Authentic Verification = iota
	// Forged: not a key, or altered since it was signed.
	Forged
	// Unverifiable: of a later format, or signed with a secret that this instance
	// doesn't hold because it is retired or not yet listed here. The key may
	// have been used.
	Unverifiable
)

// Verify decodes and verifies a key's text.
func (krg *Keyring) Verify(text string) (Key, Verification) {
	enc, found := strings.CutPrefix(text, keyPrefix)
	if !found {
		if strings.HasPrefix(text, "lik") {
			return Key{}, Unverifiable
		}
		return Key{}, Forged
	}
	raw, err := base64.RawURLEncoding.Strict().DecodeString(enc)
	if err != nil || len(text) > MaxKeyLen || len(raw) <= macSize {
		return Key{}, Forged
	}
	body, mac := raw[:len(raw)-macSize], raw[len(raw)-macSize:]
	rdr := reader{raw: body}
	name := rdr.text()
	for _, sec := range krg.secrets {
		if sec.name != name {
			continue
		}
		if !hmac.Equal(mac, computeMAC(sec, body)) {
			return Key{}, Forged
		}
		return rdr.key()
	}
	if rdr.malformed {
		return Key{}, Forged
	}
	return Key{}, Unverifiable
}

func computeMAC(sec Secret, body []byte) []byte {
	mac := hmac.New(sha256.New, sec.value)
	mac.Write(body)
	return mac.Sum(nil)[:macSize]
}

func appendText(raw []byte, txt string) []byte {
	raw = binary.AppendUvarint(raw, uint64(len(txt)))
	return append(raw, txt...)
}

// reader decodes the fields of a key. It sets malformed at the first field that
// is truncated or too long.
type reader struct {
	raw       []byte
	malformed bool
}

func (rdr *reader) number() uint64 {
	val, size := binary.Uvarint(rdr.raw)
	if size <= 0 {
		rdr.malformed = true
		return 0
	}
	rdr.raw = rdr.raw[size:]
	return val
}

func (rdr *reader) text() string {
	size := rdr.number()
	if rdr.malformed || size > maxNameLen || size > uint64(len(rdr.raw)) {
		rdr.malformed = true
		return ""
	}
	txt := string(rdr.raw[:size])
	rdr.raw = rdr.raw[size:]
	return txt
}

func (rdr *reader) key() (Key, Verification) {
	key := Key{issuer: Instance{id: rdr.text(), incarnation: rdr.number()}}
	key.sequence = rdr.number()
	key.expiry = time.Duration(rdr.number()) * time.Millisecond
	key.account = rdr.text()
	if rdr.malformed || len(rdr.raw) > 0 {
		return Key{}, Forged
	}
	return key, Authentic
}
