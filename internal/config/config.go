package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"harrierhoist/policy"
)

// Gateway is what a gateway on sockets is told at its start, and again on SIGHUP.
type Gateway struct {
	Name, Listen, Discovery, Counter string

	Seed     int64
	Cores    float64
	MemoryMB int
	Sockets  int

	Settings       policy.Settings
	Zones, Kinds   []string      // their names; the module knows them by their places
	ConnectTimeout time.Duration // a connection not up by then is none
	IdleTimeout    time.Duration // servers close what stands idle so long

	KnownEndpoints json.RawMessage // the servers as last had, in discovery's form
}

// What lies beyond these is a slip, and could stand in for all of the machine.
const (
	maxCores    = 1 << 16
	maxMemoryMB = 1 << 30 // megabytes
)

// Read reads the configuration file. Errors name the file, the key and what is allowed there, in one line.
func Read(path string) (*Gateway, error) {
	if path == "" {
		return nil, errors.New("no configuration file is named (RELAY_CONFIG)")
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

// KeepRestartOnly takes from an earlier configuration what only a restart can change, and gives the keys of what differed.
func (gateway *Gateway) KeepRestartOnly(previous *Gateway) (keys []string) {
	keep := func(key string, same bool, take func()) {
		if !same {
			keys = append(keys, key)
			take()
		}
	}
	settings, previousSettings := &gateway.Settings, &previous.Settings
	keep("name", gateway.Name == previous.Name, func() { gateway.Name = previous.Name })
	keep("listen", gateway.Listen == previous.Listen, func() { gateway.Listen = previous.Listen })
	keep("seed", gateway.Seed == previous.Seed, func() { gateway.Seed = previous.Seed })
	keep("limits", gateway.Cores == previous.Cores && gateway.MemoryMB == previous.MemoryMB && gateway.Sockets == previous.Sockets, func() {
		gateway.Cores, gateway.MemoryMB, gateway.Sockets = previous.Cores, previous.MemoryMB, previous.Sockets
	})
	keep("settings.Dcs", slices.Equal(gateway.Zones, previous.Zones), func() {
		gateway.Zones, settings.Zones, settings.MyZone = previous.Zones, previousSettings.Zones, previousSettings.MyZone
	})
	keep("settings.Models", slices.Equal(gateway.Kinds, previous.Kinds), func() { gateway.Kinds = previous.Kinds })
	keep("settings.Report.Fields", slices.Equal(settings.LoadReportFields, previousSettings.LoadReportFields), func() { settings.LoadReportFields = previousSettings.LoadReportFields })
	keep("settings.PolicyLimits.ConnectTimeoutMs", gateway.ConnectTimeout == previous.ConnectTimeout, func() { gateway.ConnectTimeout = previous.ConnectTimeout })
	keep("settings.PolicyLimits.IdleCloseMs", gateway.IdleTimeout == previous.IdleTimeout, func() { gateway.IdleTimeout = previous.IdleTimeout })
	return keys
}

func parse(text []byte) (*Gateway, error) {
	var file struct {
		Name, Listen, Discovery, Counter, Seed string

		Limits struct {
			Cores    float64
			MemoryMB int `json:"memory_mb"`
			Sockets  int
		}
		Known    json.RawMessage
		Settings map[string]any
	}
	if err := json.Unmarshal(text, &file); err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	for name, value := range map[string]string{"listen": file.Listen, "discovery": file.Discovery, "counter": file.Counter} {
		_, port, err := net.SplitHostPort(value)
		if err == nil {
			_, err = net.LookupPort("tcp", port)
		}
		if err != nil && (value != "" || name != "counter") {
			return nil, fmt.Errorf("configuration: %s: host:port is wanted: %w", name, err)
		}
	}
	if file.Limits.Sockets <= 0 {
		return nil, fmt.Errorf("configuration: limits.sockets: a whole number above 0 is wanted, not %d", file.Limits.Sockets)
	}
	if c := file.Limits.Cores; c < 0 || c > maxCores {
		return nil, fmt.Errorf("configuration: limits.cores: a number from 0 (not told) to %d is wanted, not %g", maxCores, c)
	}
	if m := file.Limits.MemoryMB; m < 0 || m > maxMemoryMB {
		return nil, fmt.Errorf("configuration: limits.memory_mb: a whole number from 0 (not told) to %d is wanted, not %d",
			maxMemoryMB, m)
	}
	var known struct{ Hosts []json.RawMessage }
	if len(file.Known) > 0 && json.Unmarshal(file.Known, &known) != nil {
		return nil, errors.New("configuration: known: a list in discovery's form is wanted, an object with hosts, or null")
	}
	seed, err := strconv.ParseUint(file.Seed, 16, 64)
	if err != nil {
		return nil, fmt.Errorf("configuration: seed: 16 hex digits are wanted, not %q", file.Seed)
	}
	values := &Values{byPath: map[string]string{}}
	values.flatten("", file.Settings)
	values.Require("PolicyLimits.ConnectTimeoutMs", "PolicyLimits.IdleCloseMs")
	values.RequireRange("PolicyLimits.ConnectTimeoutMs", minPositive, maxFigure) // with none a connection could come up for ever
	values.RequireRange("PolicyLimits.IdleCloseMs", 0, maxFigure)
	gateway := &Gateway{Name: file.Name, Listen: file.Listen, Discovery: file.Discovery, Counter: file.Counter,
		Seed: int64(seed), Cores: file.Limits.Cores, MemoryMB: file.Limits.MemoryMB,
		Sockets: file.Limits.Sockets, Zones: values.List("Dcs"), Kinds: values.List("Models"),
		ConnectTimeout: Milliseconds(values.Number("PolicyLimits.ConnectTimeoutMs")),
		IdleTimeout:    Milliseconds(values.Number("PolicyLimits.IdleCloseMs")),
		KnownEndpoints: file.Known}
	gateway.Settings, err = ReadSettings(values)
	if err == nil {
		if unfit := gateway.Settings.Validate(); unfit != nil {
			err = fmt.Errorf("settings: RequestClasses, TiersOfService: %w", unfit)
		}
	}
	if err == nil && gateway.Settings.HasCounter && gateway.Counter == "" {
		err = errors.New("configuration: counter: host:port is wanted where the settings have a counter")
	}
	return gateway, err
}

// flatten lays nested JSON out as the lines do: plain values by path, plain lists joined by commas, lists of
// objects by count and place.
func (values *Values) flatten(path string, value any) {
	under := func(key string) string { return strings.TrimPrefix(path+"."+key, ".") }
	switch v := value.(type) {
	case map[string]any:
		for key, inner := range v {
			values.flatten(under(key), inner)
		}
	case []any:
		var plain []string
		for i, inner := range v {
			if _, object := inner.(map[string]any); object {
				values.flatten(under(strconv.Itoa(i)), inner)
			} else {
				plain = append(plain, fmt.Sprint(inner))
			}
		}
		values.byPath[under("count")] = strconv.Itoa(len(v))
		values.byPath[path] = strings.Join(plain, ",")
	case float64:
		values.byPath[path] = strconv.FormatFloat(v, 'g', -1, 64)
	case nil:
	default:
		values.byPath[path] = fmt.Sprint(v)
	}
}
