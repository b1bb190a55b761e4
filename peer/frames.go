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
	// Gather gathers a bundle for a peer and answers it once or more.
	Gather func(ctx context.Context, asked *message.GatherRequest, answer func(*message.GatherReply))
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

// AskGather lets a peer gather a bundle and hands on its answers, until take
// returns false.
func (wire *Wire) AskGather(ctx context.Context, to shard.Host, request *message.GatherRequest, take func(*message.GatherReply) (more bool)) error {
	body, err := request.MarshalMsg(nil)
	if err != nil {
		return verdict.New(verdict.NotRun, verdict.BadRequest, "message to host %s: %v", to.Name, err)
	}
	var unreadable error
	err = wire.link(to.Address).Stream(ctx, frame.GatherRequest, body, func(received frame.Frame) bool {
		reply := &message.GatherReply{}
		if _, err := reply.UnmarshalMsg(received.Body); err != nil {
			unreadable = verdict.New(verdict.MayHaveRun, verdict.ReplyMismatch, "host %s: %v", to.Name, err)
			return false
		}
		return take(reply)
	})
	if err != nil {
		return err
	}
	return unreadable
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
	switch received.Type {
	case frame.Probe:
		reply(frame.ProbeReply, nil)
	case frame.GatherRequest:
		asked := &message.GatherRequest{}
		if _, err := asked.UnmarshalMsg(received.Body); err != nil {
			wire.dropped(err)
			return
		}
		wire.Gather(ctx, asked, func(answer *message.GatherReply) { wire.answer(reply, frame.GatherReply, answer) })
	case frame.FeedFetch:
		asked := &message.FeedFetch{}
		if _, err := asked.UnmarshalMsg(received.Body); err != nil {
			wire.dropped(err)
			return
		}
		wire.answer(reply, frame.FeedNews, wire.News(asked))
	default:
		wire.dropped(fmt.Errorf("frame type %d is not served", received.Type))
	}
}

func (wire *Wire) dropped(err error) {
	wire.Event("dropped a frame", logbook.Fields{"error": err.Error()})
}

func (wire *Wire) answer(reply link.Reply, kind frame.Type, answer encoder) {
	body, err := answer.MarshalMsg(nil)
	if err != nil {
		wire.Event("dropped a reply", logbook.Fields{"error": err.Error()})
		return
	}
	reply(kind, body)
}
