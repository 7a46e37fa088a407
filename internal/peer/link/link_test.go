package link_test

import (
	"context"
	"encoding/json"
	"net"
	"testing"
	"time"

	"daisywheel/internal/peer/link"
	"daisywheel/internal/result/code"
	"daisywheel/internal/result/fault"
)

func serve(t *testing.T, address string) *link.Link {
	t.Helper()
	lnk := link.New(link.Config{})
	lnk.Handle("echo", func(_ context.Context, params json.RawMessage) (any, error) { return params, nil })
	lnk.Handle("refuse", func(context.Context, json.RawMessage) (any, error) { return nil, fault.New(code.NotReady, "not here") })
	lnk.Handle("later", func(context.Context, json.RawMessage) (any, error) {
		return nil, fault.NewLater(3*time.Second, code.LogUnavailable, "not now")
	})
	if err := lnk.Listen(address); err != nil {
		t.Fatal(err)
	}
	return lnk
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

// A connection that was reset says nothing of the peer, which may be well.
func TestAskGoesOverANewConnection(t *testing.T) {
	address := freeAddress(t)
	peer := serve(t, address)
	asker := link.New(link.Config{})
	defer asker.Close()
	var got string
	if err := asker.Ask(t.Context(), address, "echo", "one", &got); err != nil || got != "one" {
		t.Fatalf("answer %q, %v", got, err)
	}
	peer.Close()
	peer = serve(t, address)
	defer peer.Close()
	if err := asker.Ask(t.Context(), address, "echo", "two", &got); err != nil || got != "two" {
		t.Errorf("answer %q after the connection has ended, %v", got, err)
	}
}

func TestAskTakesARefusalForAnAnswer(t *testing.T) {
	address := freeAddress(t)
	peer := serve(t, address)
	defer peer.Close()
	asker := link.New(link.Config{})
	defer asker.Close()
	if err := asker.Ask(t.Context(), address, "refuse", nil, nil); fault.CodeOf(err) != code.NotReady {
		t.Errorf("%v, want the peer's refusal", err)
	}
}

func TestRefusalCarriesItsTime(t *testing.T) {
	address := freeAddress(t)
	peer := serve(t, address)
	defer peer.Close()
	asker := link.New(link.Config{})
	defer asker.Close()
	err := asker.Call(t.Context(), address, "later", nil, nil)
	if fault.CodeOf(err) != code.LogUnavailable || fault.WaitOf(err) != 3*time.Second {
		t.Errorf("%v after %s, want the peer's refusal and 3 s", err, fault.WaitOf(err))
	}
}

// A peer behind a cut does not read, so writes to it block, and with them all that
// come after. Each call must end when its time is over.
func TestCallToAPeerThatDoesNotReadEndsInTime(t *testing.T) {
	asker := link.New(link.Config{Dial: func(context.Context, string, string) (net.Conn, error) {
		near, _ := net.Pipe() // its writes block until somebody reads
		return near, nil
	}})
	call := func(params string) <-chan error {
		ended := make(chan error, 1)
		go func() {
			ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
			defer cancel()
			var out string
			ended <- asker.Call(ctx, "peer", "echo", params, &out)
		}()
		return ended
	}
	for _, ended := range []<-chan error{call("one"), call("two"), call("three")} {
		select {
		case err := <-ended:
			if fault.CodeOf(err) != code.PlatformError {
				t.Errorf("%v, want an error that leaves the outcome open", err)
			}
		case <-time.After(30 * time.Second):
			t.Fatal("a call goes on long after its time")
		}
	}
}
