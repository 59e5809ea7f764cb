package core

// Tick marks the passing of time; the driver sends it several times a second.
type Tick struct{}

// NewTick returns a tick.
func NewTick() Tick { return Tick{} }

func (Tick) event() {}

// ConfigRead reports that a configuration document was read from the platform,
// a peer or the boot file. Its revision, not the order of arrival, decides
// whether it is accepted.
type ConfigRead struct {
	source string
	data   []byte
}

// NewConfigRead returns the event; source names where the document came from.
func NewConfigRead(source string, data []byte) ConfigRead {
	return ConfigRead{source: source, data: data}
}

func (ConfigRead) event() {}

// ListRead reports that the platform's instance list was read, from the
// platform or a peer. Its revision decides whether it is applied.
type ListRead struct {
	revision uint64
	list     []Instance
}

// NewListRead returns the event.
func NewListRead(revision uint64, list []Instance) ListRead {
	return ListRead{revision: revision, list: list}
}

func (ListRead) event() {}

// ServerLeaving reports that a backend server announced its leaving, in its own
// reply or through a peer, ahead of the instance list.
type ServerLeaving struct {
	id string
}

// NewServerLeaving returns the event.
func NewServerLeaving(id string) ServerLeaving { return ServerLeaving{id: id} }

func (ServerLeaving) event() {}

// Stop starts a planned stop: no more requests are admitted.
type Stop struct{}

// NewStop returns the event.
func NewStop() Stop { return Stop{} }

func (Stop) event() {}

var (
	_ Event = Tick{}
	_ Event = ConfigRead{}
	_ Event = ListRead{}
	_ Event = ServerLeaving{}
	_ Event = Stop{}
)
