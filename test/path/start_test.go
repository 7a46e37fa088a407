package path

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"daisywheel/internal/standin/site"
)

// slowConn is a connection whose answers are late.
type slowConn struct{ net.Conn }

func (cnn slowConn) Read(data []byte) (int, error) {
	count, err := cnn.Conn.Read(data)
	time.Sleep(300 * time.Millisecond)
	return count, err
}

// Guards against a site whose start ends as soon as one entry knows the VMs: another one, which is behind in the log,
// answered the first requests with noBackend, or was cut off for good without VMs.
func TestSiteStartsOnceEveryEntryServes(t *testing.T) {
	ste, err := site.Start(site.Config{Plan: smallPlan(2), Seed: 1, Dial: func(ctx context.Context, entry, network, address string) (net.Conn, error) {
		var dlr net.Dialer
		cnn, err := dlr.DialContext(ctx, network, address)
		if err == nil && entry == "z1-e2" {
			cnn = slowConn{cnn}
		}
		return cnn, err
	}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(ste.Stop)
	for entry := range 2 {
		if rsp, body := send(t, ste, entry, http.MethodPost, "first", ""); rsp.StatusCode != http.StatusOK {
			t.Errorf("entry %d: %d %s", entry, rsp.StatusCode, body)
		}
	}
}
