package entry

import (
	"encoding/json"
	"errors"
	"expvar"
	"fmt"
	"io"
	"net/http"

	"fescuehall/answer"
	"fescuehall/patch"
	"fescuehall/schema"
	"fescuehall/service"
	"fescuehall/verdict"
)

const (
	defaultResultLimit = 10
	maxPatchBytes      = 8 << 20
)

func (host *Host) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/query", host.postQuery)
	mux.HandleFunc("POST /v1/patch", host.postPatch)
	mux.HandleFunc("GET /v1/config", host.getConfig)
	mux.HandleFunc("GET /v1/history/{version}", host.getHistory)
	mux.HandleFunc("GET /v1/status", host.getStatus)
	mux.HandleFunc("GET /v1/explain/{request}", host.getExplain)
	mux.HandleFunc("GET /ready", host.getReady)
	mux.HandleFunc("GET /live", func(writer http.ResponseWriter, _ *http.Request) { io.WriteString(writer, "live\n") })
	mux.Handle("GET /debug/vars", expvar.Handler())
	return host.closeConnections(mux)
}

// closeConnections returns a handler whose answers close their connections while the
// host stops.
func (host *Host) closeConnections(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		host.setConnectionClose(writer)
		next.ServeHTTP(writer, request)
	})
}

func (host *Host) setConnectionClose(writer http.ResponseWriter) {
	if host.stopping.Load() {
		writer.Header().Set("Connection", "close")
	}
}

func (host *Host) postQuery(writer http.ResponseWriter, request *http.Request) {
	query, failure := host.readQuery(writer, request)
	if failure != nil {
		writeAnswer(writer, &answer.Answer{Host: host.Settings.Name, Verdict: failure.Verdict.String(), Code: string(failure.Code), Detail: failure.Detail, Missing: []answer.Missing{}, Results: []answer.Result{}})
		return
	}
	answer := host.coordinator.Answer(request.Context(), query)
	// The stop may have begun while the query was answered.
	host.setConnectionClose(writer)
	writeAnswer(writer, answer)
}

// readQuery reads and validates the body of a query. It sets a random request
// ID when the caller gave none.
func (host *Host) readQuery(writer http.ResponseWriter, request *http.Request) (*answer.Request, *verdict.Failure) {
	if host.current.View().Version == 0 {
		return nil, verdict.New(verdict.NotRun, verdict.NotReady, "no configuration yet")
	}
	content, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, int64(host.Settings.MaxBodyBytes)))
	if err != nil {
		return nil, verdict.New(verdict.NotRun, verdict.BadRequest, "body: %v", err)
	}
	query, problems := parseQuery(content)
	if len(problems) > 0 {
		return nil, verdict.New(verdict.NotRun, verdict.BadRequest, "%v", problems)
	}
	if query.RequestID == "" {
		query.RequestID = newNonce()
	}
	return query, nil
}

func parseQuery(content []byte) (*answer.Request, []schema.Problem) {
	if problems := schema.Check(schema.Request, content); len(problems) > 0 {
		return nil, problems
	}
	query := &answer.Request{Limit: defaultResultLimit}
	if err := json.Unmarshal(content, query); err != nil {
		return nil, []schema.Problem{{Path: "/", Detail: err.Error()}}
	}
	return query, nil
}

func writeAnswer(writer http.ResponseWriter, answer *answer.Answer) {
	writeJSON(writer, httpStatus(answer), answer)
}

// httpStatus returns the HTTP status of an answer. It is meant for load
// balancers and people; callers act on the verdict in the body.
func httpStatus(answer *answer.Answer) int {
	code := verdict.Code(answer.Code)
	if code == verdict.Stopping && answer.Verdict != verdict.NotRun.String() {
		return http.StatusBadGateway
	}
	switch code {
	case "":
		return http.StatusOK
	case verdict.BadRequest:
		return http.StatusBadRequest
	case verdict.UnknownService, verdict.UnknownKind:
		return http.StatusNotFound
	case verdict.DuplicateRequest:
		return http.StatusConflict
	case verdict.Overload, verdict.Shed, verdict.NotReady, verdict.Stopping, verdict.StoreUnavailable, verdict.Draining:
		return http.StatusServiceUnavailable
	case verdict.DeadlinePassed:
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}

func (host *Host) postPatch(writer http.ResponseWriter, request *http.Request) {
	var submitted patch.Patch
	decoder := json.NewDecoder(http.MaxBytesReader(writer, request.Body, maxPatchBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&submitted); err != nil {
		writeJSON(writer, http.StatusBadRequest, patch.Reply{Outcome: patch.Refused, Detail: err.Error()})
		return
	}
	if submitted.PatchID == "" {
		writeJSON(writer, http.StatusBadRequest, patch.Reply{Outcome: patch.Refused, Detail: "patch has no PatchId"})
		return
	}
	reply := host.submitter.Submit(request.Context(), submitted)
	host.log("Patch %s against version %d by %s: %s %s.", submitted.PatchID, submitted.Against, submitted.Operator, reply.Outcome, reply.Detail)
	if reply.Outcome == patch.Accepted {
		host.activate(request, reply.Version)
	}
	writeJSON(writer, patchHTTPStatus(reply.Outcome), reply)
}

// activate loads an accepted version and makes it active on this host, without
// waiting for the watch of the store.
func (host *Host) activate(request *http.Request, version uint64) {
	record, _, err := host.loader.ReadHead(request.Context(), patch.HeadKey)
	if err != nil || record.Version < version {
		return
	}
	if view, err := host.loader.Load(request.Context(), record); err == nil {
		host.current.Advance(view, "patch")
	}
}

func patchHTTPStatus(outcome patch.Outcome) int {
	switch outcome {
	case patch.Accepted:
		return http.StatusOK
	case patch.Refused:
		return http.StatusConflict
	}
	return http.StatusServiceUnavailable
}

// Config is the active configuration of a host, as GET /v1/config returns it.
type Config struct {
	Version       uint64
	PatchID       string `json:"PatchId"`
	Configuration *service.Configuration
}

func (host *Host) getConfig(writer http.ResponseWriter, _ *http.Request) {
	view := host.current.View()
	writeJSON(writer, http.StatusOK, Config{Version: view.Version, PatchID: view.PatchID, Configuration: view.Configuration()})
}

func (host *Host) getHistory(writer http.ResponseWriter, request *http.Request) {
	key := "History/" + request.PathValue("version")
	if request.PathValue("version") == "head" {
		key = patch.HeadKey
	}
	value, err := host.store.Get(request.Context(), key)
	if err != nil {
		http.Error(writer, err.Error(), http.StatusServiceUnavailable)
		return
	}
	writer.Header().Set("Content-Type", "application/json")
	writer.Write(value.Content)
}

func (host *Host) getExplain(writer http.ResponseWriter, request *http.Request) {
	writeJSON(writer, http.StatusOK, host.Logbook.LinesAbout(request.PathValue("request")))
}

func (host *Host) getReady(writer http.ResponseWriter, _ *http.Request) {
	ready, reason := host.ready()
	if !ready {
		writer.WriteHeader(http.StatusServiceUnavailable)
	}
	fmt.Fprintln(writer, reason)
}

func writeJSON(writer http.ResponseWriter, status int, value any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	if err := json.NewEncoder(writer).Encode(value); err != nil && !errors.Is(err, http.ErrHandlerTimeout) {
		return
	}
}
