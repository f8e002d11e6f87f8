package node

import (
	"context"
	"net"
	"time"

	"dandelionrock.example/dandelionrock/internal/ring"
)

// delayed is a connection that delays data by a fixed time in each direction. It
// simulates distant regions on one machine.
type delayed struct {
	net.Conn
	delay time.Duration
	out   *ring.Ring[chunk]
	in    *ring.Ring[chunk]
	// unread is the part of the current chunk that Read hasn't returned yet.
	unread []byte
}

// chunk is data, or the error that ends the stream, to be delivered at a time.
type chunk struct {
	data []byte
	at   time.Time
	err  error
}

// maxDelayedChunks bounds the chunks buffered in each direction.
const maxDelayedChunks = 4096

// newDelayed returns c with the one-way delay d, or c itself if d is not positive.
func newDelayed(c net.Conn, d time.Duration) net.Conn {
	if d <= 0 {
		return c
	}
	x := &delayed{Conn: c, delay: d, out: ring.New[chunk](maxDelayedChunks), in: ring.New[chunk](maxDelayedChunks)}
	go x.send()
	go x.receive()
	return x
}

// Write buffers b and returns before it is sent. A later Read or Write reports
// the failure of a send as net.ErrClosed.
func (x *delayed) Write(b []byte) (int, error) {
	err := x.out.Put(context.Background(), chunk{data: append([]byte(nil), b...), at: time.Now().Add(x.delay)})
	if err != nil {
		return 0, net.ErrClosed
	}
	return len(b), nil
}

// Read returns data that was received at least the delay ago.
func (x *delayed) Read(b []byte) (int, error) {
	if len(x.unread) == 0 {
		k, err := x.in.Take(context.Background())
		if err != nil {
			return 0, net.ErrClosed
		}
		time.Sleep(time.Until(k.at))
		if k.err != nil {
			return 0, k.err
		}
		x.unread = k.data
	}
	n := copy(b, x.unread)
	x.unread = x.unread[n:]
	return n, nil
}

// Close closes the connection and ends its goroutines.
func (x *delayed) Close() error {
	x.out.Close()
	x.in.Close()
	return x.Conn.Close()
}

// send writes buffered chunks to the connection when their delay has passed.
func (x *delayed) send() {
	for {
		k, err := x.out.Take(context.Background())
		if err != nil {
			return
		}
		time.Sleep(time.Until(k.at))
		if _, err := x.Conn.Write(k.data); err != nil {
			_ = x.Close()
			return
		}
	}
}

// receive reads from the connection into the buffer for Read.
func (x *delayed) receive() {
	for {
		b := make([]byte, 32<<10)
		n, err := x.Conn.Read(b)
		k := chunk{data: b[:n], at: time.Now().Add(x.delay)}
		if n > 0 && x.in.Put(context.Background(), k) != nil {
			return
		}
		if err != nil {
			_ = x.in.Put(context.Background(), chunk{at: k.at, err: err})
			return
		}
	}
}
