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

// Gateway is the configuration of one gateway. It is read at start and again on SIGHUP.
type Gateway struct {
	Name string

	Listen, Discovery, Counter string // addresses as host:port; Counter is empty if there is no counter

	Seed           int64   // seed of all of the gateway's random numbers
	Cores          float64 // number of CPU cores that the process may use; 0 means no limit
	MemoryMB       int     // memory that the process may use, in units of 1<<20 bytes; 0 means no limit
	MaxDescriptors int     // number of file descriptors that the process may hold

	Settings            policy.Settings
	Zones, ServerModels []string      // names of zones and of server models; policy refers to both by index
	ConnectTimeout      time.Duration // limit for opening a connection to a server or the counter
	IdleTimeout         time.Duration // time after which servers close an idle connection

	KnownEndpoints json.RawMessage // endpoint list of an earlier run in discovery's format; may be empty or null
}

// A seed is written as a 64-bit hexadecimal number.
const (
	seedBase = 16
	seedBits = 64
)

// Upper bounds of limits.cores and limits.memory_mb. A greater value is assumed to be a typing
// error, because it would not limit anything.
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

// Read reads and validates the configuration file at path. The text of an error is a single line
// that names the file and, for a wrong value, its key and the values allowed there.
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

// RetainRestartOnly copies the values that only a restart can change from the previous
// configuration to g. It returns the keys whose values differed.
func (g *Gateway) RetainRestartOnly(previous *Gateway) (keys []string) {
	retain := func(key string, unchanged bool, restore func()) {
		if !unchanged {
			keys = append(keys, key)
			restore()
		}
	}
	settings := &g.Settings
	oldSettings := &previous.Settings
	sameLimits := g.Cores == previous.Cores && g.MemoryMB == previous.MemoryMB &&
		g.MaxDescriptors == previous.MaxDescriptors
	retain("name", g.Name == previous.Name, func() { g.Name = previous.Name })
	retain("listen", g.Listen == previous.Listen, func() { g.Listen = previous.Listen })
	retain("seed", g.Seed == previous.Seed, func() { g.Seed = previous.Seed })
	retain("limits", sameLimits, func() {
		g.Cores = previous.Cores
		g.MemoryMB = previous.MemoryMB
		g.MaxDescriptors = previous.MaxDescriptors
	})
	retain("settings.Dcs", slices.Equal(g.Zones, previous.Zones), func() {
		g.Zones = previous.Zones
		settings.Zones = oldSettings.Zones
		settings.GatewayZone = oldSettings.GatewayZone
	})
	retain("settings.Models", slices.Equal(g.ServerModels, previous.ServerModels),
		func() { g.ServerModels = previous.ServerModels })
	retain("settings.Report.Fields", slices.Equal(settings.LoadReportFields, oldSettings.LoadReportFields), func() {
		settings.LoadReportFields = oldSettings.LoadReportFields
	})
	retain("settings.PolicyLimits.ConnectTimeoutMs", g.ConnectTimeout == previous.ConnectTimeout, func() {
		g.ConnectTimeout = previous.ConnectTimeout
	})
	retain("settings.PolicyLimits.IdleCloseMs", g.IdleTimeout == previous.IdleTimeout, func() {
		g.IdleTimeout = previous.IdleTimeout
	})
	return keys
}

// file is the layout of a configuration file. It is an alias of an unnamed type and has as few tags
// as possible, because encoding/json prints the type of a value that it cannot decode: a type name
// or another tag would change the error messages that operators see.
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
		MaxDescriptors: content.Limits.Sockets,
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

// readSettings reads and validates the object under the file's key "settings".
func (g *Gateway) readSettings(nested map[string]any) error {
	values := newValues()
	values.flatten("", nested)
	values.Require("PolicyLimits.ConnectTimeoutMs", "PolicyLimits.IdleCloseMs")
	values.RequireRange("PolicyLimits.ConnectTimeoutMs", minDurationMs, maxNumber) // for net.Dialer, 0 is no timeout
	values.RequireRange("PolicyLimits.IdleCloseMs", 0, maxNumber)
	g.Zones = values.List("Dcs")
	g.ServerModels = values.List("Models")
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
