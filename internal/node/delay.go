package node

import (
	"context"
	"net"
	"time"

	"dandelionrock.example/dandelionrock/internal/ring"
)

// delayed is a connection whose data arrives after a fixed time in each
// direction, for experiments with distant regions on one machine.
type delayed struct {
	net.Conn
	delay time.Duration
	out   *ring.Ring[chunk]
	in    *ring.Ring[chunk]
	// rest is what Read has not returned yet of a chunk.
	rest []byte
}

// chunk is data, or the error that ends it, that may pass at a time.
type chunk struct {
	data []byte
	at   time.Time
	err  error
}

// delayedChunks bounds the chunks on their way in one direction.
const delayedChunks = 4096

// newDelayed returns c with the one-way delay d, or c itself if d is 0.
func newDelayed(c net.Conn, d time.Duration) net.Conn {
	if d <= 0 {
		return c
	}
	x := &delayed{Conn: c, delay: d, out: ring.New[chunk](delayedChunks), in: ring.New[chunk](delayedChunks)}
	go x.send()
	go x.receive()
	return x
}

// Write returns at once; a failure is reported by a later Read or Write.
func (x *delayed) Write(b []byte) (int, error) {
	err := x.out.Put(context.Background(), chunk{data: append([]byte(nil), b...), at: time.Now().Add(x.delay)})
	if err != nil {
		return 0, net.ErrClosed
	}
	return len(b), nil
}

// Read returns data that arrived at least the delay ago.
func (x *delayed) Read(b []byte) (int, error) {
	if len(x.rest) == 0 {
		k, err := x.in.Take(context.Background())
		if err != nil {
			return 0, net.ErrClosed
		}
		time.Sleep(time.Until(k.at))
		if k.err != nil {
			return 0, k.err
		}
		x.rest = k.data
	}
	n := copy(b, x.rest)
	x.rest = x.rest[n:]
	return n, nil
}

// Close closes the connection and ends its goroutines.
func (x *delayed) Close() error {
	x.out.Close()
	x.in.Close()
	return x.Conn.Close()
}

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
