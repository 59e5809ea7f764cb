package conns

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/semaphore"

	"lovagestream/core/call"
)

const (
	// blockSize is the size of the blocks of buffered bodies, in bytes. Most responses fit
	// into one.
	blockSize = 16 << 10
	// maxBuffered bounds what all buffered bodies hold beyond their first blocks, in bytes:
	// an eighth of the memory of a small instance.
	maxBuffered = 32 << 20
	// maxDiscarded and discardTimeout bound the reading of a body that isn't used. Beyond
	// them a new connection costs less.
	maxDiscarded   = 16 << 10
	discardTimeout = 250 * time.Millisecond
)

// MemoryError is the error of a response for which there is no memory. It says nothing about
// the server.
type MemoryError struct {
	// Address is the server's, Bytes the size of what was read of the body.
	Address string
	Bytes   int64
}

// Error names the server and the size.
func (err *MemoryError) Error() string {
	return fmt.Sprintf("no memory for more than %d bytes of the response of %s", err.Bytes, err.Address)
}

// Memory bounds what all buffers of one kind hold together at an instance. It is safe for
// concurrent use.
type Memory struct {
	left   *semaphore.Weighted
	blocks sync.Pool
}

// NewMemory returns a memory of a number of bytes.
func NewMemory(most int64) *Memory {
	return &Memory{left: semaphore.NewWeighted(most), blocks: sync.Pool{New: func() any { return new([blockSize]byte) }}}
}

// Reserve reserves a number of bytes. It returns false if fewer are left.
func (mem *Memory) Reserve(num int64) bool { return mem.left.TryAcquire(num) }

// Release releases a number of reserved bytes.
func (mem *Memory) Release(num int64) { mem.left.Release(num) }

// Memory returns the memory that the responses of the pool's requests share.
func (poo *Pool) Memory() *Memory { return poo.mem }

// Body is a buffered body.
type Body struct {
	mem    *Memory
	blocks []*[blockSize]byte
	size   int64
}

// Buffer reads the rest of the body, of at most a number of bytes. The error is a
// *call.BoundError if there are more, a *MemoryError if there is no memory for them, or that
// of reading. The body must be released if there is no error.
func (rep *Reply) Buffer(most int64) (*Body, error) {
	if rep.Length > most {
		return nil, rep.poo.CountBound(&call.BoundError{Part: partBody, Bytes: most})
	}
	bod := &Body{mem: rep.poo.mem}
	err := bod.readFrom(rep, most)
	if err == nil {
		return bod, nil
	}
	bod.Release()
	var mem *MemoryError
	if errors.As(err, &mem) {
		mem.Address = rep.server.Address
	}
	return nil, rep.poo.CountBound(err)
}

func (bod *Body) readFrom(rdr io.Reader, most int64) error {
	for {
		at := int(bod.size % blockSize)
		if at == 0 && !bod.grow() {
			return &MemoryError{Bytes: bod.size}
		}
		num, err := rdr.Read(bod.blocks[len(bod.blocks)-1][at:])
		bod.size += int64(num)
		switch {
		case bod.size > most:
			return &call.BoundError{Part: partBody, Bytes: most}
		case errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF):
			return nil
		case err != nil:
			return err
		}
	}
}

// grow adds a block, unless the last one has space or there is no memory.
func (bod *Body) grow() bool {
	if int64(len(bod.blocks))*blockSize > bod.size {
		return true
	}
	if len(bod.blocks) > 0 && !bod.mem.Reserve(blockSize) {
		return false
	}
	bod.blocks = append(bod.blocks, bod.mem.blocks.Get().(*[blockSize]byte))
	return true
}

// Size returns the body's size in bytes.
func (bod *Body) Size() int64 { return bod.size }

// WriteTo writes the body.
func (bod *Body) WriteTo(wri io.Writer) (int64, error) {
	total := int64(0)
	for _, blk := range bod.blocks {
		num, err := wri.Write(blk[:min(blockSize, bod.size-total)])
		total += int64(num)
		if err != nil {
			return total, err
		}
	}
	return total, nil
}

// Bytes returns the body. It is valid until the body is released.
func (bod *Body) Bytes() []byte {
	if len(bod.blocks) == 1 {
		return bod.blocks[0][:bod.size]
	}
	out := make([]byte, 0, bod.size)
	for _, blk := range bod.blocks {
		out = append(out, blk[:min(blockSize, bod.size-int64(len(out)))]...)
	}
	return out
}

// Release returns the body's memory.
func (bod *Body) Release() {
	for num, blk := range bod.blocks {
		bod.mem.blocks.Put(blk)
		if num > 0 {
			bod.mem.Release(blockSize)
		}
	}
	bod.blocks, bod.size = nil, 0
}

// Discard ends a response whose body isn't used. It returns at once: what is left of the body
// is read in the background, within bounds, so that the connection can be used again.
func (rep *Reply) Discard() {
	if rep.remote == nil && (rep.single || rep.ResponseHead.Closing || rep.Length > maxDiscarded) {
		rep.Close()
		return
	}
	if rep.remote == nil && rep.Length >= 0 && int64(rep.con.rdr.Buffered()) >= rep.Length {
		_, _ = io.Copy(io.Discard, rep)
		rep.Close()
		return
	}
	rep.discarded = true
	if rep.remote == nil && !rep.stopCloser() {
		rep.poo.discard(rep.con)
		return
	}
	rep.poo.grp.Go(func(context.Context) error {
		dog := rep.poo.clk.StartWatchdog(discardTimeout, rep.abort)
		_, _ = io.CopyN(io.Discard, rep, maxDiscarded)
		dog.Stop()
		rep.end()
		return nil
	})
}
