package core

// Message is a message between entry instances. Messages are typed values;
// package peer encodes them. A message may be lost, delayed, duplicated or
// reordered, and every kind carries what its receiver needs to drop it safely
// in each case.
type Message interface{ message() }

// Stamp is the information about its sender that every message carries.
type Stamp struct {
	// incarnation identifies one start of the sender; a later start of the same
	// instance has a higher one.
	incarnation uint64
	// revision is that of the sender's accepted configuration; 0 before the
	// first and while the boot file is in force.
	revision uint64
	// digest is that of the configuration document.
	digest uint64
	// listRevision is the revision of the sender's instance list.
	listRevision uint64
}

// NewStamp returns a stamp.
func NewStamp(incarnation, revision, digest, listRevision uint64) Stamp {
	return Stamp{incarnation: incarnation, revision: revision, digest: digest, listRevision: listRevision}
}

// Incarnation returns the number that identifies this start of the sender.
func (stm Stamp) Incarnation() uint64 { return stm.incarnation }

// Revision returns the revision of the sender's accepted configuration.
func (stm Stamp) Revision() uint64 { return stm.revision }

// Digest returns the digest of the sender's document.
func (stm Stamp) Digest() uint64 { return stm.digest }

// ListRevision returns the revision of the sender's instance list.
func (stm Stamp) ListRevision() uint64 { return stm.listRevision }

// MessageReceived reports that a message arrived from another entry instance.
type MessageReceived struct {
	from  string
	stamp Stamp
	msg   Message
}

// NewMessageReceived returns the event; from is the sender's identity, as
// authenticated by the link that the message came over.
func NewMessageReceived(from string, stamp Stamp, msg Message) MessageReceived {
	return MessageReceived{from: from, stamp: stamp, msg: msg}
}

// From returns the sender's identity.
func (evt MessageReceived) From() string { return evt.from }

// Stamp returns the information about the sender.
func (evt MessageReceived) Stamp() Stamp { return evt.stamp }

// Message returns the message.
func (evt MessageReceived) Message() Message { return evt.msg }

func (MessageReceived) event() {}

// LinkFailed reports that a link to another entry instance broke or could not
// be opened.
type LinkFailed struct {
	peer string
}

// NewLinkFailed returns the event.
func NewLinkFailed(peer string) LinkFailed { return LinkFailed{peer: peer} }

func (LinkFailed) event() {}

// Send tells the driver to send a message to another entry instance. The
// message is dropped if the link is down or its queue is full.
type Send struct {
	to      string
	address string
	stamp   Stamp
	msg     Message
}

// send returns the decision; Step adds the address and the stamp.
func send(to string, msg Message) Send { return Send{to: to, msg: msg} }

// To returns the receiver's identity; empty if only its address is known.
func (dec Send) To() string { return dec.to }

// Address returns where the receiver can be reached; empty if unknown.
func (dec Send) Address() string { return dec.address }

// Stamp returns the information about this instance.
func (dec Send) Stamp() Stamp { return dec.stamp }

// Message returns the message.
func (dec Send) Message() Message { return dec.msg }

func (Send) decision() {}

var (
	_ Event    = MessageReceived{}
	_ Event    = LinkFailed{}
	_ Decision = Send{}
)
