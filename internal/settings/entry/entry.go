// Package entry reads and validates the settings of one entry process.
package entry

import (
	"fmt"
	"net"
	"net/url"
	"os"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"

	"daisywheel/internal/pool/row"
	"daisywheel/internal/result/code"
	"daisywheel/internal/result/fault"
)

// Defaults and limits of the settings.
const (
	defaultBodyBytes      = 1 << 20
	defaultBufferedBytes  = 32 << 20
	defaultAttemptTimeout = 15 * time.Second
	defaultBodyTimeout    = 10 * time.Second
	defaultDrainTimeout   = 30 * time.Second
	defaultBalancerDelay  = 2 * time.Second
	maxBalancerDelay      = time.Minute
	minTokenLen           = 16
	maxBufferBytes        = 1 << 30
)

// Config holds every setting of an entry.
type Config struct {
	Name             string
	Zone             string
	VM               string
	CallerAddress    string
	OperatorAddress  string
	PeerAddress      string
	OperatorToken    string
	LogService       string
	VMList           string
	Peers            []string
	BodyBytes        int64
	BufferedBytes    int64
	AttemptTimeout   time.Duration
	BodyTimeout      time.Duration
	DrainTimeout     time.Duration
	BalancerDelay    time.Duration // between reporting not ready and closing the listener
	IsLendingEnabled bool          // pools may borrow slots of other pools
}

// Entry is a validated set of settings.
type Entry struct {
	cfg Config
}

// New replaces zero limits with the defaults, validates cfg and returns the settings.
// The error is a *fault.Fault that lists all invalid settings.
func New(cfg Config) (Entry, error) {
	fillDefaults(&cfg)
	chk := &checker{}
	chk.check(cfg, func(string) int { return 0 })
	if len(chk.faults) > 0 {
		return Entry{}, fault.New(code.BadSettings, "%s", strings.Join(chk.faults, "; "))
	}
	return Entry{cfg: cfg}, nil
}

func fillDefaults(cfg *Config) {
	if cfg.BodyBytes == 0 {
		cfg.BodyBytes = defaultBodyBytes
	}
	if cfg.BufferedBytes == 0 {
		cfg.BufferedBytes = defaultBufferedBytes
	}
	if cfg.AttemptTimeout == 0 {
		cfg.AttemptTimeout = defaultAttemptTimeout
	}
	if cfg.BodyTimeout == 0 {
		cfg.BodyTimeout = defaultBodyTimeout
	}
	if cfg.DrainTimeout == 0 {
		cfg.DrainTimeout = defaultDrainTimeout
	}
}

// Config returns all settings.
func (ent Entry) Config() Config { return ent.cfg }

// Load reads the file at path. The error lists all faults with their lines.
func Load(path string) (Entry, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Entry{}, fault.Wrap(err, code.BadSettings, "read %s", path)
	}
	return Parse(data)
}

// Parse reads settings from YAML. Unknown keys are faults.
func Parse(data []byte) (Entry, error) {
	var doc yaml.Node
	if err := yaml.Unmarshal(data, &doc); err != nil {
		return Entry{}, fault.Wrap(err, code.BadSettings, "not YAML")
	}
	cfg := Config{IsLendingEnabled: true, BalancerDelay: defaultBalancerDelay}
	chk := &checker{lines: map[string]int{}}
	if len(doc.Content) != 1 || doc.Content[0].Kind != yaml.MappingNode {
		return Entry{}, fault.New(code.BadSettings, "line 1: the file must hold one mapping of settings")
	}
	chk.read(doc.Content[0], &cfg)
	fillDefaults(&cfg)
	chk.check(cfg, func(key string) int { return chk.lines[key] })
	if len(chk.faults) > 0 {
		return Entry{}, fault.New(code.BadSettings, "%s", strings.Join(chk.faults, "; "))
	}
	return Entry{cfg: cfg}, nil
}

// checker collects all faults instead of stopping at the first.
type checker struct {
	faults []string
	lines  map[string]int // line of each key that was read
}

func (chk *checker) addf(line int, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	if line > 0 {
		text = fmt.Sprintf("line %d: %s", line, text)
	}
	chk.faults = append(chk.faults, text)
}

func fieldsByKey(cfg *Config) map[string]any {
	return map[string]any{
		"name": &cfg.Name, "zone": &cfg.Zone, "vm": &cfg.VM,
		"callerAddress": &cfg.CallerAddress, "operatorAddress": &cfg.OperatorAddress,
		"peerAddress": &cfg.PeerAddress, "operatorToken": &cfg.OperatorToken,
		"logService": &cfg.LogService, "vmList": &cfg.VMList, "peers": &cfg.Peers,
		"bodyBytes": &cfg.BodyBytes, "bufferedBytes": &cfg.BufferedBytes,
		"attemptTimeout": &cfg.AttemptTimeout, "bodyTimeout": &cfg.BodyTimeout,
		"drainTimeout": &cfg.DrainTimeout, "balancerDelay": &cfg.BalancerDelay, "lending": &cfg.IsLendingEnabled,
	}
}

