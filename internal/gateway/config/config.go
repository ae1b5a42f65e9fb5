package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"slices"
	"strconv"
	"time"

	"harrierhoist/policy"
)

// Gateway is the configuration of one gateway, as it is read at start and again on SIGHUP.
type Gateway struct {
	Name string

	Listen, Discovery, Counter string // host:port; Counter is empty where there is none

	Seed     int64   // of all that the gateway draws at random
	Cores    float64 // CPU cores that it may use; 0: not limited
	MemoryMB int     // megabytes (1<<20 bytes) that it may use; 0: not limited
	Sockets  int     // file descriptors that it may hold

	Settings        policy.Settings
	Zones, Hardware []string      // names of zones and of kinds of server; the module knows both by their indexes
	ConnectTimeout  time.Duration // bounds the setup of a connection to a server or the counter
	IdleTimeout     time.Duration // servers close connections that are idle for so long

	KnownEndpoints json.RawMessage // the endpoint list of an earlier run, in discovery's form; empty or null: none
}

// The form of a seed: 16 hex digits.
const (
	seedBase = 16
	seedBits = 64
)

// Upper bounds of the limits. Greater values are slips, and would stand for all of the machine.
const (
	maxCores    = 1 << 16
	maxMemoryMB = 1 << 30
)

var (
	errNoPath         = errors.New("no configuration file is named (RELAY_CONFIG)")
	errKnownEndpoints = errors.New(
		"configuration: known: a list in discovery's form is wanted, an object with hosts, or null",
	)
	errNoCounter = errors.New("configuration: counter: host:port is wanted where the settings have a counter")
)

// Read reads a configuration file. An error is one line that names the file, the key and the values
// allowed there.
func Read(path string) (*Gateway, error) {
	if path == "" {
		return nil, errNoPath
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err // the error names the file
	}
	gateway, err := parse(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return gateway, nil
}

// RetainRestartOnly takes over from the previous configuration what only a restart can change, and
// returns the keys of what differed.
func (g *Gateway) RetainRestartOnly(previous *Gateway) (keys []string) {
	retain := func(key string, same bool, restore func()) {
		if !same {
			keys = append(keys, key)
			restore()
		}
	}
	settings := &g.Settings
	was := &previous.Settings
	sameLimits := g.Cores == previous.Cores && g.MemoryMB == previous.MemoryMB && g.Sockets == previous.Sockets
	retain("name", g.Name == previous.Name, func() { g.Name = previous.Name })
	retain("listen", g.Listen == previous.Listen, func() { g.Listen = previous.Listen })
	retain("seed", g.Seed == previous.Seed, func() { g.Seed = previous.Seed })
	retain("limits", sameLimits, func() {
		g.Cores = previous.Cores
		g.MemoryMB = previous.MemoryMB
		g.Sockets = previous.Sockets
	})
	retain("settings.Dcs", slices.Equal(g.Zones, previous.Zones), func() {
		g.Zones = previous.Zones
		settings.Zones = was.Zones
		settings.GatewayZone = was.GatewayZone
	})
	retain("settings.Models", slices.Equal(g.Hardware, previous.Hardware), func() { g.Hardware = previous.Hardware })
	retain("settings.Report.Fields", slices.Equal(settings.LoadReportFields, was.LoadReportFields), func() {
		settings.LoadReportFields = was.LoadReportFields
	})
	retain("settings.PolicyLimits.ConnectTimeoutMs", g.ConnectTimeout == previous.ConnectTimeout, func() {
		g.ConnectTimeout = previous.ConnectTimeout
	})
	retain("settings.PolicyLimits.IdleCloseMs", g.IdleTimeout == previous.IdleTimeout, func() {
		g.IdleTimeout = previous.IdleTimeout
	})
	return keys
}

// file is the layout of a configuration file. It is an alias without tags, as a refusal's text
// prints the type of what cannot be decoded: a name or a tag would change the operators' lines.
type file = struct {
	Name, Listen, Discovery, Counter, Seed string

	Limits struct {
		Cores    float64
		MemoryMB int `json:"memory_mb"`
		Sockets  int
	}
	Known    json.RawMessage
	Settings map[string]any
}

func parse(text []byte) (*Gateway, error) {
	var content file
	if err := json.Unmarshal(text, &content); err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	if err := checkAddresses(&content); err != nil {
		return nil, err
	}
	if err := checkLimits(&content); err != nil {
		return nil, err
	}
	var known struct{ Hosts []json.RawMessage }
	if len(content.Known) > 0 && json.Unmarshal(content.Known, &known) != nil {
		return nil, errKnownEndpoints
	}
	seed, err := strconv.ParseUint(content.Seed, seedBase, seedBits)
	if err != nil {
		return nil, fmt.Errorf("configuration: seed: 16 hex digits are wanted, not %q", content.Seed)
	}
	gateway := &Gateway{
		Name:           content.Name,
		Listen:         content.Listen,
		Discovery:      content.Discovery,
		Counter:        content.Counter,
		Seed:           int64(seed),
		Cores:          content.Limits.Cores,
		MemoryMB:       content.Limits.MemoryMB,
		Sockets:        content.Limits.Sockets,
		KnownEndpoints: content.Known,
	}
	if err := gateway.readSettings(content.Settings); err != nil {
		return nil, err
	}
	return gateway, nil
}

func checkAddresses(content *file) error {
	for name, address := range map[string]string{
		"listen": content.Listen, "discovery": content.Discovery, "counter": content.Counter,
	} {
		_, port, err := net.SplitHostPort(address)
		if err == nil {
			_, err = net.LookupPort("tcp", port)
		}
		if err != nil && (address != "" || name != "counter") {
			return fmt.Errorf("configuration: %s: host:port is wanted: %w", name, err)
		}
	}
	return nil
}

func checkLimits(content *file) error {
	limits := &content.Limits
	switch {
	case limits.Sockets <= 0:
		return fmt.Errorf("configuration: limits.sockets: a whole number above 0 is wanted, not %d", limits.Sockets)
	case limits.Cores < 0 || limits.Cores > maxCores:
		return fmt.Errorf(
			"configuration: limits.cores: a number from 0 (not told) to %d is wanted, not %g",
			maxCores,
			limits.Cores,
		)
	case limits.MemoryMB < 0 || limits.MemoryMB > maxMemoryMB:
		return fmt.Errorf("configuration: limits.memory_mb: a whole number from 0 (not told) to %d is wanted, not %d",
			maxMemoryMB, limits.MemoryMB)
	}
	return nil
}

// readSettings reads what stands under the file's key settings.
func (g *Gateway) readSettings(nested map[string]any) error {
	values := newValues()
	values.flatten("", nested)
	values.Require("PolicyLimits.ConnectTimeoutMs", "PolicyLimits.IdleCloseMs")
	values.RequireRange("PolicyLimits.ConnectTimeoutMs", minPositive, maxFigure) // bounds a dial
	values.RequireRange("PolicyLimits.IdleCloseMs", 0, maxFigure)
	g.Zones = values.List("Dcs")
	g.Hardware = values.List("Models")
	g.ConnectTimeout = Milliseconds(values.Number("PolicyLimits.ConnectTimeoutMs"))
	g.IdleTimeout = Milliseconds(values.Number("PolicyLimits.IdleCloseMs"))
	var err error
	g.Settings, err = ReadSettings(values)
	if err != nil {
		return err
	}
	if err := g.Settings.Validate(); err != nil {
		return fmt.Errorf("settings: RequestClasses, TiersOfService: %w", err)
	}
	if g.Settings.HasCounter && g.Counter == "" {
		return errNoCounter
	}
	return nil
}
