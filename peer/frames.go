package peer

import (
	"context"
	"fmt"
	"sync"

	"fescuehall/frame"
	"fescuehall/link"
	"fescuehall/logbook"
	"fescuehall/message"
	"fescuehall/shard"
	"fescuehall/verdict"
)

// Wire carries messages between entry hosts. Set the fields before use.
type Wire struct {
	// Gather gathers a bundle for a peer.
	Gather func(ctx context.Context, asked *message.GatherRequest) *message.GatherReply
	// News tells a peer what this host read from the store.
	News func(asked *message.FeedFetch) *message.FeedNews
	// Event is told of frames that are dropped.
	Event func(event string, fields logbook.Fields)

	links sync.Map
}

// encoder and decoder are what generated messages do.
type encoder interface {
	MarshalMsg(buffer []byte) ([]byte, error)
}

type decoder interface {
	UnmarshalMsg(buffer []byte) ([]byte, error)
}

// call sends a message to a peer and reads the reply. Errors are
// *verdict.Failure.
func (wire *Wire) call(ctx context.Context, to shard.Host, kind frame.Type, message encoder, reply decoder) error {
	body, err := message.MarshalMsg(nil)
	if err != nil {
		return verdict.New(verdict.NotRun, verdict.BadRequest, "message to host %s: %v", to.Name, err)
	}
	received, err := wire.link(to.Address).Call(ctx, kind, body)
	if err != nil {
		return err
	}
	if _, err := reply.UnmarshalMsg(received.Body); err != nil {
		return verdict.New(verdict.MayHaveRun, verdict.ReplyMismatch, "host %s: %v", to.Name, err)
	}
	return nil
}

// AskGather lets a peer gather a bundle.
func (wire *Wire) AskGather(ctx context.Context, to shard.Host, request *message.GatherRequest) (*message.GatherReply, error) {
	reply := &message.GatherReply{}
	return reply, wire.call(ctx, to, frame.GatherRequest, request, reply)
}

// AskNews asks a peer for what it read from the store.
func (wire *Wire) AskNews(ctx context.Context, to shard.Host, request *message.FeedFetch) (*message.FeedNews, error) {
	news := &message.FeedNews{}
	return news, wire.call(ctx, to, frame.FeedFetch, request, news)
}

// Probe returns nil when a peer answers. Neither message has a body.
func (wire *Wire) Probe(ctx context.Context, to shard.Host) error {
	_, err := wire.link(to.Address).Call(ctx, frame.Probe, nil)
	return err
}

func (wire *Wire) link(address string) *link.Client {
	known, ok := wire.links.Load(address)
	if !ok {
		known, _ = wire.links.LoadOrStore(address, &link.Client{Address: address})
	}
	return known.(*link.Client)
}

// Handle answers a peer's frame, for link.Server.
func (wire *Wire) Handle(ctx context.Context, received frame.Frame, reply link.Reply) {
	if received.Type == frame.Probe {
		reply(frame.ProbeReply, nil)
		return
	}
	var kind frame.Type
	var answer encoder
	var err error
	switch received.Type {
	case frame.GatherRequest:
		asked := &message.GatherRequest{}
		if _, err = asked.UnmarshalMsg(received.Body); err == nil {
			kind, answer = frame.GatherReply, wire.Gather(ctx, asked)
		}
	case frame.FeedFetch:
		asked := &message.FeedFetch{}
		if _, err = asked.UnmarshalMsg(received.Body); err == nil {
			kind, answer = frame.FeedNews, wire.News(asked)
		}
	default:
		err = fmt.Errorf("frame type %d is not served", received.Type)
	}
	if err != nil {
		wire.Event("dropped a frame", logbook.Fields{"error": err.Error()})
		return
	}
	body, err := answer.MarshalMsg(nil)
	if err != nil {
		wire.Event("dropped a reply", logbook.Fields{"error": err.Error()})
		return
	}
	reply(kind, body)
}
