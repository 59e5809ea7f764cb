package conns

import (
	"time"

	"github.com/pkg/errors"
)

// endTimeout bounds how long a server may take to receive the rest of a request after it has ended
// its response with the connection. A lost packet is sent again within it.
const endTimeout = time.Second

// confirmEnd returns an error if a body that only the end of its connection ends isn't complete:
// the connection was reset, or the server ended it without having received the request. A socket
// reports a reset once. The reader gets io.EOF if the writer of the request had it first.
func (rep *Reply) confirmEnd() error {
	dog := rep.poo.clk.StartWatchdog(endTimeout, rep.abort)
	defer dog.Stop()
	<-rep.wrote
	if rep.writeErr != nil {
		return errors.Wrap(rep.writeErr, "the response ended before the request was written")
	}
	return nil
}
