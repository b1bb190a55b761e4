// Package entry runs one entry host. It connects the serving of callers'
// requests, the replicas that the host fronts, membership and the active
// configuration. Among the entry hosts, one fronts each replica: the others
// send their sub-requests for that replica to it, so that it can enforce the
// limits of the backend server.
package entry

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"fescuehall/caller"
	"fescuehall/claim"
	"fescuehall/front"
	"fescuehall/link"
	"fescuehall/logbook"
	"fescuehall/member"
	"fescuehall/message"
	"fescuehall/metric"
	"fescuehall/patch"
	"fescuehall/query"
	"fescuehall/relay"
	"fescuehall/replica"
	"fescuehall/service"
	"fescuehall/setting"
	"fescuehall/shutdown"
	"fescuehall/store"
)

// Host is one entry host. Set the exported fields before Run.
type Host struct {
	Settings *setting.Settings
	Logbook  *logbook.Logbook
	// Policy disables single features, to measure their effect.
	Policy Policy
	// Sockets, if not nil, are used instead of listening on the addresses in the
	// settings.
	Sockets *Sockets
	// Dial opens all connections; net.DialTimeout when nil.
	Dial func(network, address string, timeout time.Duration) (net.Conn, error)

	platform    *http.Client
	store       *store.Client
	current     *relay.Current
	loader      *relay.Loader
	detector    *member.Detector
	gossip      *member.Runner
	front       *front.Front
	coordinator *query.Coordinator
	submitter   *patch.Submitter
	marks       *replica.Marks
	metrics     *metric.Host

	cachedPlacement atomic.Pointer[placement]
	// peerClients maps the address of a peer to its *link.Client.
	peerClients sync.Map
	// listedStates maps the address of a backend server to its last state in the
	// host list.
	listedStates sync.Map
	// fetching is set while the configuration is fetched from a peer.
	fetching atomic.Bool
	// synced is set when peers have had time to report their configuration
	// version.
	synced   atomic.Bool
	stopping atomic.Bool
	// shutdown tells the other parts how far a graceful stop has got.
	shutdown *shutdown.Stop
	// peerRequests counts the sub-requests from peers that are being served.
	peerRequests atomic.Int64
	log          func(format string, args ...any)
}

// Policy disables features of query handling, so that experiments can measure
// their effect. The zero value is for production.
type Policy struct {
	// CallBackendsDirectly calls backend servers from every host, instead of
	// through the host that fronts the replica.
	CallBackendsDirectly bool
	// NoHedge disables hedged attempts.
	NoHedge bool
	// NoLimits disables the limit of concurrent queries.
	NoLimits bool
	// OneRank serves all ranks with the same priority.
	OneRank bool
	// NoBudget disables the budget of retries and hedges.
	NoBudget bool
	// Strategy replaces the picker's choice of a replica by Random, RoundRobin or
	// LeastOutstanding, if not empty.
	Strategy string
}

// Run serves callers and peers until ctx ends, and then shuts down gracefully.
func (host *Host) Run(ctx context.Context) error {
	host.build()
	sockets := host.Sockets
	if sockets == nil {
		opened, err := OpenSockets(host.Settings)
		if err != nil {
			return err
		}
		sockets = opened
	}
	backgroundCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	host.gossip.Socket = sockets.Gossip
	peerServer := &link.Server{Handle: host.handlePeerFrame, ConnFailed: func(peer string, err error) {
		host.log("Closed the connection from peer %s: %v.", peer, err)
	}}
	callerServer := &caller.Server{
		Limiter: &caller.Limiter{Unanswered: func(request caller.Unanswered) {
			host.log("Closed the connection of %s without an answer to its request, %v after it was read.", request.Remote, request.Age.Round(time.Millisecond))
		}},
		HTTP: &http.Server{Handler: host.routes(), ReadHeaderTimeout: headerTimeout, ReadTimeout: readTimeout, IdleTimeout: idleTimeout},
	}
	serveErrors := make(chan error, 2)
	go func() { serveErrors <- peerServer.Run(sockets.Peers) }()
	go func() { serveErrors <- callerServer.Serve(sockets.Callers) }()
	go host.gossip.Run(backgroundCtx)
	go host.pollHostList(backgroundCtx)
	go host.front.PollHealth(backgroundCtx, host.fronted)
	go host.newWatcher().Run(backgroundCtx)
	go host.joinPeers(backgroundCtx)
	host.log("Host %s serves callers at %s and peers at %s in failure domain %s.", host.Settings.Name, host.Settings.CallerAddress, host.Settings.PeerAddress, host.Settings.FailureDomain)
	select {
	case err := <-serveErrors:
		if !errors.Is(err, http.ErrServerClosed) {
			return err
		}
	case <-ctx.Done():
	}
	host.stop(callerServer, peerServer)
	sockets.close()
	return nil
}

const (
	headerTimeout = 5 * time.Second
	readTimeout   = 10 * time.Second
	idleTimeout   = 2 * time.Minute
	// maxIdlePlatformConns limits the idle connections to each of the store and
	// the host list.
	maxIdlePlatformConns = 16
	platformDialTimeout  = time.Second
)

// Sockets are the listeners of a host: for callers' HTTP requests, for peers'
// TCP connections and for gossip datagrams.
type Sockets struct {
	Callers net.Listener
	Peers   net.Listener
	Gossip  net.PacketConn
}

