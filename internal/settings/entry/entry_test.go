package entry

import (
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
)

const good = `name: e1
zone: z1
vm: vm-e1
callerAddress: 127.0.0.1:7001
operatorAddress: 127.0.0.1:7002
peerAddress: 127.0.0.1:7003
operatorToken: 0123456789abcdef
logService: http://127.0.0.1:8080
vmList: http://127.0.0.1:8081
`

func TestGoodSettings(t *testing.T) {
	ent, err := Parse([]byte(good))
	if err != nil {
		t.Fatal(err)
	}
	if cfg := ent.Config(); cfg.Name != "e1" || !cfg.IsLendingEnabled || cfg.AttemptTimeout != defaultAttemptTimeout {
		t.Errorf("got %+v", cfg)
	}
}

// Parse must report all faults at once, each with its line.
func TestFaultsAreReportedTogether(t *testing.T) {
	bad := strings.Replace(good, "name: e1", "name: e 1", 1)
	bad = strings.Replace(bad, "127.0.0.1:7002", "localhost", 1)
	bad = strings.Replace(bad, "0123456789abcdef", "short", 1)
	bad += "attemptTimeout: soon\nbodyBytes: -5\nlendnig: true\nzone: z2\n"
	_, err := Parse([]byte(bad))
	if err == nil {
		t.Fatal("invalid settings were accepted")
	}
	goldie.New(t).Assert(t, "faults", []byte(strings.ReplaceAll(err.Error(), "; ", "\n")+"\n"))
}

// FuzzSettings checks that Parse accepts or refuses any input without a panic.
func FuzzSettings(f *testing.F) {
	f.Add([]byte(good))
	f.Add([]byte("[]"))
	f.Add([]byte("name: [\n"))
	f.Fuzz(func(_ *testing.T, data []byte) {
		_, _ = Parse(data)
	})
}
