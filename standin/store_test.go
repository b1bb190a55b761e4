package standin_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuehall/standin"
	"fescuehall/store"
)

func startStore(t *testing.T) (*standin.Store, *store.Client) {
	standinStore := &standin.Store{}
	server := httptest.NewServer(standinStore.Handler())
	t.Cleanup(server.Close)
	return standinStore, &store.Client{BaseURL: server.URL, HTTP: &http.Client{}}
}

// Checks what entry hosts rely on in the platform's store: writes are
// compare-and-swap by revision, and values above the maximum size are refused.
func TestStoreContract(t *testing.T) {
	ctx := context.Background()
	_, client := startStore(t)
	_, err := client.Get(ctx, "a/b")
	qt.Assert(t, err, qt.ErrorIs, store.ErrNotFound)
	first, err := client.Put(ctx, "a/b", []byte("one"), 0, 0)
	qt.Assert(t, err, qt.IsNil)
	_, err = client.Put(ctx, "a/b", []byte("two"), 0, 0)
	qt.Assert(t, err, qt.ErrorIs, store.ErrConflict)
	second, err := client.Put(ctx, "a/b", []byte("two"), first, 0)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, second > first, qt.IsTrue)
	value, err := client.Get(ctx, "a/b")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, value, qt.DeepEquals, store.Value{Content: []byte("two"), Revision: second})
	_, err = client.Put(ctx, "big", make([]byte, standin.MaxValueBytes+1), 0, 0)
	qt.Assert(t, err, qt.ErrorMatches, `store key "big" has 1048577 bytes, the store holds at most 1048576`)
}

func TestStoreWatch(t *testing.T) {
	ctx := context.Background()
	_, client := startStore(t)
	revision, err := client.Put(ctx, "head", []byte("one"), 0, 0)
	qt.Assert(t, err, qt.IsNil)
	_, err = client.Watch(ctx, "head", revision, time.Millisecond)
	qt.Assert(t, err, qt.ErrorIs, store.ErrUnchanged)
	changed := make(chan store.Value)
	go func() {
		value, _ := client.Watch(ctx, "head", revision, time.Minute)
		changed <- value
	}()
	_, err = client.Put(ctx, "head", []byte("two"), revision, 0)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string((<-changed).Content), qt.Equals, "two")
}

func TestStoreFaults(t *testing.T) {
	ctx := context.Background()
	tests := []struct {
		name  string
		fault standin.StoreFault
		// value and getErr are what a read returns during the fault.
		value  string
		getErr error
		// putErr is the error of a write during the fault.
		putErr error
		// finalValue is the value once the fault is cleared.
		finalValue string
	}{
		{name: "none", value: "two", finalValue: "three"},
		{name: "outage", fault: standin.StoreFault{Outage: true}, getErr: store.ErrUnavailable, putErr: store.ErrUnavailable, finalValue: "two"},
		{name: "older value", fault: standin.StoreFault{Stale: true}, value: "one", finalValue: "three"},
		{name: "rate limits", fault: standin.StoreFault{ReadsPerSecond: -1, WritesPerSecond: -1}, getErr: store.ErrUnavailable, putErr: store.ErrUnavailable, finalValue: "two"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			standinStore, client := startStore(t)
			first, err := client.Put(ctx, "key", []byte("one"), 0, 0)
			qt.Assert(t, err, qt.IsNil)
			second, err := client.Put(ctx, "key", []byte("two"), first, 0)
			qt.Assert(t, err, qt.IsNil)
			standinStore.SetFault(test.fault)
			value, err := client.Get(ctx, "key")
			qt.Assert(t, err, qt.ErrorIs, test.getErr)
			qt.Assert(t, string(value.Content), qt.Equals, test.value)
			_, err = client.Put(ctx, "key", []byte("three"), second, 0)
			qt.Assert(t, err, qt.ErrorIs, test.putErr)
			standinStore.SetFault(standin.StoreFault{})
			value, err = client.Get(ctx, "key")
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, string(value.Content), qt.Equals, test.finalValue)
		})
	}
}

// A write whose reply is lost takes effect. Its error is none of the store's
// own errors, so that a client can't mistake the write for a refused one.
func TestStoreLosesReplyOfAppliedWrite(t *testing.T) {
	ctx := context.Background()
	standinStore, client := startStore(t)
	standinStore.SetFault(standin.StoreFault{LoseReplies: 1})
	_, err := client.Put(ctx, "key", []byte("one"), 0, 0)
	qt.Assert(t, err, qt.IsNotNil)
	for _, storeError := range []error{store.ErrConflict, store.ErrNotFound, store.ErrUnavailable, store.ErrUnchanged} {
		qt.Assert(t, err, qt.Not(qt.ErrorIs), storeError)
	}
	value, err := client.Get(ctx, "key")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(value.Content), qt.Equals, "one")
}

// A lease has one holder at a time, and each new holder gets a higher fencing
// token.
func TestStoreLease(t *testing.T) {
	now := time.Unix(1000, 0)
	standinStore := &standin.Store{Now: func() time.Time { return now }}
	server := httptest.NewServer(standinStore.Handler())
	t.Cleanup(server.Close)
	acquire := func(holder string) (int, string) {
		response, err := http.Post(server.URL+"/v1/lease/duty?TtlMillis=1000&Holder="+holder, "", nil)
		qt.Assert(t, err, qt.IsNil)
		response.Body.Close()
		return response.StatusCode, response.Header.Get("Fence")
	}
	status, firstFence := acquire("a")
	qt.Assert(t, status, qt.Equals, http.StatusOK)
	status, _ = acquire("b")
	qt.Assert(t, status, qt.Equals, http.StatusConflict)
	now = now.Add(1100 * time.Millisecond)
	status, secondFence := acquire("b")
	qt.Assert(t, status, qt.Equals, http.StatusOK)
	qt.Assert(t, secondFence > firstFence, qt.IsTrue)
}