func (chk *checker) read(mapping *yaml.Node, cfg *Config) {
	fields := fieldsByKey(cfg)
	for idx := 0; idx+1 < len(mapping.Content); idx += 2 {
		key, value := mapping.Content[idx], mapping.Content[idx+1]
		field, ok := fields[key.Value]
		if !ok {
			chk.addf(key.Line, "unknown key %q, remove it or correct its spelling", key.Value)
			continue
		}
		if _, twice := chk.lines[key.Value]; twice {
			chk.addf(key.Line, "key %q appears twice, remove one", key.Value)
			continue
		}
		chk.lines[key.Value] = key.Line
		if err := value.Decode(field); err != nil {
			chk.addf(value.Line, "%s cannot be %q, give a value like %s", key.Value, value.Value, exampleOf(field))
		}
	}
}

func exampleOf(field any) string {
	switch field.(type) {
	case *time.Duration:
		return "10s"
	case *int64:
		return "1048576"
	case *bool:
		return "true"
	case *[]string:
		return "[10.0.0.2:7003]"
	}
	return "a word"
}

// check adds the faults of cfg. lineOf returns the line of a key, or 0.
func (chk *checker) check(cfg Config, lineOf func(string) int) {
	names := []struct{ key, value string }{{"name", cfg.Name}, {"zone", cfg.Zone}, {"vm", cfg.VM}}
	for _, nam := range names {
		if !row.IsName(nam.value) {
			chk.addf(lineOf(nam.key), "%s is %q, must be 1 to 63 letters, digits, '-' or '_'", nam.key, nam.value)
		}
	}
	addresses := []struct{ key, value string }{
		{"callerAddress", cfg.CallerAddress}, {"operatorAddress", cfg.OperatorAddress}, {"peerAddress", cfg.PeerAddress},
	}
	for _, adr := range addresses {
		if !isAddress(adr.value) {
			chk.addf(lineOf(adr.key), "%s is %q, must be an IP address and a port like 10.0.0.1:7001", adr.key, adr.value)
		}
	}
	for _, peer := range cfg.Peers {
		if !isAddress(peer) {
			chk.addf(lineOf("peers"), "peers has %q, must be an IP address and a port like 10.0.0.2:7003", peer)
		}
	}
	for _, ept := range []struct{ key, value string }{{"logService", cfg.LogService}, {"vmList", cfg.VMList}} {
		if !isBaseURL(ept.value) {
			chk.addf(lineOf(ept.key), "%s is %q, must be like http://10.0.0.9:8080", ept.key, ept.value)
		}
	}
	chk.checkLimits(cfg, lineOf)
}

func (chk *checker) checkLimits(cfg Config, lineOf func(string) int) {
	if len(cfg.OperatorToken) < minTokenLen {
		chk.addf(lineOf("operatorToken"), "operatorToken has %d bytes, must have at least %d", len(cfg.OperatorToken), minTokenLen)
	}
	if cfg.BodyBytes < 1 || cfg.BodyBytes > maxBufferBytes {
		chk.addf(lineOf("bodyBytes"), "bodyBytes is %d, must be 1 to %d", cfg.BodyBytes, maxBufferBytes)
	}
	if cfg.BufferedBytes < cfg.BodyBytes || cfg.BufferedBytes > maxBufferBytes {
		chk.addf(lineOf("bufferedBytes"), "bufferedBytes is %d, must be bodyBytes (%d) to %d", cfg.BufferedBytes, cfg.BodyBytes, maxBufferBytes)
	}
	if cfg.BalancerDelay < 0 || cfg.BalancerDelay > maxBalancerDelay {
		chk.addf(lineOf("balancerDelay"), "balancerDelay is %s, must be 0s to %s", cfg.BalancerDelay, maxBalancerDelay)
	}
	timeouts := []struct {
		key   string
		value time.Duration
	}{{"attemptTimeout", cfg.AttemptTimeout}, {"bodyTimeout", cfg.BodyTimeout}, {"drainTimeout", cfg.DrainTimeout}}
	for _, tmo := range timeouts {
		if tmo.value < 100*time.Millisecond || tmo.value > 10*time.Minute {
			chk.addf(lineOf(tmo.key), "%s is %s, must be 100ms to 10m", tmo.key, tmo.value)
		}
	}
}

func isAddress(value string) bool {
	host, port, err := net.SplitHostPort(value)
	return err == nil && net.ParseIP(host) != nil && port != ""
}

func isBaseURL(value string) bool {
	base, err := url.Parse(value)
	return err == nil && base.Scheme == "http" && base.Host != "" && base.Path == ""
}
