// Package store is a client of the platform's configuration store and host
// list.
package store

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"fescuehall/quota"
)

const (
	callTimeout = 2 * time.Second
	// maxValueBytes is the platform's limit for a value.
	maxValueBytes = 1 << 20
	// maxIgnoredBytes limits how much of the reply to a write is read.
	maxIgnoredBytes = 64 << 10
)

// Errors of store calls. After any other error of Put, the write may have taken
// effect.
var (
	// ErrNotFound means that the key does not exist.
	ErrNotFound = errors.New("key does not exist in the store")
	// ErrConflict means that the key does not have the expected revision; nothing
	// was written.
	ErrConflict = errors.New("key has another revision in the store")
	// ErrUnavailable means that the store refused the call; nothing was written.
	ErrUnavailable = errors.New("store is unavailable")
	// ErrUnchanged means that the key did not change during a watch.
	ErrUnchanged = errors.New("key is unchanged in the store")
)

// Value is the content of a key. Its revision increases with each write.
type Value struct {
	Content  []byte
	Revision uint64
}

// Client calls the configuration store. Set the fields before use.
type Client struct {
	// BaseURL is the store's address, such as http://10.0.0.1:2379.
	BaseURL string
	// HTTP sends the calls; http.DefaultClient when nil.
	HTTP *http.Client
}

// Get reads a key. The error is ErrNotFound, ErrUnavailable or a transport
// error.
func (client *Client) Get(ctx context.Context, key string) (Value, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return client.readKey(ctx, key, nil)
}

// Watch waits until the key's revision is greater than after, and returns the
// value. The error is ErrUnchanged when the wait time ends first.
func (client *Client) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (Value, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	query := url.Values{}
	query.Set("After", strconv.FormatUint(after, 10))
	query.Set("WaitMillis", strconv.FormatInt(wait.Milliseconds(), 10))
	return client.readKey(ctx, key, query)
}

func (client *Client) readKey(ctx context.Context, key string, query url.Values) (Value, error) {
	response, err := client.do(ctx, http.MethodGet, key, query, nil)
	if err != nil {
		return Value{}, err
	}
	defer response.Body.Close()
	if err := statusError(response.StatusCode); err != nil {
		return Value{}, fmt.Errorf("store key %q: %w", key, err)
	}
	content, err := quota.ReadAll(response.Body, "value", maxValueBytes, nil)
	if err != nil {
		return Value{}, fmt.Errorf("store key %q: %w", key, err)
	}
	return Value{Content: content, Revision: revision(response)}, nil
}

// Put writes a key if it has the expected revision, and returns the new one.
// The expected revision 0 means that the key must not exist yet. A key with a
// ttl of 0 does not expire.
func (client *Client) Put(ctx context.Context, key string, content []byte, expected uint64, ttl time.Duration) (uint64, error) {
	if len(content) > maxValueBytes {
		return 0, fmt.Errorf("store key %q has %d bytes, the store holds at most %d", key, len(content), maxValueBytes)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	query := url.Values{}
	query.Set("Revision", strconv.FormatUint(expected, 10))
	if ttl > 0 {
		query.Set("TtlSeconds", strconv.FormatInt(int64(ttl/time.Second), 10))
	}
	response, err := client.do(ctx, http.MethodPut, key, query, content)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	// Reading the rest of a short reply lets the connection be reused.
	_, _ = io.CopyN(io.Discard, response.Body, maxIgnoredBytes)
	if err := statusError(response.StatusCode); err != nil {
		return revision(response), fmt.Errorf("store key %q: %w", key, err)
	}
	return revision(response), nil
}

func (client *Client) do(ctx context.Context, method, key string, query url.Values, content []byte) (*http.Response, error) {
	callURL := client.BaseURL + "/v1/kv/" + key + "?" + query.Encode()
	// MultiReader hides the type of the reader from net/http, which would retry a
	// request whose body it can rewind.
	var body io.Reader
	if content != nil {
		body = io.MultiReader(bytes.NewReader(content))
	}
	request, err := http.NewRequestWithContext(ctx, method, callURL, body)
	if err != nil {
		return nil, err
	}
	if content != nil {
		request.ContentLength = int64(len(content))
	}
	return httpClient(client.HTTP).Do(request)
}

func httpClient(client *http.Client) *http.Client {
	if client != nil {
		return client
	}
	return http.DefaultClient
}

func statusError(status int) error {
	switch status {
	case http.StatusOK:
		return nil
	case http.StatusNoContent:
		return ErrUnchanged
	case http.StatusNotFound:
		return ErrNotFound
	case http.StatusConflict:
		return ErrConflict
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return ErrUnavailable
	}
	return fmt.Errorf("status %d", status)
}

func revision(response *http.Response) uint64 {
	value, _ := strconv.ParseUint(response.Header.Get("Revision"), 10, 64)
	return value
}

// Roles and states of hosts in the host list.
const (
	RoleEntry        = "Entry"
	RoleBackend      = "Backend"
	StateLive        = "Live"
	StateLeaving     = "Leaving"
	maxHostListBytes = 16 << 20
)

// Host is one item of the host list. Address is the peer address of an entry
// host or the search address of a backend server.
type Host struct {
	Name          string
	Role          string
	Address       string
	FailureDomain string
	State         string
}

// HostList is the platform's list of hosts. It lags behind the hosts' states.
type HostList struct {
	Hosts []Host
}

// ReadHosts reads the host list from its URL.
func ReadHosts(ctx context.Context, client *http.Client, address string) (HostList, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return HostList{}, err
	}
	response, err := httpClient(client).Do(request)
	if err != nil {
		return HostList{}, err
	}
	defer response.Body.Close()
	if err := statusError(response.StatusCode); err != nil {
		return HostList{}, fmt.Errorf("host list: %w", err)
	}
	var list HostList
	err = json.NewDecoder(io.LimitReader(response.Body, maxHostListBytes)).Decode(&list)
	return list, err
}
