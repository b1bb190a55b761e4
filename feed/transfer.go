package feed

import (
	"fmt"
	"sync"
	"time"

	"fescuehall/message"
)

const (
	// partBytes is the size of the parts in which a configuration is fetched. A slow
	// link transfers one well within fetchTimeout, and the replies of other requests
	// on the same connection wait for one at most.
	partBytes = 32 << 10
	// maxFetchedConfigBytes limits a configuration that another host sends: a few
	// times the largest value that the store takes.
	maxFetchedConfigBytes = 8 << 20
	// maxTransferPause is the time without a new part after which a transfer is
	// taken as stuck, and maxTransferTime the time after which a host no longer
	// relies on one that goes on. It leaves time to read the store before the
	// platform's bound for the slowest links, 6 s.
	maxTransferPause = 600 * time.Millisecond
	maxTransferTime  = 2500 * time.Millisecond
)

// transfer is the reception of a configuration in parts. Parts of one version may come
// from several hosts.
type transfer struct {
	mu        sync.Mutex
	version   uint64
	wholeSize int64
	content   []byte
	beganAt   time.Time
	grewAt    time.Time
}

// next returns the version of which the next part is wanted, and its position.
func (transfer *transfer) next() (version uint64, offset int64) {
	transfer.mu.Lock()
	defer transfer.mu.Unlock()
	return transfer.version, int64(len(transfer.content))
}

// add adds the part in a reply. It returns the configuration once that is complete,
// nil before.
func (transfer *transfer) add(reply *message.FeedNews, now time.Time) ([]byte, error) {
	transfer.mu.Lock()
	defer transfer.mu.Unlock()
	if reply.PartVersion == 0 {
		// Hosts of an earlier release send configurations whole.
		transfer.version, transfer.content = 0, nil
		return reply.Config, nil
	}
	if reply.ConfigBytes < 0 || reply.ConfigBytes > maxFetchedConfigBytes {
		return nil, fmt.Errorf("configuration %d has %d bytes, at most %d are accepted", reply.PartVersion, reply.ConfigBytes, maxFetchedConfigBytes)
	}
	if reply.PartOffset == 0 {
		transfer.begin(reply, now)
	}
	received := int64(len(transfer.content))
	if reply.PartVersion != transfer.version || reply.PartOffset != received || reply.ConfigBytes != transfer.wholeSize || received+int64(len(reply.Config)) > transfer.wholeSize {
		err := fmt.Errorf("part of configuration %d at byte %d of %d does not follow %d bytes of configuration %d", reply.PartVersion, reply.PartOffset, reply.ConfigBytes, received, transfer.version)
		transfer.version, transfer.content = 0, nil
		return nil, err
	}
	transfer.content = append(transfer.content, reply.Config...)
	transfer.grewAt = now
	if int64(len(transfer.content)) < transfer.wholeSize {
		return nil, nil
	}
	content := transfer.content
	transfer.version, transfer.content = 0, nil
	return content, nil
}

// begin begins the reception of a configuration. When it takes the place of one that
// was advancing, the beginning of that one counts.
func (transfer *transfer) begin(reply *message.FeedNews, now time.Time) {
	if transfer.version == 0 || now.Sub(transfer.grewAt) >= maxTransferPause {
		transfer.beganAt = now
	}
	transfer.version, transfer.wholeSize = reply.PartVersion, reply.ConfigBytes
	transfer.content = make([]byte, 0, reply.ConfigBytes)
}

// advancing reports whether a configuration is being received and will soon be
// complete.
func (transfer *transfer) advancing(now time.Time) bool {
	transfer.mu.Lock()
	defer transfer.mu.Unlock()
	return transfer.version != 0 && now.Sub(transfer.grewAt) < maxTransferPause && now.Sub(transfer.beganAt) < maxTransferTime
}
