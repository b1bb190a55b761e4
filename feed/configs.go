package feed

import (
	"bytes"
	"time"

	"fescuehall/message"
)

// keptConfig is a version of the configuration that this host has.
type keptConfig struct {
	version uint64
	content []byte
	// servedAt is when a part of it was last sent to a follower.
	servedAt time.Time
}

// maxKeptConfigs is the number of versions that are kept. Followers that receive one
// in parts complete it although there is a newer one, so that versions that follow each
// other faster than they are transferred don't keep a follower from advancing.
const maxKeptConfigs = 3

// PutConfig stores a configuration that was read, if it is newer than the stored ones.
func (feed *Feed) PutConfig(version uint64, config []byte) {
	feed.mu.Lock()
	defer feed.mu.Unlock()
	if version <= feed.configVersion() {
		return
	}
	feed.configs = append(feed.configs, keptConfig{version: version, content: bytes.Clone(config)})
	if len(feed.configs) > maxKeptConfigs {
		feed.dropConfig()
	}
}

// dropConfig drops the version that was sent to a follower longest ago, but never the
// newest one.
func (feed *Feed) dropConfig() {
	oldest := 0
	for i, kept := range feed.configs[:len(feed.configs)-1] {
		if kept.servedAt.Before(feed.configs[oldest].servedAt) {
			oldest = i
		}
	}
	feed.configs = append(feed.configs[:oldest], feed.configs[oldest+1:]...)
}

// configVersion returns the newest version, 0 if there is none.
func (feed *Feed) configVersion() uint64 {
	if len(feed.configs) == 0 {
		return 0
	}
	return feed.configs[len(feed.configs)-1].version
}

// addConfig adds to a reply the newest configuration, or the next part of the one that
// the follower is receiving, unless the follower has the newest one.
func (feed *Feed) addConfig(reply *message.FeedNews, fetch *message.FeedFetch) {
	reply.Version = feed.configVersion()
	if fetch.Version >= reply.Version {
		return
	}
	newest := len(feed.configs) - 1
	if fetch.MaxConfigBytes <= 0 {
		reply.Config = feed.configs[newest].content
		return
	}
	sent, offset := &feed.configs[newest], int64(0)
	for i := range feed.configs {
		kept := &feed.configs[i]
		if kept.version == fetch.PartVersion && kept.version > fetch.Version && fetch.PartOffset > 0 && fetch.PartOffset < int64(len(kept.content)) {
			sent, offset = kept, fetch.PartOffset
		}
	}
	sent.servedAt = feed.Now()
	rest := sent.content[offset:]
	reply.Config = rest[:min(fetch.MaxConfigBytes, int64(len(rest)))]
	reply.PartVersion, reply.PartOffset, reply.ConfigBytes = sent.version, offset, int64(len(sent.content))
}
