// Package api serves the operators' API: HTTP with JSON bodies, on an address
// separate from that for callers.
package api

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"daisywheel/internal/kernel/node"
	"daisywheel/internal/kernel/plugin"
	"daisywheel/internal/operator/wire"
	"daisywheel/internal/result/code"
	"daisywheel/internal/result/fault"
	"daisywheel/internal/state/record"
)

// Limits, names and defaults of the API.
const (
	maxBodyBytes      = 1 << 20
	readTimeout       = 10 * time.Second
	proposeTimeout    = 5 * time.Second
	stopTimeout       = 5 * time.Second
	applyTimeout      = 2 * time.Second // bounds the wait until all entries have applied a change
	applyPollInterval = 10 * time.Millisecond
	peerTimeout       = 500 * time.Millisecond // of a status request to a peer
	methodStatus      = "status"               // name of the status call between entries
	jsonType          = "application/json"
	defaultAuthorName = "operator"
)

func init() {
	plugin.Register(plugin.Plugin{Name: "api", Order: 80, Start: start})
}

// API is the server of the operators' API at one entry.
type API struct {
	nod    *node.Node
	server *http.Server
	done   chan struct{}
}

func start(nod *node.Node) (func(), error) {
	ap := &API{nod: nod, done: make(chan struct{})}
	nod.PeerEndpoint().Handle(methodStatus, ap.serveStatus)
	lsn, err := net.Listen("tcp", nod.Settings().OperatorAddress)
	if err != nil {
		return nil, errors.Wrapf(err, "operator address %s", nod.Settings().OperatorAddress)
	}
	ap.server = &http.Server{Handler: ap.handler(), ReadTimeout: readTimeout}
	go func() {
		defer close(ap.done)
		_ = ap.server.Serve(lsn)
	}()
	return ap.stop, nil
}

func (ap *API) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	if ap.server.Shutdown(ctx) != nil {
		_ = ap.server.Close()
	}
	<-ap.done
}

// Routes returns the pattern of every route. docs/api.md has a section for each.
func Routes() []string {
	var patterns []string
	for _, rte := range (&API{}).routes() {
		patterns = append(patterns, rte.pattern)
	}
	return patterns
}

type route struct {
	pattern string
	serve   func(req *http.Request) (any, error)
}

func (ap *API) routes() []route {
	return []route{
		{"GET /v1/status", ap.getStatus},
		{"GET /v1/table", ap.getTable},
		{"GET /v1/table/log", ap.getTableLog},
		{"PUT /v1/table/rows/{pool}", ap.putRow},
		{"DELETE /v1/table/rows/{pool}", ap.deleteRow},
		{"GET /v1/changes/{id}", ap.getChange},
		{"GET /v1/pools", ap.getPools},
		{"GET /v1/vms", ap.getVMs},
		{"POST /v1/vms/{vm}/move", ap.moveVM},
		{"POST /v1/vms/{vm}/release", ap.releaseVM},
		{"GET /v1/jobs", ap.getJobs},
		{"POST /v1/jobs", ap.submitJob},
		{"GET /v1/jobs/{name}", ap.getJob},
		{"POST /v1/jobs/{name}/cancel", ap.cancelJob},
		{"GET /v1/waves", ap.getWaves},
		{"POST /v1/waves", ap.startWave},
		{"GET /v1/waves/{name}", ap.getWave},
		{"POST /v1/waves/{name}/pause", ap.pauseWave},
		{"POST /v1/waves/{name}/resume", ap.resumeWave},
		{"POST /v1/waves/{name}/cancel", ap.cancelWave},
	}
}

func (ap *API) handler() http.Handler {
	mux := http.NewServeMux()
	for _, rte := range ap.routes() {
		mux.HandleFunc(rte.pattern, ap.authenticate(rte.serve))
	}
	mux.HandleFunc("GET /metrics", func(rsp http.ResponseWriter, _ *http.Request) { ap.writeMetrics(rsp) })
	mux.HandleFunc("GET /health", func(rsp http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(rsp, "alive\n")
	})
	mux.HandleFunc("GET /ready", func(rsp http.ResponseWriter, _ *http.Request) {
		if !ap.nod.IsReady() {
			rsp.WriteHeader(http.StatusServiceUnavailable)
		}
		_, _ = io.WriteString(rsp, "see the status\n")
	})
	return mux
}

