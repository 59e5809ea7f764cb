package stage

// WithSendCheck sets a check that runs right before the first byte may be sent. If
// it returns an error, nothing is sent and the call fails with FaultNotSent.
//
// It guards against a process that is paused between choosing a server and
// connecting to it: when it resumes, the deadline may have passed or the server
// may be leaving. Emptying the call's body stops it: the transport buffers the
// headers until it has written an in-memory body, finds it shorter than
// Content-Length, and closes the connection before any byte is written.
func (cal *Call) WithSendCheck(ready func() error) *Call {
	cal.sendCheck = ready
	return cal
}

// gotConn is called when the transport has a connection, right before it writes.
func (exc *exchange) gotConn(onSend func()) {
	if exc.connected || exc.checkErr != nil {
		return
	}
	if exc.cal.sendCheck != nil {
		if exc.checkErr = exc.cal.sendCheck(); exc.checkErr != nil {
			exc.bod.Reset(nil)
			return
		}
	}
	exc.connected = true
	onSend()
}