func (sockets *Sockets) close() {
	sockets.Callers.Close()
	sockets.Peers.Close()
	sockets.Gossip.Close()
}

// OpenSockets listens on the addresses in the settings.
func OpenSockets(settings *setting.Settings) (*Sockets, error) {
	sockets := &Sockets{}
	var err error
	if sockets.Callers, err = net.Listen("tcp", settings.CallerAddress); err != nil {
		return nil, fmt.Errorf("setting CallerAddress: %w", err)
	}
	if sockets.Peers, err = net.Listen("tcp", settings.PeerAddress); err != nil {
		return nil, fmt.Errorf("setting PeerAddress: %w", err)
	}
	if sockets.Gossip, err = net.ListenPacket("udp", settings.PeerAddress); err != nil {
		return nil, fmt.Errorf("setting PeerAddress: %w", err)
	}
	return sockets, nil
}

func (host *Host) build() {
	host.log = host.Logbook.PartLogger("entry")
	host.metrics = metric.New()
	if host.Dial == nil {
		host.Dial = net.DialTimeout
	}
	host.platform = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdlePlatformConns, DialContext: host.dialPlatform}}
	host.store = &store.Client{BaseURL: host.Settings.StoreURL, HTTP: host.platform}
	host.shutdown = shutdown.New()
	host.marks = &replica.Marks{Now: time.Now, Changed: host.markChanged}
	host.current = &relay.Current{Advanced: host.configurationChanged}
	host.loader = &relay.Loader{Get: host.store.Get, Current: host.current}
	host.submitter = &patch.Submitter{
		Store: patch.Store{Get: host.store.Get, Put: host.store.Put},
		Load:  host.loader.Load,
		Now:   time.Now,
		Pause: sleep,
	}
	host.buildMembership()
	host.buildQueryPath()
}

func (host *Host) buildMembership() {
	log := host.Logbook.PartLogger("member")
	host.detector = &member.Detector{
		Self: message.MemberUpdate{
			Name:          host.Settings.Name,
			Address:       host.Settings.PeerAddress,
			FailureDomain: host.Settings.FailureDomain,
			Incarnation:   uint64(time.Now().UnixMicro()),
		},
		Random:        rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		ConfigVersion: func() uint64 { return host.current.View().Version },
		Marks:         host.marks.All,
		Changed: func(update message.MemberUpdate) {
			log("Host %s in %s is %s.", update.Name, update.FailureDomain, member.StateName(update.State))
		},
	}
	host.gossip = &member.Runner{Detector: host.detector, Received: host.receiveGossip}
}

func (host *Host) buildQueryPath() {
	host.front = &front.Front{
		View:  host.current.View,
		Marks: host.marks,
		Now:   time.Now,
		Stop:  host.shutdown,
		Log:   host.Logbook.PartLogger("front"),
		Dial:  host.Dial,
	}
	claimer := &claim.Claimer{Host: host.Settings.Name, Nonce: newNonce, Get: host.store.Get, Put: host.store.Put}
	host.coordinator = &query.Coordinator{
		Host:             host.Settings.Name,
		View:             host.current.View,
		Send:             host.send,
		Claim:            claimer.Claim,
		Picker:           replica.New(),
		Marks:            host.marks,
		MissingSnapshots: &replica.MissingSnapshots{Now: time.Now},
		Now:              time.Now,
		After:            time.After,
		Stop:             host.shutdown,
		Hedge:            !host.Policy.NoHedge,
		NoLimits:         host.Policy.NoLimits,
		OneRank:          host.Policy.OneRank,
		NoBudget:         host.Policy.NoBudget,
		Log:              host.Logbook.PartLogger("query"),
		Observe:          host.metrics.Observe,
	}
	host.coordinator.Pick = host.coordinator.Picker.Strategy(host.Policy.Strategy)
}

func (host *Host) newWatcher() *relay.Watcher {
	return &relay.Watcher{Loader: host.loader, Watch: host.store.Watch, ShouldWatch: host.isWatcher, Log: host.Logbook.PartLogger("relay")}
}

// configurationChanged logs a newly active configuration and notifies peers of
// its version.
func (host *Host) configurationChanged(view *service.View, source string) {
	host.log("Configuration version %d is active, from %s.", view.Version, source)
	host.metrics.Version.Set(int64(view.Version))
	host.gossip.Send(host.detector.Notify())
}

// markChanged logs that a backend server is leaving or accepts requests again,
// and sends the mark to peers.
func (host *Host) markChanged(mark message.Mark) {
	if mark.Cleared {
		host.log("Backend server %s accepts requests again, according to %s.", mark.Replica, mark.Source)
	} else {
		host.log("Backend server %s is leaving, according to %s.", mark.Replica, mark.Source)
	}
	host.detector.GossipMark(mark)
	host.gossip.Send(host.detector.Notify())
}

func (host *Host) dialPlatform(_ context.Context, network, address string) (net.Conn, error) {
	return host.Dial(network, address, platformDialTimeout)
}

func newNonce() string {
	return fmt.Sprintf("%016x%016x", rand.Uint64(), rand.Uint64())
}

// sleep sleeps until the duration has elapsed or ctx ends.
func sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
