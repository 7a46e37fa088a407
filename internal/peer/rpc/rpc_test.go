package rpc_test

import (
	"context"
	"encoding/json"
	"net"
	"testing"
	"time"

	"daisywheel/internal/kernel/crash"
	"daisywheel/internal/peer/rpc"
	"daisywheel/internal/result/code"
	"daisywheel/internal/result/fault"
)

func serve(t *testing.T, address string) *rpc.Endpoint {
	t.Helper()
	ept := rpc.New(rpc.Config{})
	ept.Handle("echo", func(_ context.Context, params json.RawMessage) (any, error) { return params, nil })
	ept.Handle("refuse", func(context.Context, json.RawMessage) (any, error) { return nil, fault.New(code.NotReady, "not here") })
	ept.Handle("later", func(context.Context, json.RawMessage) (any, error) {
		return nil, fault.NewRetryAfter(3*time.Second, code.LogUnavailable, "not now")
	})
	if err := ept.Listen(address); err != nil {
		t.Fatal(err)
	}
	return ept
}

func freeAddress(t *testing.T) string {
	t.Helper()
	lsn, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = lsn.Close() }()
	return lsn.Addr().String()
}

// A broken connection does not mean that the peer is down, so the call is repeated
// over a new one.
func TestCallIdempotentRetriesOverNewConnection(t *testing.T) {
	address := freeAddress(t)
	peer := serve(t, address)
	client := rpc.New(rpc.Config{})
	defer client.Close()
	var got string
	if err := client.CallIdempotent(t.Context(), address, "echo", "one", &got); err != nil || got != "one" {
		t.Fatalf("reply %q, %v", got, err)
	}
	peer.Close()
	peer = serve(t, address)
	defer peer.Close()
	if err := client.CallIdempotent(t.Context(), address, "echo", "two", &got); err != nil || got != "two" {
		t.Errorf("reply %q after the connection was closed, %v", got, err)
	}
}

// A panic in the handler of a call ended the process. The caller gets an error, and calls go on.
func TestPanicInAHandlerIsAnError(t *testing.T) {
	address := freeAddress(t)
	crashed := make(chan string, 1)
	peer := rpc.New(rpc.Config{OnCrash: func(method string, crs *crash.Crash) { crashed <- method + ": " + crs.Error() }})
	peer.Handle("odd", func(context.Context, json.RawMessage) (any, error) { panic("odd message") })
	peer.Handle("echo", func(_ context.Context, params json.RawMessage) (any, error) { return params, nil })
	if err := peer.Listen(address); err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	client := rpc.New(rpc.Config{})
	defer client.Close()
	var got string
	if err := client.Call(t.Context(), address, "odd", "x", &got); fault.CodeOf(err) != code.OutcomeUnknown {
		t.Errorf("call with a panic: %v, want outcomeUnknown", err)
	}
	if line := <-crashed; line != "odd: panic: odd message" {
		t.Errorf("crash %q", line)
	}
	if err := client.Call(t.Context(), address, "echo", "one", &got); err != nil || got != "one" {
		t.Errorf("reply %q after a panic, %v", got, err)
	}
}

// An error that the peer returns is its reply.
func TestCallIdempotentReturnsRefusalOfPeer(t *testing.T) {
	address := freeAddress(t)
	peer := serve(t, address)
	defer peer.Close()
	client := rpc.New(rpc.Config{})
	defer client.Close()
	if err := client.CallIdempotent(t.Context(), address, "refuse", nil, nil); fault.CodeOf(err) != code.NotReady {
		t.Errorf("%v, want the peer's refusal", err)
	}
}

func TestRefusalCarriesRetryTime(t *testing.T) {
	address := freeAddress(t)
	peer := serve(t, address)
	defer peer.Close()
	client := rpc.New(rpc.Config{})
	defer client.Close()
	err := client.Call(t.Context(), address, "later", nil, nil)
	if fault.CodeOf(err) != code.LogUnavailable || fault.RetryAfterOf(err) != 3*time.Second {
		t.Errorf("%v, retry after %s; want the peer's refusal and 3 s", err, fault.RetryAfterOf(err))
	}
}

// A peer that the network has cut off does not read, so a write to it blocks, and all
// later writes with it. Each call must still end when its context does.
func TestCallToBlockedPeerEndsWithContext(t *testing.T) {
	client := rpc.New(rpc.Config{Dial: func(context.Context, string, string) (net.Conn, error) {
		near, _ := net.Pipe() // writes block, because nothing reads the other end
		return near, nil
	}})
	call := func(params string) <-chan error {
		ended := make(chan error, 1)
		go func() {
			ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
			defer cancel()
			var out string
			ended <- client.Call(ctx, "peer", "echo", params, &out)
		}()
		return ended
	}
	for _, ended := range []<-chan error{call("one"), call("two"), call("three")} {
		select {
		case err := <-ended:
			if fault.CodeOf(err) != code.PlatformError {
				t.Errorf("%v, want a platform error, since the outcome is unknown", err)
			}
		case <-time.After(30 * time.Second):
			t.Fatal("a call has not returned long after its context ended")
		}
	}
}
