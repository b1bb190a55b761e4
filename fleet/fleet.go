// Package fleet runs entry hosts and stand-ins together in one process, on
// loopback, for tests and measurements.
package fleet

import (
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

// readyTime bounds how long a fleet takes to start.
const readyTime = 20 * time.Second

// Layout says what a fleet is made of.
type Layout struct {
	// Domains are the failure domains; hosts and replicas are dealt out over
	// them.
	Domains []string
	// Hosts is the number of entry hosts.
	Hosts int
	// Ranks of the configuration.
	Ranks []service.Rank
	// Services by name.
	Services map[string]ServiceLayout
	// Policy of all hosts.
	Policy entry.Policy
	// BalancerLag is how long a stopping host goes on accepting.
	BalancerLag time.Duration
	// Log gets the hosts' logs; they are dropped when nil.
	Log io.Writer
}

// ServiceLayout is one service of a layout.
type ServiceLayout struct {
	Shards      int
	Replicas    int
	Slots       int
	Connections int
	Kinds       []service.Kind
	// Model of the service's backend servers; its slots are the service's when
	// not given.
	Model standin.Model
}

// Fleet is what runs.
type Fleet struct {
	Store         *standin.Store
	HostList      *standin.HostList
	Hosts         []*Host
	Servers       map[string]*standin.Server
	Configuration *service.Configuration
	StoreURL      string
	Network       *Network

	listURL   string
	peers     []string
	layout    Layout
	listeners []net.Listener
}

// Host is one entry host of a fleet.
type Host struct {
	Name     string
	Settings *setting.Settings
	// URL is the base URL for callers.
	URL string

	cancel  context.CancelFunc
	done    chan struct{}
	sockets *entry.Sockets
}

// Start runs a fleet and puts its configuration in force.
func Start(layout Layout) (*Fleet, error) {
	fleet := &Fleet{Store: &standin.Store{}, HostList: &standin.HostList{}, Servers: make(map[string]*standin.Server), Network: &Network{}, layout: layout}
	var err error
	if fleet.StoreURL, err = fleet.serve(fleet.Store.Handler()); err != nil {
		return nil, err
	}
	if fleet.listURL, err = fleet.serve(fleet.HostList.Handler()); err != nil {
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

func (fleet *Fleet) listen() (net.Listener, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err == nil {
		fleet.listeners = append(fleet.listeners, listener)
	}
	return listener, err
}

func (fleet *Fleet) serve(handler http.Handler) (string, error) {
	listener, err := fleet.listen()
	if err != nil {
		return "", err
	}
	fleet.Network.place(listener.Addr().String(), Platform)
	go (&http.Server{Handler: handler, ReadHeaderTimeout: readyTime}).Serve(listener)
	return "http://" + listener.Addr().String(), nil
}

func (fleet *Fleet) startServers() error {
	fleet.Configuration = &service.Configuration{Ranks: fleet.layout.Ranks, Services: service.ConfigurationServices{}}
	for name, layout := range fleet.layout.Services {
		snapshot := service.Snapshot{Name: "S1", Shards: layout.Shards}
		for place := range layout.Shards * layout.Replicas {
			address, err := fleet.startServer(layout, uint64(place))
			if err != nil {
				return err
			}
			domain := fleet.layout.Domains[(place/layout.Replicas+place%layout.Replicas)%len(fleet.layout.Domains)]
			fleet.Network.place(address, domain)
			snapshot.Replicas = append(snapshot.Replicas, service.Replica{Address: address, FailureDomain: domain, Shard: place / layout.Replicas})
		}
		fleet.Configuration.Services[name] = service.Spec{Slots: layout.Slots, Connections: layout.Connections, Kinds: layout.Kinds, Snapshots: []service.Snapshot{snapshot}}
	}
	return nil
}

func (fleet *Fleet) startServer(layout ServiceLayout, place uint64) (string, error) {
	listener, err := fleet.listen()
	if err != nil {
		return "", err
	}
	server := &standin.Server{Model: layout.Model, Snapshots: []string{"S1"}, Instance: fmt.Sprint(place)}
	server.Seed += place
	if server.Slots == 0 {
		server.Slots = layout.Slots
	}
	address := listener.Addr().String()
	fleet.Servers[address] = server
	go server.Serve(listener)
	return address, nil
}

func (fleet *Fleet) startHosts() error {
	var listed []store.Host
	var sockets []*entry.Sockets
	for place := range fleet.layout.Hosts {
		opened, err := openSockets()
		if err != nil {
			return err
		}
		sockets = append(sockets, opened)
		fleet.peers = append(fleet.peers, opened.Peers.Addr().String())
		listed = append(listed, store.Host{Name: fmt.Sprintf("host-%d", place+1), Role: store.RoleEntry, Address: opened.Peers.Addr().String(), FailureDomain: fleet.layout.Domains[place%len(fleet.layout.Domains)], State: store.StateLive})
	}
	fleet.HostList.Set(listed)
	for place, host := range listed {
		started, err := fleet.newHost(host, sockets[place])
		if err != nil {
			return err
		}
		fleet.Hosts = append(fleet.Hosts, started)
	}
	return nil
}

// openSockets finds a port that is free for TCP and UDP.
func openSockets() (*entry.Sockets, error) {
	const tries = 20
	callers, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	for range tries {
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
	return nil, fmt.Errorf("no port is free for TCP and UDP after %d tries", tries)
}

func (fleet *Fleet) newHost(listed store.Host, sockets *entry.Sockets) (*Host, error) {
	fleet.Network.place(listed.Address, listed.FailureDomain)
	sockets.Gossip = &cutSocket{PacketConn: sockets.Gossip, network: fleet.Network, domain: listed.FailureDomain}
	settings := &setting.Settings{
		Name:          listed.Name,
		FailureDomain: listed.FailureDomain,
		CallerAddress: sockets.Callers.Addr().String(),
		PeerAddress:   listed.Address,
		StoreURL:      fleet.StoreURL,
		HostListURL:   fleet.listURL + "/v1/hosts",
		Peers:         fleet.peers,
		MaxBodyBytes:  65536,
		Stop:          &setting.Stop{BalancerLagMillis: int(fleet.layout.BalancerLag.Milliseconds()), MaxMillis: 5000},
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
	started := &Host{Name: listed.Name, Settings: settings, URL: "http://" + settings.CallerAddress, cancel: cancel, done: make(chan struct{}), sockets: sockets}
	host := &entry.Host{Settings: settings, Logbook: log, Policy: fleet.layout.Policy, Sockets: sockets, Dial: fleet.Network.dialer(listed.FailureDomain)}
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
		return fmt.Errorf("configuration was %s: %s %v", reply.Outcome, reply.Detail, reply.Problems)
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

// Await polls until held returns true.
func (fleet *Fleet) Await(held func() bool) error {
	const interval = 10 * time.Millisecond
	deadline := time.Now().Add(readyTime)
	for time.Now().Before(deadline) {
		if held() {
			return nil
		}
		time.Sleep(interval)
	}
	return fmt.Errorf("not reached within %v", readyTime)
}

// Patch submits a patch through one host.
func (fleet *Fleet) Patch(place int, submitted patch.Patch) (patch.Reply, error) {
	var reply patch.Reply
	_, err := fleet.Hosts[place].Post("/v1/patch", submitted, &reply)
	return reply, err
}

// Close stops all hosts by plan, then the stand-ins.
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

// Restart starts a host again with its settings and addresses, after it has
// stopped or vanished.
func (fleet *Fleet) Restart(place int) error {
	old := fleet.Hosts[place]
	old.Stop()
	sockets, err := entry.OpenSockets(old.Settings)
	if err != nil {
		return err
	}
	listed := store.Host{Name: old.Name, Address: old.Settings.PeerAddress, FailureDomain: old.Settings.FailureDomain}
	started, err := fleet.newHost(listed, sockets)
	fleet.Hosts[place] = started
	return err
}
