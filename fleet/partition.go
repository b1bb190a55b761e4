package fleet

import (
	"errors"
	"net"
	"sync"
	"time"
)

// Platform is the failure domain of the store and the host list.
const Platform = "Platform"

var errReset = errors.New("connection was reset after a network partition")

// Network simulates network partitions between failure domains. A partition
// refuses and resets nothing: bytes and datagrams are dropped, and dialing
// times out.
type Network struct {
	mu sync.Mutex
	// domains holds the failure domain of each address.
	domains map[string]string
	// dropped holds the pairs of sending and receiving domain whose traffic is
	// dropped.
	dropped map[[2]string]bool
}

// setDomain records the failure domain of an address.
func (network *Network) setDomain(address, domain string) {
	network.mu.Lock()
	defer network.mu.Unlock()
	if network.domains == nil {
		network.domains = make(map[string]string)
		network.dropped = make(map[[2]string]bool)
	}
	network.domains[address] = domain
}

// Partition drops what one domain sends to another; the other direction still
// works.
func (network *Network) Partition(from, to string) {
	network.mu.Lock()
	defer network.mu.Unlock()
	network.dropped[[2]string{from, to}] = true
}

// Isolate drops all traffic between a domain and all others, the platform's
// included, in both directions.
func (network *Network) Isolate(domain string) {
	network.mu.Lock()
	defer network.mu.Unlock()
	for _, other := range network.domains {
		if other != domain {
			network.dropped[[2]string{domain, other}] = true
			network.dropped[[2]string{other, domain}] = true
		}
	}
}

// Heal ends all partitions.
func (network *Network) Heal() {
	network.mu.Lock()
	defer network.mu.Unlock()
	clear(network.dropped)
}

// partitioned reports whether traffic from a domain to an address (outbound)
// and from the address to the domain (inbound) is dropped.
func (network *Network) partitioned(domain, address string) (outbound, inbound bool) {
	network.mu.Lock()
	defer network.mu.Unlock()
	remoteDomain := network.domains[address]
	return network.dropped[[2]string{domain, remoteDomain}], network.dropped[[2]string{remoteDomain, domain}]
}

// dialer returns the dial function of the hosts in a domain. Dialing a
// partitioned address times out.
func (network *Network) dialer(domain string) func(string, string, time.Duration) (net.Conn, error) {
	return func(protocol, address string, timeout time.Duration) (net.Conn, error) {
		if outbound, inbound := network.partitioned(domain, address); outbound || inbound {
			time.Sleep(timeout)
			return nil, errors.New("dial timed out during a network partition")
		}
		conn, err := net.DialTimeout(protocol, address, timeout)
		if err != nil {
			return nil, err
		}
		return &partitionConn{Conn: conn, network: network, domain: domain, address: address, closed: make(chan struct{})}, nil
	}
}

// partitionConn is a connection that drops bytes during a partition. If it has
// dropped any, it fails with errReset once the partition has healed.
type partitionConn struct {
	net.Conn
	network   *Network
	domain    string
	address   string
	closeOnce sync.Once
	closed    chan struct{}

	mu     sync.Mutex
	broken bool
}

// checkBroken marks the connection as broken if a direction, which the function
// selects, is partitioned. It reports whether the connection is broken.
func (conn *partitionConn) checkBroken(selectDirection func(outbound, inbound bool) bool) bool {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	if selectDirection(conn.network.partitioned(conn.domain, conn.address)) {
		conn.broken = true
	}
	return conn.broken
}

// Read implements net.Conn.
func (conn *partitionConn) Read(buf []byte) (int, error) {
	count, err := conn.Conn.Read(buf)
	if !conn.checkBroken(func(_, inbound bool) bool { return inbound }) {
		return count, err
	}
	const pollInterval = 10 * time.Millisecond
	for {
		if outbound, inbound := conn.network.partitioned(conn.domain, conn.address); !outbound && !inbound {
			return 0, errReset
		}
		select {
		case <-conn.closed:
			return 0, net.ErrClosed
		case <-time.After(pollInterval):
		}
	}
}

// Write implements net.Conn.
func (conn *partitionConn) Write(buf []byte) (int, error) {
	if !conn.checkBroken(func(outbound, _ bool) bool { return outbound }) {
		return conn.Conn.Write(buf)
	}
	if outbound, inbound := conn.network.partitioned(conn.domain, conn.address); !outbound && !inbound {
		return 0, errReset
	}
	return len(buf), nil
}

// Close implements net.Conn.
func (conn *partitionConn) Close() error {
	conn.closeOnce.Do(func() { close(conn.closed) })
	return conn.Conn.Close()
}

// partitionSocket drops the datagrams that it sends to a partitioned address.
type partitionSocket struct {
	net.PacketConn
	network *Network
	domain  string
}

// WriteTo implements net.PacketConn.
func (socket *partitionSocket) WriteTo(buf []byte, address net.Addr) (int, error) {
	if outbound, _ := socket.network.partitioned(socket.domain, address.String()); outbound {
		return len(buf), nil
	}
	return socket.PacketConn.WriteTo(buf, address)
}
