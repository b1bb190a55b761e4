package fleet

import (
	"errors"
	"net"
	"sync"
	"time"
)

// Platform is the failure domain of the store and the host list in cuts.
const Platform = "Platform"

var errReset = errors.New("connection was reset after a cut")

// Network cuts failure domains off from each other. Nothing is refused during
// a cut: bytes and datagrams vanish.
type Network struct {
	mu      sync.Mutex
	domains map[string]string
	cut     map[[2]string]bool
}

// place records the failure domain of an address.
func (network *Network) place(address, domain string) {
	network.mu.Lock()
	defer network.mu.Unlock()
	if network.domains == nil {
		network.domains = make(map[string]string)
		network.cut = make(map[[2]string]bool)
	}
	network.domains[address] = domain
}

// Cut loses what one domain sends to another.
func (network *Network) Cut(from, to string) {
	network.mu.Lock()
	defer network.mu.Unlock()
	network.cut[[2]string{from, to}] = true
}

// Isolate cuts a domain off from all others and the platform, both ways.
func (network *Network) Isolate(domain string) {
	network.mu.Lock()
	defer network.mu.Unlock()
	for _, other := range network.domains {
		if other != domain {
			network.cut[[2]string{domain, other}] = true
			network.cut[[2]string{other, domain}] = true
		}
	}
}

// Heal ends all cuts.
func (network *Network) Heal() {
	network.mu.Lock()
	defer network.mu.Unlock()
	clear(network.cut)
}

// lost reports whether something on the way between a domain and an address
// is lost in one of the two directions.
func (network *Network) lost(domain, address string) (there, back bool) {
	network.mu.Lock()
	defer network.mu.Unlock()
	other := network.domains[address]
	return network.cut[[2]string{domain, other}], network.cut[[2]string{other, domain}]
}

// dialer returns the dial function of hosts in a domain.
func (network *Network) dialer(domain string) func(string, string, time.Duration) (net.Conn, error) {
	return func(kind, address string, timeout time.Duration) (net.Conn, error) {
		if there, back := network.lost(domain, address); there || back {
			time.Sleep(timeout)
			return nil, errors.New("dial timed out in a cut")
		}
		conn, err := net.DialTimeout(kind, address, timeout)
		if err != nil {
			return nil, err
		}
		return &cutConn{Conn: conn, network: network, domain: domain, address: address, closed: make(chan struct{})}, nil
	}
}

// cutConn is a connection that loses bytes during a cut and is reset when the
// cut has healed.
type cutConn struct {
	net.Conn
	network *Network
	domain  string
	address string
	once    sync.Once
	closed  chan struct{}

	mu     sync.Mutex
	broken bool
}

func (conn *cutConn) lose(direction func(there, back bool) bool) bool {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	if direction(conn.network.lost(conn.domain, conn.address)) {
		conn.broken = true
	}
	return conn.broken
}

// Read implements net.Conn.
func (conn *cutConn) Read(buf []byte) (int, error) {
	count, err := conn.Conn.Read(buf)
	if !conn.lose(func(_, back bool) bool { return back }) {
		return count, err
	}
	const poll = 10 * time.Millisecond
	for {
		if there, back := conn.network.lost(conn.domain, conn.address); !there && !back {
			return 0, errReset
		}
		select {
		case <-conn.closed:
			return 0, net.ErrClosed
		case <-time.After(poll):
		}
	}
}

// Write implements net.Conn.
func (conn *cutConn) Write(buf []byte) (int, error) {
	if !conn.lose(func(there, _ bool) bool { return there }) {
		return conn.Conn.Write(buf)
	}
	if there, back := conn.network.lost(conn.domain, conn.address); !there && !back {
		return 0, errReset
	}
	return len(buf), nil
}

// Close implements net.Conn.
func (conn *cutConn) Close() error {
	conn.once.Do(func() { close(conn.closed) })
	return conn.Conn.Close()
}

// cutSocket loses datagrams during a cut.
type cutSocket struct {
	net.PacketConn
	network *Network
	domain  string
}

// WriteTo implements net.PacketConn.
func (socket *cutSocket) WriteTo(buf []byte, to net.Addr) (int, error) {
	if there, _ := socket.network.lost(socket.domain, to.String()); there {
		return len(buf), nil
	}
	return socket.PacketConn.WriteTo(buf, to)
}
