// Package entry joins the parts of one entry host: callers' requests, fronted
// replicas, membership and the configuration in force.
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
	"fescuehall/store"
)

// Host is one entry host. Set the exported fields before Run.
type Host struct {
	Settings *setting.Settings
	Logbook  *logbook.Logbook
	// Policy switches decisions off, to measure them.
	Policy Policy
	// Sockets are used instead of opening those in the settings, when not nil.
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

	placed   atomic.Pointer[placement]
	peers    sync.Map
	listed   sync.Map
	fetching atomic.Bool
	synced   atomic.Bool
	stopping atomic.Bool
	// handling counts the sub-requests of peers that are being served.
	handling atomic.Int64
	log      func(format string, args ...any)
}

// Policy switches decisions off. The zero value is what operators run.
type Policy struct {
	// Direct calls backend servers from every host instead of through the one
	// that fronts the replica.
	Direct bool
	// NoHedge sends no hedges.
	NoHedge bool
	// NoLimits admits every query.
	NoLimits bool
	// OneRank serves all ranks alike.
	OneRank bool
	// NoBudget lets every retry and hedge through.
	NoBudget bool
	// Choice is Random, RoundRobin or LeastOutstanding instead of the picker's.
	Choice string
}

// Run serves until ctx ends, then stops by plan.
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
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	host.gossip.Socket = sockets.Gossip
	links := &link.Server{Handle: host.handle, Broken: func(peer string, err error) {
		host.log("Close connection of peer %s: %v.", peer, err)
	}}
	callers := &http.Server{Handler: host.routes(), ReadHeaderTimeout: headerTimeout, ReadTimeout: bodyTimeout, IdleTimeout: idleTimeout}
	failed := make(chan error, 2)
	go func() { failed <- links.Run(sockets.Peers) }()
	go func() { failed <- callers.Serve(sockets.Callers) }()
	go host.gossip.Run(background)
	go host.followHosts(background)
	go host.front.Poll(background, host.fronted)
	go host.watcher().Run(background)
	go host.sync(background)
	host.log("Host %s serves callers at %s and peers at %s in failure domain %s.", host.Settings.Name, host.Settings.CallerAddress, host.Settings.PeerAddress, host.Settings.FailureDomain)
	select {
	case err := <-failed:
		if !errors.Is(err, http.ErrServerClosed) {
			return err
		}
	case <-ctx.Done():
	}
	host.stop(callers)
	sockets.close()
	return nil
}

const (
	headerTimeout = 5 * time.Second
	bodyTimeout   = 10 * time.Second
	idleTimeout   = 2 * time.Minute
	// platformConnections are kept to the store and the host list.
	platformConnections = 16
	platformDialTimeout = time.Second
)

// Sockets are what a host listens on.
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
	opened := &Sockets{}
	var err error
	if opened.Callers, err = net.Listen("tcp", settings.CallerAddress); err != nil {
		return nil, fmt.Errorf("setting CallerAddress: %w", err)
	}
	if opened.Peers, err = net.Listen("tcp", settings.PeerAddress); err != nil {
		return nil, fmt.Errorf("setting PeerAddress: %w", err)
	}
	if opened.Gossip, err = net.ListenPacket("udp", settings.PeerAddress); err != nil {
		return nil, fmt.Errorf("setting PeerAddress: %w", err)
	}
	return opened, nil
}

func (host *Host) build() {
	host.log = host.Logbook.Part("entry")
	host.metrics = metric.New()
	if host.Dial == nil {
		host.Dial = net.DialTimeout
	}
	host.platform = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: platformConnections, DialContext: host.dialPlatform}}
	host.store = &store.Client{BaseURL: host.Settings.StoreURL, HTTP: host.platform}
	host.marks = &replica.Marks{Now: time.Now, Changed: host.markChanged}
	host.current = &relay.Current{Advanced: host.advanced}
	host.loader = &relay.Loader{Get: host.store.Get, Current: host.current}
	host.submitter = &patch.Submitter{
		Store: patch.Store{Get: host.store.Get, Put: host.store.Put},
		Load:  host.loader.Load,
		Now:   time.Now,
		Pause: pause,
	}
	host.buildMembership()
	host.buildPath()
}

func (host *Host) buildMembership() {
	log := host.Logbook.Part("member")
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
	host.gossip = &member.Runner{Detector: host.detector, Heard: host.heard}
}

func (host *Host) buildPath() {
	host.front = &front.Front{
		View:  host.current.View,
		Marks: host.marks,
		Now:   time.Now,
		Log:   host.Logbook.Part("front"),
		Dial:  host.Dial,
	}
	claimer := &claim.Claimer{Host: host.Settings.Name, Nonce: nonce, Get: host.store.Get, Put: host.store.Put}
	host.coordinator = &query.Coordinator{
		Host:     host.Settings.Name,
		View:     host.current.View,
		Send:     host.send,
		Claim:    claimer.Claim,
		Picker:   replica.New(),
		Marks:    host.marks,
		Absences: &replica.Absences{Now: time.Now},
		Now:      time.Now,
		After:    time.After,
		Hedge:    !host.Policy.NoHedge,
		NoLimits: host.Policy.NoLimits,
		OneRank:  host.Policy.OneRank,
		NoBudget: host.Policy.NoBudget,
		Log:      host.Logbook.Part("query"),
		Observe:  host.metrics.Observe,
	}
	host.coordinator.Pick = host.coordinator.Picker.Choice(host.Policy.Choice)
}

func (host *Host) watcher() *relay.Watcher {
	return &relay.Watcher{Loader: host.loader, Watch: host.store.Watch, Chosen: host.chosen, Log: host.Logbook.Part("relay")}
}

// advanced tells peers of a new configuration.
func (host *Host) advanced(view *service.View, source string) {
	host.log("Configuration version %d is in force, from %s.", view.Version, source)
	host.metrics.Version.Set(int64(view.Version))
	host.gossip.Send(host.detector.Notify())
}

func (host *Host) markChanged(mark message.Mark) {
	if mark.Cleared {
		host.log("Backend server %s takes work again, says %s.", mark.Replica, mark.Source)
	} else {
		host.log("Backend server %s is leaving, says %s.", mark.Replica, mark.Source)
	}
	host.detector.Mark(mark)
	host.gossip.Send(host.detector.Notify())
}

func (host *Host) dialPlatform(_ context.Context, network, address string) (net.Conn, error) {
	return host.Dial(network, address, platformDialTimeout)
}

func nonce() string {
	return fmt.Sprintf("%016x%016x", rand.Uint64(), rand.Uint64())
}

func pause(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
