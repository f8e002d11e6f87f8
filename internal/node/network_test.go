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

// link identifies the connections from the member that dials to the one that
// listens.
type link struct{ from, to string }

// network simulates the network of a cluster. A cut link accepts data and delivers
// none, as in a partition. The connections of a dead member are closed and new
// ones refused.
type network struct {
	mu sync.Mutex
	// names holds the member, upstream or store behind each address.
	names map[string]string
	cut   map[link]bool
	dead  map[string]bool
	conns map[*linkConn]bool
}

func newNetwork() *network {
	return &network{names: map[string]string{}, cut: map[link]bool{}, dead: map[string]bool{}, conns: map[*linkConn]bool{}}
}

func (n *network) setName(address, name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.names[address] = name
}

// dialer returns the dialer of the member with the given name.
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
	w := &linkConn{Conn: x, net: n, link: l, closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.dead[l.from] || n.dead[l.to] {
		_ = x.Close()
		return nil, syscall.ECONNREFUSED
	}
	w.blackholed.Store(n.cut[l])
	n.conns[w] = true
	return w, nil
}

// setCut cuts the links between two members in both directions, or heals them.
// Healing closes the connections of the links, because data was lost on them.
func (n *network) setCut(a, b string, on bool) {
	n.setLinkCut(a, b, on)
	n.setLinkCut(b, a, on)
}

// setLinkCut cuts or heals one link.
func (n *network) setLinkCut(from, to string, on bool) {
	l := link{from, to}
	n.mu.Lock()
	n.cut[l] = on
	n.mu.Unlock()
	for _, w := range n.matching(func(w *linkConn) bool { return w.link == l && (on || w.blackholed.Load()) }) {
		w.blackholed.Store(true)
		if !on {
			_ = w.Close()
		}
	}
}

// unreachable reports whether the link is cut or one of its ends is dead.
func (n *network) unreachable(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut[link{from, to}] || n.dead[from] || n.dead[to]
}

// kill closes the connections of a member and refuses new ones from then on.
func (n *network) kill(name string) {
	n.mu.Lock()
	n.dead[name] = true
	n.mu.Unlock()
	for _, w := range n.matching(func(w *linkConn) bool { return w.link.from == name || w.link.to == name }) {
		_ = w.Close()
	}
}

// matching returns the open connections for which f returns true.
func (n *network) matching(f func(w *linkConn) bool) []*linkConn {
	n.mu.Lock()
	defer n.mu.Unlock()
	var l []*linkConn
	for w := range n.conns {
		if f(w) {
			l = append(l, w)
		}
	}
	return l
}

// linkConn is a connection over a link. While it is blackholed, it discards what is
// written and Read blocks until Close.
type linkConn struct {
	net.Conn
	net        *network
	link       link
	blackholed atomic.Bool
	once       sync.Once
	closed     chan struct{}
}

func (w *linkConn) Read(b []byte) (int, error) {
	n, err := w.Conn.Read(b)
	if w.blackholed.Load() {
		<-w.closed
		return 0, net.ErrClosed
	}
	return n, err
}

func (w *linkConn) Write(b []byte) (int, error) {
	if w.blackholed.Load() {
		return len(b), nil
	}
	return w.Conn.Write(b)
}

func (w *linkConn) Close() error {
	w.once.Do(func() {
		close(w.closed)
		w.net.mu.Lock()
		delete(w.net.conns, w)
		w.net.mu.Unlock()
	})
	return w.Conn.Close()
}

// storeName is the name of the table service on the network.
const storeName = "store"

// storeLink is the table as seen by one member, through its link to the store.
type storeLink struct {
	table.Store
	net  *network
	from string
}

// linkError returns table.ErrUnavailable while the link is cut, else nil.
func (s *storeLink) linkError() error {
	if s.net.unreachable(s.from, storeName) {
		return table.ErrUnavailable
	}
	return nil
}

func (s *storeLink) Read(c context.Context, k ...table.Key) ([]table.Row, error) {
	if err := s.linkError(); err != nil {
		return nil, err
	}
	return s.Store.Read(c, k...)
}

func (s *storeLink) Scan(c context.Context, p table.Key) ([]table.Row, error) {
	if err := s.linkError(); err != nil {
		return nil, err
	}
	return s.Store.Scan(c, p)
}

// Commit returns table.ErrAmbiguous if the link is cut during the commit.
func (s *storeLink) Commit(c context.Context, t table.Txn) error {
	if err := s.linkError(); err != nil {
		return err
	}
	err := s.Store.Commit(c, t)
	if s.linkError() != nil {
		return errors.Mark(errors.New("link was cut"), table.ErrAmbiguous)
	}
	return err
}
