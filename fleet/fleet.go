// Package fleet runs entry hosts and stand-ins together in one process, on
// loopback, for tests and measurements.
package fleet

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"fescuehall/entry"
	"fescuehall/logbook"
	"fescuehall/patch"
	"fescuehall/service"
	"fescuehall/setting"
	"fescuehall/standin"
	"fescuehall/store"
)

// readyTimeout is how long Await waits for its condition, such as that all
// hosts have become ready. It is also the header timeout of the platform's
// stand-ins.
const readyTimeout = 20 * time.Second

// defaultMaxStop is how long a graceful stop waits for requests in flight.
const defaultMaxStop = 5 * time.Second

// Layout describes the hosts, services and policy of a fleet.
type Layout struct {
	// Domains are the failure domains. Hosts and the replicas of a shard are
	// distributed over them in turn.
	Domains []string
	// Hosts is the number of entry hosts.
	Hosts int
	// Ranks are those of the configuration.
	Ranks []service.Rank
	// Services holds the services by name.
	Services map[string]ServiceLayout
	// Policy is the policy of all hosts.
	Policy entry.Policy
	// BalancerLag is how long a host continues to accept requests after it has
	// begun a graceful stop.
	BalancerLag time.Duration
	// MaxStop is how long a graceful stop waits for requests in flight; 5 s when 0.
	MaxStop time.Duration
	// Log receives the hosts' logs; nil discards them.
	Log io.Writer
}

// ServiceLayout describes one service of a layout.
type ServiceLayout struct {
	Shards int
	// Replicas is the number of replicas of each shard.
	Replicas    int
	Slots       int
	Connections int
	Kinds       []service.Kind
	// Model describes the service's backend servers. If its Slots is 0, the
	// Slots of this layout apply.
	Model standin.Model
}

// Fleet is a set of running hosts and stand-ins.
type Fleet struct {
	Store    *standin.Store
	HostList *standin.HostList
	Hosts    []*Host
	// Servers holds the backend servers by address.
	Servers       map[string]*standin.Server
	Configuration *service.Configuration
	StoreURL      string
	Network       *Network

	hostListURL   string
	peerAddresses []string
	layout        Layout
	listeners     []net.Listener
}

// Host is one entry host of a fleet.
type Host struct {
	Name     string
	Settings *setting.Settings
	// URL is the base URL for callers.
	URL string

	cancel context.CancelFunc
	// done is closed when the host has stopped.
	done    chan struct{}
	sockets *entry.Sockets
}

// Start starts a fleet, submits its configuration and waits until all hosts are
// ready.
func Start(layout Layout) (*Fleet, error) {
	fleet := &Fleet{Store: &standin.Store{}, HostList: &standin.HostList{}, Servers: make(map[string]*standin.Server), Network: &Network{}, layout: layout}
	var err error
	if fleet.StoreURL, err = fleet.serve(fleet.Store.Handler()); err != nil {
		return nil, err
	}
	if fleet.hostListURL, err = fleet.serve(fleet.HostList.Handler()); err != nil {
		return nil, err
	}
	if err := fleet.startServers(); err != nil {
		return nil, err
	}
	if err := fleet.startHosts(); err != nil {
		return nil, err
	}
	return fleet, fleet.configure()
}

// listen opens a listener on loopback, which Close closes.
func (fleet *Fleet) listen() (net.Listener, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err == nil {
		fleet.listeners = append(fleet.listeners, listener)
	}
	return listener, err
}

// serve serves a stand-in of the platform and returns its base URL.
func (fleet *Fleet) serve(handler http.Handler) (string, error) {
	listener, err := fleet.listen()
	if err != nil {
		return "", err
	}
	fleet.Network.setDomain(listener.Addr().String(), Platform)
	go (&http.Server{Handler: handler, ReadHeaderTimeout: readyTimeout}).Serve(listener)
	return "http://" + listener.Addr().String(), nil
}

func (fleet *Fleet) startServers() error {
	fleet.Configuration = &service.Configuration{Ranks: fleet.layout.Ranks, Services: service.ConfigurationServices{}}
	for name, layout := range fleet.layout.Services {
		snapshot := service.Snapshot{Name: "S1", Shards: layout.Shards}
		for index := range layout.Shards * layout.Replicas {
			address, err := fleet.startServer(layout, uint64(index))
			if err != nil {
				return err
			}
			domain := fleet.layout.Domains[(index/layout.Replicas+index%layout.Replicas)%len(fleet.layout.Domains)]
			fleet.Network.setDomain(address, domain)
			snapshot.Replicas = append(snapshot.Replicas, service.Replica{Address: address, FailureDomain: domain, Shard: index / layout.Replicas})
		}
		fleet.Configuration.Services[name] = service.Spec{Slots: layout.Slots, Connections: layout.Connections, Kinds: layout.Kinds, Snapshots: []service.Snapshot{snapshot}}
	}
	return nil
}

func (fleet *Fleet) startServer(layout ServiceLayout, index uint64) (string, error) {
	listener, err := fleet.listen()
	if err != nil {
		return "", err
	}
	server := &standin.Server{Model: layout.Model, Snapshots: []string{"S1"}, Instance: fmt.Sprint(index)}
	server.Seed += index
	if server.Slots == 0 {
		server.Slots = layout.Slots
	}
	address := listener.Addr().String()
	fleet.Servers[address] = server
	go server.Serve(listener)
	return address, nil
}

