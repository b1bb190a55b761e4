package peer

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"fescuehall/frame"
	"fescuehall/link"
	"fescuehall/logbook"
	"fescuehall/message"
	"fescuehall/quota"
	"fescuehall/shard"
	"fescuehall/verdict"
)

// Wire sends messages to other entry hosts and handles theirs. Set the exported
// fields before use.
type Wire struct {
	// HandleGather handles a request to gather a bundle, with one reply or
	// more.
	HandleGather func(ctx context.Context, request *message.GatherRequest, reply func(*message.GatherReply))
	// HandleFeedFetch handles a fetch of what this host read from the store.
	HandleFeedFetch func(fetch *message.FeedFetch) *message.FeedNews
	// HandleAllowanceAsk handles an ask for tokens of a limit that all hosts share.
	HandleAllowanceAsk func(ctx context.Context, ask *message.AllowanceAsk) *message.AllowanceGrant
	// Event logs a frame or reply that is dropped.
	Event func(event string, fields logbook.Fields)
	// Memory limits the replies that are being read or handled; nil sets no limit.
	Memory *quota.Quota
	// Dial opens a connection to a host. If it is nil, net.DialTimeout is used.
	Dial func(network, address string, timeout time.Duration) (net.Conn, error)

	// links maps addresses to clients, of type *link.Client.
	links sync.Map
}

// encoder and decoder are implemented by the generated message types.
type encoder interface {
	MarshalMsg(buffer []byte) ([]byte, error)
}

type decoder interface {
	UnmarshalMsg(buffer []byte) ([]byte, error)
}

// call sends a message to a host and decodes the reply. Errors are
// *verdict.Failure.
func (wire *Wire) call(ctx context.Context, to shard.Host, kind frame.Type, message encoder, reply decoder) error {
	body, err := message.MarshalMsg(nil)
	if err != nil {
		return verdict.New(verdict.NotRun, verdict.BadRequest, "encode message to host %s: %v", to.Name, err)
	}
	received, err := wire.link(to.Address).Call(ctx, kind, body)
	if err != nil {
		return err
	}
	if _, err := reply.UnmarshalMsg(received.Body); err != nil {
		return verdict.New(verdict.MayHaveRun, verdict.ReplyMismatch, "decode reply of host %s: %v", to.Name, err)
	}
	return nil
}

// RequestGather sends a bundle to a host and calls handle with each of its
// replies until handle returns false. Errors are *verdict.Failure.
func (wire *Wire) RequestGather(ctx context.Context, to shard.Host, request *message.GatherRequest, handle func(*message.GatherReply) (more bool)) error {
	body, err := request.MarshalMsg(nil)
	if err != nil {
		return verdict.New(verdict.NotRun, verdict.BadRequest, "encode message to host %s: %v", to.Name, err)
	}
	var decodeErr error
	err = wire.link(to.Address).Stream(ctx, frame.GatherRequest, body, func(received frame.Frame) bool {
		reply := &message.GatherReply{}
		if _, err := reply.UnmarshalMsg(received.Body); err != nil {
			decodeErr = verdict.New(verdict.MayHaveRun, verdict.ReplyMismatch, "decode reply of host %s: %v", to.Name, err)
			return false
		}
		return handle(reply)
	})
	if err != nil {
		return err
	}
	return decodeErr
}

// FetchFeed fetches what another host has read from the store. Errors are
// *verdict.Failure.
func (wire *Wire) FetchFeed(ctx context.Context, to shard.Host, fetch *message.FeedFetch) (*message.FeedNews, error) {
	reply := &message.FeedNews{}
	return reply, wire.call(ctx, to, frame.FeedFetch, fetch, reply)
}

// AskAllowance asks another host for tokens of a limit that all hosts share. Errors
// are *verdict.Failure.
func (wire *Wire) AskAllowance(ctx context.Context, to shard.Host, ask *message.AllowanceAsk) (*message.AllowanceGrant, error) {
	reply := &message.AllowanceGrant{}
	if err := wire.call(ctx, to, frame.AllowanceAsk, ask, reply); err != nil {
		return nil, err
	}
	return reply, nil
}

// Ended reports whether the latest connection to a host was refused, as by a machine
// on which its process has ended.
func (wire *Wire) Ended(host shard.Host) bool {
	return wire.link(host.Address).Refused()
}

// Probe checks whether a host answers. Neither the probe nor its reply has a
// body.
func (wire *Wire) Probe(ctx context.Context, to shard.Host) error {
	_, err := wire.link(to.Address).Call(ctx, frame.Probe, nil)
	return err
}

// HeardFrom reports whether a host has sent a reply since a time.
func (wire *Wire) HeardFrom(host shard.Host, since time.Time) bool {
	return wire.link(host.Address).LastReceived().After(since)
}

func (wire *Wire) link(address string) *link.Client {
	client, ok := wire.links.Load(address)
	if !ok {
		client, _ = wire.links.LoadOrStore(address, &link.Client{Address: address, Memory: wire.Memory, Dial: wire.Dial})
	}
	return client.(*link.Client)
}

// Handle handles a frame received from another host; it is the Handle function
// of a link.Server.
func (wire *Wire) Handle(ctx context.Context, received frame.Frame, reply link.Reply) {
	switch received.Type {
	case frame.GatherRequest:
		request := &message.GatherRequest{}
		if _, err := request.UnmarshalMsg(received.Body); err != nil {
			wire.logDroppedFrame(err)
			return
		}
		wire.HandleGather(ctx, request, func(gatherReply *message.GatherReply) { wire.send(reply, frame.GatherReply, gatherReply) })
	case frame.FeedFetch:
		fetch := &message.FeedFetch{}
		if _, err := fetch.UnmarshalMsg(received.Body); err != nil {
			wire.logDroppedFrame(err)
			return
		}
		wire.send(reply, frame.FeedNews, wire.HandleFeedFetch(fetch))
	case frame.AllowanceAsk:
		ask := &message.AllowanceAsk{}
		if _, err := ask.UnmarshalMsg(received.Body); err != nil {
			wire.logDroppedFrame(err)
			return
		}
		wire.send(reply, frame.AllowanceGrant, wire.HandleAllowanceAsk(ctx, ask))
	default:
		wire.logDroppedFrame(fmt.Errorf("unexpected frame type %d", received.Type))
	}
}

func (wire *Wire) logDroppedFrame(err error) {
	wire.Event("dropped a frame", logbook.Fields{"error": err.Error()})
}

// send encodes a message and sends it as a reply frame.
func (wire *Wire) send(reply link.Reply, kind frame.Type, message encoder) {
	body, err := message.MarshalMsg(nil)
	if err != nil {
		wire.Event("dropped a reply", logbook.Fields{"error": err.Error()})
		return
	}
	reply(kind, body)
}