// authenticate wraps serve in a handler that checks the operator's token, in constant
// time so that the response time reveals nothing of it, and encodes the result.
func (ap *API) authenticate(serve func(req *http.Request) (any, error)) http.HandlerFunc {
	want := sha256.Sum256([]byte("Bearer " + ap.nod.Settings().OperatorToken))
	return func(rsp http.ResponseWriter, req *http.Request) {
		got := sha256.Sum256([]byte(req.Header.Get("Authorization")))
		if subtle.ConstantTimeCompare(want[:], got[:]) != 1 {
			writeError(rsp, fault.New(code.Unauthorized, "the token is missing or wrong"))
			return
		}
		out, err := serve(req)
		if err != nil {
			writeError(rsp, err)
			return
		}
		status := http.StatusOK
		if ans, ok := out.(wire.Answer); ok {
			status = code.Code(ans.Code).HTTPStatus()
		}
		writeJSON(rsp, status, out)
	}
}

func writeError(rsp http.ResponseWriter, err error) {
	cd := fault.CodeOf(err)
	detail := err.Error()
	var flt *fault.Fault
	if errors.As(err, &flt) {
		detail = flt.Detail()
	}
	writeJSON(rsp, cd.HTTPStatus(), wire.Answer{Code: int(cd), Name: cd.Name(), Detail: detail, Fix: cd.Fix(), LaggingEntries: []string{}})
}

func writeJSON(rsp http.ResponseWriter, status int, out any) {
	rsp.Header().Set("Content-Type", jsonType)
	rsp.WriteHeader(status)
	enc := json.NewEncoder(rsp)
	enc.SetIndent("", "  ")
	// An error means that the operator has disconnected and needs no answer.
	_ = enc.Encode(out)
}

// decodeBody decodes the request body as JSON. It refuses unknown fields, so that a
// misspelt limit is not silently ignored.
func decodeBody(req *http.Request, into any) error {
	dec := json.NewDecoder(io.LimitReader(req.Body, maxBodyBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(into); err != nil {
		return fault.New(code.BadRequest, "the body is not the JSON of this route: %v", err)
	}
	return nil
}

// propose appends the record and returns the verdict on it. When the change is
// accepted, the answer also names the entries that have not applied it in time.
func (ap *API) propose(req *http.Request, cfg record.Config) (wire.Answer, error) {
	now := ap.nod.Now()
	if cfg.Author == "" {
		cfg.Author = defaultAuthorName
	}
	_, atHead := ap.nod.Replica().Lag(now)
	if !atHead {
		return wire.Answer{}, fault.New(code.NotReady, "this entry has not read the log to its head")
	}
	rec := ap.nod.NewRecord(now, cfg)
	ctx, cancel := context.WithTimeout(req.Context(), proposeTimeout)
	defer cancel()
	vrd, err := ap.nod.Proposer().Propose(ctx, rec)
	if err != nil {
		cd := fault.CodeOf(err)
		return wire.Answer{Code: int(cd), Name: cd.Name(), Detail: err.Error(), Fix: cd.Fix(), ChangeID: rec.ChangeID(), LaggingEntries: []string{}}, nil
	}
	cd := vrd.Code()
	ans := wire.Answer{
		Code: int(cd), Name: cd.Name(), ChangeID: rec.ChangeID(), Offset: vrd.Offset(), LaggingEntries: []string{},
	}
	if cd != code.OK {
		ans.Fix = cd.Fix()
		ans.Detail = ap.refusalDetail(rec.Config(), cd)
		return ans, nil
	}
	ans.LaggingEntries = ap.awaitApplied(ctx, vrd.Offset())
	ans.InForceMs = ap.nod.Now().Sub(now).Milliseconds()
	return ans, nil
}

// refusalDetail returns one sentence that says what was refused and why.
func (ap *API) refusalDetail(cfg record.Config, cd code.Code) string {
	subject := strings.TrimSpace(strings.Join([]string{cfg.Pool, cfg.Row.Pool, cfg.VM, cfg.Wave, cfg.JobName, cfg.Job.Name}, " "))
	return string(cfg.Kind) + " " + subject + " was refused: " + cd.Name()
}
