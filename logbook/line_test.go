package logbook_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"math"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"
	"pgregory.net/rapid"

	"fescuehall/logbook"
)

// The line of an event equals that of logrus, but for its time.
func TestEventEqualsLogrus(t *testing.T) {
	values := rapid.OneOf(
		rapid.String().AsAny(), rapid.Int().AsAny(), rapid.Int64().AsAny(), rapid.Uint64().AsAny(), rapid.Bool().AsAny(), rapid.Float64Range(-1e22, 1e22).AsAny(),
		rapid.SampledFrom([]any{nil, errors.New("a <b>"), time.Second, []string{"x", "\"y\""}, 1e-7, 0.125, 1e21, math.Copysign(0, -1), int32(3)}),
	)
	rapid.Check(t, func(r *rapid.T) {
		fields := rapid.MapOf(rapid.StringMatching(`[a-z_]{1,6}|msg|time|level|host|part|<&`), values).Draw(r, "fields")
		event := rapid.String().Draw(r, "event")
		var want, got bytes.Buffer
		logger := logrus.New()
		logger.SetOutput(&want)
		logger.SetFormatter(&logrus.JSONFormatter{})
		logger.WithFields(fields).WithField("part", "p").WithField("host", "h").Info(event)
		log, err := logbook.New(&got, "info", "json")
		qt.Assert(t, err, qt.IsNil)
		log.Host = "h"
		log.Event("p", event, fields)
		var wantFields, gotFields map[string]any
		qt.Assert(t, json.Unmarshal(want.Bytes(), &wantFields), qt.IsNil)
		qt.Assert(t, json.Unmarshal(got.Bytes(), &gotFields), qt.IsNil, qt.Commentf("%s", got.String()))
		withoutTime := func(line string, fields map[string]any) string {
			return strings.Replace(line, fields["time"].(string), "", 1)
		}
		if got, want := withoutTime(got.String(), gotFields), withoutTime(want.String(), wantFields); got != want {
			r.Fatalf("got %s, want %s", got, want)
		}
	})
}

func BenchmarkEvent(b *testing.B) {
	log, err := logbook.New(io.Discard, "info", "json")
	qt.Assert(b, err, qt.IsNil)
	log.Host = "front-1"
	b.ReportAllocs()
	for b.Loop() {
		log.Event("suspect", "late", logbook.Fields{"name": "i-7f3a91c2", "late_ms": 432})
	}
}
