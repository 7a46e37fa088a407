package server

import (
	"context"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"daisywheel/internal/request/attempt"
	"daisywheel/internal/request/router"
	"daisywheel/internal/result/code"
	"daisywheel/internal/result/fault"
)

// execute acquires a slot, sends the request, and retries if that is safe. The slot
// stays in use until the backend server's reply has ended.
func (srv *Server) execute(req *http.Request, service string, deadline time.Time, body []byte) (*attempt.Reply, error) {
	tkt, err := srv.nod.Dispatcher().Acquire(req.Context(), service, deadline)
	if err != nil {
		return nil, err
	}
	srv.retryBudget.Deposit()
	var known failure
	for try := 1; ; try++ {
		rpy, outcome, cause := srv.sendAttempt(req, tkt.VM(), body)
		if outcome == attempt.Answered {
			srv.releaseAfterReply(tkt, rpy)
			return rpy, nil
		}
		known = known.add(outcome, cause)
		if !srv.mayRetry(req, outcome, try) {
			srv.nod.Dispatcher().Release(tkt, resultOf(outcome))
			return nil, known.fault()
		}
		srv.count("retries", service, code.OK)
		if err := srv.nod.Dispatcher().Retry(req.Context(), tkt, resultOf(outcome)); err != nil {
			if known.mayHaveRun() {
				return nil, known.fault()
			}
			return nil, err
		}
	}
}

// resultOf returns the result of a failed attempt for the dispatcher.
func resultOf(outcome attempt.Outcome) router.Result {
	return router.Result{
		IsFailure:   outcome != attempt.Refused,
		IsAbandoned: outcome == attempt.MaybeRan || outcome == attempt.ReplyTruncated,
	}
}

// failure is what is known of a request after its failed attempts so far. Once an
// attempt may have run, later attempts do not replace it, because the request may
// have run whatever their outcome.
type failure struct {
	outcome attempt.Outcome
	cause   error
}

func (flr failure) add(outcome attempt.Outcome, cause error) failure {
	if flr.mayHaveRun() {
		return flr
	}
	return failure{outcome: outcome, cause: cause}
}

func (flr failure) mayHaveRun() bool {
	return flr.outcome == attempt.MaybeRan || flr.outcome == attempt.ReplyTruncated
}

func (flr failure) fault() error { return faultOf(flr.outcome, flr.cause) }

// sendAttempt sends the request once. The attempt continues if the caller
// disconnects, so that the slot is not reused while the backend server still works
// on the request.
func (srv *Server) sendAttempt(req *http.Request, vm string, body []byte) (*attempt.Reply, attempt.Outcome, error) {
	address, ok := srv.nod.AddressOf(vm)
	if !ok {
		return nil, attempt.NotSent, errors.Newf("VM %s is not known", vm)
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(req.Context()), srv.nod.Settings().AttemptTimeout)
	rqt := attempt.Request{
		Address: address, Method: req.Method, URL: req.URL, Host: req.Host, Header: forwardedHeader(req), Body: body,
	}
	rpy, outcome, err := srv.nod.Sender().Send(ctx, rqt)
	if rpy == nil || rpy.Rest == nil {
		cancel()
		return rpy, outcome, err
	}
	rpy.Rest = &cancelBody{ReadCloser: rpy.Rest, cancel: cancel}
	return rpy, outcome, err
}

// mayRetry reports whether another attempt is safe and allowed by the retry budget.
func (srv *Server) mayRetry(req *http.Request, outcome attempt.Outcome, try int) bool {
	isSafe := outcome == attempt.NotSent || outcome == attempt.Refused || isIdempotent(req.Method)
	return isSafe && try < maxAttempts && srv.retryBudget.TryWithdraw()
}

// releaseAfterReply releases the slot now, or when the body of a large reply has
// been closed. A reply with a 5xx status counts as a failure of the VM.
func (srv *Server) releaseAfterReply(tkt *router.Ticket, rpy *attempt.Reply) {
	res := router.Result{IsFailure: rpy.Status >= http.StatusInternalServerError}
	if rpy.Rest == nil {
		srv.nod.Dispatcher().Release(tkt, res)
		return
	}
	rpy.Rest = &releaseBody{ReadCloser: rpy.Rest, release: func(isComplete bool) {
		res.IsAbandoned = !isComplete
		srv.nod.Dispatcher().Release(tkt, res)
	}}
}

func faultOf(outcome attempt.Outcome, cause error) error {
	switch outcome {
	case attempt.NotSent:
		return fault.New(code.ConnectFailed, "%v", cause)
	case attempt.Refused:
		return fault.New(code.BackendRefused, "the backend server refused")
	case attempt.ReplyTruncated:
		return fault.New(code.ReplyCut, "%v", cause)
	}
	return fault.New(code.OutcomeUnknown, "%v", cause)
}

// forwardedHeader returns the caller's header without the hop-by-hop fields, and
// with the caller's address in X-Forwarded-For.
func forwardedHeader(req *http.Request) http.Header {
	out := req.Header.Clone()
	for _, field := range out["Connection"] {
		for _, name := range strings.Split(field, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range []string{
		"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
		"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", deadlineHeader,
	} {
		out.Del(name)
	}
	if host, _, err := net.SplitHostPort(req.RemoteAddr); err == nil {
		out.Add("X-Forwarded-For", host)
	}
	return out
}
