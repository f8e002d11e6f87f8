package node

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"syscall"

	"github.com/cockroachdb/errors"

	"dandelionrock.example/dandelionrock/table"
)

// link is a direction from the one that dials to the one that listens.
type link struct{ from, to string }

// network carries the connections of a cluster. A cut link takes bytes and
// delivers none, as a partition does; a dead member's connections are reset.
type network struct {
	mu sync.Mutex
	// names are those of the addresses.
	names map[string]string
	cut   map[link]bool
	dead  map[string]bool
	wires map[*wire]bool
}

func newNetwork() *network {
	return &network{names: map[string]string{}, cut: map[link]bool{}, dead: map[string]bool{}, wires: map[*wire]bool{}}
}

func (n *network) name(address, name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.names[address] = name
}

// dialer returns the dialer of one member.
func (n *network) dialer(from string) func(c context.Context, address string) (net.Conn, error) {
	return func(c context.Context, address string) (net.Conn, error) {
		n.mu.Lock()
		l := link{from, n.names[address]}
		cut, dead := n.cut[l], n.dead[l.from] || n.dead[l.to]
		n.mu.Unlock()
		if dead {
			return nil, syscall.ECONNREFUSED
		}
		if cut {
			<-c.Done()
			return nil, c.Err()
		}
		var d net.Dialer
		x, err := d.DialContext(c, "tcp", address)
		if err != nil {
			return nil, err
		}
		return n.add(x, l)
	}
}

func (n *network) add(x net.Conn, l link) (net.Conn, error) {
	w := &wire{Conn: x, net: n, link: l, closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.dead[l.from] || n.dead[l.to] {
		_ = x.Close()
		return nil, syscall.ECONNREFUSED
	}
	w.dark.Store(n.cut[l])
	n.wires[w] = true
	return w, nil
}

// sever cuts the links between two members in both directions, or heals them.
// The connections of a healed link break, because bytes are missing.
func (n *network) sever(a, b string, on bool) {
	n.oneWay(a, b, on)
	n.oneWay(b, a, on)
}

func (n *network) oneWay(from, to string, on bool) {
	l := link{from, to}
	n.mu.Lock()
	n.cut[l] = on
	n.mu.Unlock()
	for _, w := range n.matching(func(w *wire) bool { return w.link == l && (on || w.dark.Load()) }) {
		w.dark.Store(true)
		if !on {
			_ = w.Close()
		}
	}
}

func (n *network) severed(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut[link{from, to}] || n.dead[from] || n.dead[to]
}

// kill resets the connections of a member for good.
func (n *network) kill(name string) {
	n.mu.Lock()
	n.dead[name] = true
	n.mu.Unlock()
	for _, w := range n.matching(func(w *wire) bool { return w.link.from == name || w.link.to == name }) {
		_ = w.Close()
	}
}

func (n *network) matching(f func(w *wire) bool) []*wire {
	n.mu.Lock()
	defer n.mu.Unlock()
	var l []*wire
	for w := range n.wires {
		if f(w) {
			l = append(l, w)
		}
	}
	return l
}

// wire is a connection over a link.
type wire struct {
	net.Conn
	net    *network
	link   link
	dark   atomic.Bool
	once   sync.Once
	closed chan struct{}
}

func (w *wire) Read(b []byte) (int, error) {
	n, err := w.Conn.Read(b)
	if w.dark.Load() {
		<-w.closed
		return 0, net.ErrClosed
	}
	return n, err
}

func (w *wire) Write(b []byte) (int, error) {
	if w.dark.Load() {
		return len(b), nil
	}
	return w.Conn.Write(b)
}

func (w *wire) Close() error {
	w.once.Do(func() {
		close(w.closed)
		w.net.mu.Lock()
		delete(w.net.wires, w)
		w.net.mu.Unlock()
	})
	return w.Conn.Close()
}

// storeName is the table service as the end of a link.
const storeName = "store"

// storeLink is the table as one member reaches it.
type storeLink struct {
	table.Store
	net  *network
	from string
}

// err returns an error while the link is cut.
func (s *storeLink) err() error {
	if s.net.severed(s.from, storeName) {
		return table.ErrUnavailable
	}
	return nil
}

func (s *storeLink) Read(c context.Context, k ...table.Key) ([]table.Row, error) {
	if err := s.err(); err != nil {
		return nil, err
	}
	return s.Store.Read(c, k...)
}

func (s *storeLink) Scan(c context.Context, p table.Key) ([]table.Row, error) {
	if err := s.err(); err != nil {
		return nil, err
	}
	return s.Store.Scan(c, p)
}

// Commit loses the answer if the link is cut meanwhile.
func (s *storeLink) Commit(c context.Context, t table.Txn) error {
	if err := s.err(); err != nil {
		return err
	}
	err := s.Store.Commit(c, t)
	if s.err() != nil {
		return errors.Mark(errors.New("link was cut"), table.ErrAmbiguous)
	}
	return err
}