func (fleet *Fleet) startHosts() error {
	var records []store.Host
	var allSockets []*entry.Sockets
	for index := range fleet.layout.Hosts {
		sockets, err := openSockets()
		if err != nil {
			return err
		}
		allSockets = append(allSockets, sockets)
		fleet.peerAddresses = append(fleet.peerAddresses, sockets.Peers.Addr().String())
		records = append(records, store.Host{Name: fmt.Sprintf("host-%d", index+1), Role: store.RoleEntry, Address: sockets.Peers.Addr().String(), FailureDomain: fleet.layout.Domains[index%len(fleet.layout.Domains)], State: store.StateLive})
	}
	fleet.HostList.Set(records)
	for index, record := range records {
		started, err := fleet.newHost(record, allSockets[index])
		if err != nil {
			return err
		}
		fleet.Hosts = append(fleet.Hosts, started)
	}
	return nil
}

// openSockets opens a listener for callers, and a TCP listener and a UDP socket
// on one port for peers.
func openSockets() (*entry.Sockets, error) {
	const maxAttempts = 20
	callers, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	for range maxAttempts {
		peers, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		gossip, err := net.ListenPacket("udp", peers.Addr().String())
		if err == nil {
			return &entry.Sockets{Callers: callers, Peers: peers, Gossip: gossip}, nil
		}
		peers.Close()
	}
	return nil, fmt.Errorf("no port is free for both TCP and UDP after %d attempts", maxAttempts)
}

// newHost starts a host on open sockets.
func (fleet *Fleet) newHost(record store.Host, sockets *entry.Sockets) (*Host, error) {
	fleet.Network.setDomain(record.Address, record.FailureDomain)
	sockets.Gossip = &partitionSocket{PacketConn: sockets.Gossip, network: fleet.Network, domain: record.FailureDomain}
	settings := &setting.Settings{
		Name:          record.Name,
		FailureDomain: record.FailureDomain,
		CallerAddress: sockets.Callers.Addr().String(),
		PeerAddress:   record.Address,
		StoreURL:      fleet.StoreURL,
		HostListURL:   fleet.hostListURL + "/v1/hosts",
		Peers:         fleet.peerAddresses,
		MaxBodyBytes:  65536,
		Stop:          &setting.Stop{BalancerLagMillis: int(fleet.layout.BalancerLag.Milliseconds()), MaxMillis: int(cmp.Or(fleet.layout.MaxStop, defaultMaxStop).Milliseconds())},
	}
	out, level := fleet.layout.Log, "info"
	if out == nil {
		out, level = io.Discard, "error"
	}
	log, err := logbook.New(out, level, "text")
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	started := &Host{Name: record.Name, Settings: settings, URL: "http://" + settings.CallerAddress, cancel: cancel, done: make(chan struct{}), sockets: sockets}
	host := &entry.Host{Settings: settings, Logbook: log, Policy: fleet.layout.Policy, Sockets: sockets, Dial: fleet.Network.dialer(record.FailureDomain)}
	go func() {
		defer close(started.done)
		host.Run(ctx)
	}()
	return started, nil
}

// configure submits the configuration and waits until every host is ready.
func (fleet *Fleet) configure() error {
	merge, err := json.Marshal(fleet.Configuration)
	if err != nil {
		return err
	}
	reply, err := fleet.Patch(0, patch.Patch{PatchID: "first", Merge: merge})
	if err != nil {
		return err
	}
	if reply.Outcome != patch.Accepted {
		return fmt.Errorf("initial configuration was %s: %s %v", reply.Outcome, reply.Detail, reply.Problems)
	}
	return fleet.Await(func() bool {
		for _, host := range fleet.Hosts {
			if !host.Ready() {
				return false
			}
		}
		return true
	})
}

// Await polls until condition returns true.
func (fleet *Fleet) Await(condition func() bool) error {
	const interval = 10 * time.Millisecond
	deadline := time.Now().Add(readyTimeout)
	for time.Now().Before(deadline) {
		if condition() {
			return nil
		}
		time.Sleep(interval)
	}
	return fmt.Errorf("condition was not met within %v", readyTimeout)
}

// Patch submits a patch through the host at an index of Hosts.
func (fleet *Fleet) Patch(index int, submitted patch.Patch) (patch.Reply, error) {
	var reply patch.Reply
	_, err := fleet.Hosts[index].Post("/v1/patch", submitted, &reply)
	return reply, err
}

// Close stops all hosts with graceful stops, then the stand-ins.
func (fleet *Fleet) Close() {
	var group sync.WaitGroup
	for _, host := range fleet.Hosts {
		group.Go(host.Stop)
	}
	group.Wait()
	for _, listener := range fleet.listeners {
		listener.Close()
	}
}

// Restart starts the host at an index of Hosts again, with the same settings
// and addresses. It stops the host first if it still runs.
func (fleet *Fleet) Restart(index int) error {
	old := fleet.Hosts[index]
	old.Stop()
	sockets, err := entry.OpenSockets(old.Settings)
	if err != nil {
		return err
	}
	record := store.Host{Name: old.Name, Address: old.Settings.PeerAddress, FailureDomain: old.Settings.FailureDomain}
	started, err := fleet.newHost(record, sockets)
	fleet.Hosts[index] = started
	return err
}
