package faultinjection

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"harrierhoist/internal/testing/fakes"
)

// Gateway is a gateway's process and where clients reach it.
type Gateway struct {
	*Process
	Zone, Addr, Config string

	mu         sync.Mutex
	awakeSince time.Time // until when it surely stood still, was dead or was ending
	down       bool
}

// Environment is what a story plays in: halls with servers and gateways, a counter, discovery and clients.
type Environment struct {
	T         *testing.T
	Folder    string
	Program   string
	Zones     []string
	Servers   []*Server
	Gateways  []*Gateway
	Counter   *Counter
	Discovery *Discovery
	Clients   *Clients
	Recorder  *Recorder
}

// Config is how large a world is.
type Config struct {
	Zones           []string
	ServersPerZone  int           // in each hall
	GatewaysPerZone int           // in each hall
	ServiceTime     time.Duration // of a task at a server
	MaxConcurrent   int           // tasks at once at a server
	Plans           []any         // in the form of the settings; none: "wide", and "thin" with 10 units a second
	Env             func(gateway string) []string
}

// NewEnvironment starts a world's servers, counter and discovery and makes its gateways, which Start starts.
func NewEnvironment(t *testing.T, program string, config Config) *Environment {
	t.Helper()
	env := &Environment{T: t, Folder: t.TempDir(), Program: program, Zones: config.Zones, Recorder: NewRecorder()}
	env.Recorder.Zones = config.Zones
	must(t, func() (err error) { env.Counter, err = NewCounter(); return err }())
	must(t, func() (err error) { env.Discovery, err = NewDiscovery(); return err }())
	env.Clients = NewClients(env.Recorder, env.mustAnswer)
	t.Cleanup(func() { env.Clients.Close(); env.Counter.Close(); env.Discovery.Close() })
	for _, zone := range config.Zones {
		for i := range config.ServersPerZone {
			server, err := NewServer(fmt.Sprintf("%s-s%d", zone, i), zone, config.ServiceTime, config.MaxConcurrent, env.Recorder)
			must(t, err)
			t.Cleanup(server.Close)
			env.Servers = append(env.Servers, server)
			env.Discovery.Publish(server, "in_service", time.Time{})
		}
	}
	n := 0
	for at, zone := range config.Zones {
		for i := range config.GatewaysPerZone {
			name := fmt.Sprintf("%s-g%d", zone, i)
			g := &Gateway{Zone: zone, Addr: FreeAddr(t), Config: filepath.Join(env.Folder, name+".json")}
			must(t, os.WriteFile(g.Config, env.gatewayConfig(g.Addr, name, n, at, len(config.Zones)*config.GatewaysPerZone, config.Plans), 0o600))
			environ := []string{"RELAY_CONFIG=" + g.Config}
			if config.Env != nil {
				environ = append(environ, config.Env(name)...)
			}
			g.Process = NewProcess(program, name, environ...)
			t.Cleanup(g.Kill)
			env.Gateways = append(env.Gateways, g)
			n++
		}
	}
	return env
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// gatewayConfig is a gateway's configuration.
func (env *Environment) gatewayConfig(addr, name string, number, zone, total int, plans []any) []byte {
	type m = map[string]any
	if plans == nil {
		plans = []any{m{"Name": "wide", "UnitsPerS": 100000, "PeakUnits": 400000},
			m{"Name": "thin", "UnitsPerS": 10, "PeakUnits": 10}}
	}
	class := func(name, effect string) m {
		return m{"Name": name, "AimMs": 1000, "DeadlineMs": 3000, "Effect": effect,
			"Group": "cell", "WindowMs": 1000, "Worth": 1}
	}
	text, err := json.Marshal(m{"name": name, "listen": addr, "discovery": env.Discovery.Addr, "counter": env.Counter.Addr,
		"seed": fmt.Sprintf("%016x", number+1), "limits": m{"cores": 1, "memory_mb": 192, "sockets": 1024},
		"known": json.RawMessage(env.Discovery.FullList()),
		"settings": m{"Balancers": total, "Me": number, "MyZone": zone, "Dcs": env.Zones, "Models": []string{"m"},
			"Discovery":  "push",
			"TickMs":     2,
			"FamilyInfo": m{"HasCounter": true, "CountLimitMs": 200, "Settles": true, "MostUnits": 6},
			"Report":     m{"Fields": []string{}, "How": "off"},
			"PolicyLimits": m{"Cancelling": true, "TryLimit": 6, "RetryAfter": true, "MaxRetryAfterMs": 2000,
				"ConnectTimeoutMs": 250,
				"IdleCloseMs":      30000, "StreamsPerConn": 100},
			"Rules": m{"AnswerSlackMs": 8, "DrainGraceMs": 1000, "ColdFrom": 0.15, "WarmAfterMs": 4000,
				"FallMultiple": 2, "TipAfterMs": 1500},
			"RequestClasses": []any{class("look", "read_like"), class("pay", "non_idempotent")},
			"TiersOfService": plans}})
	must(env.T, err)
	return text
}

// Start starts gateways and waits until they are ready.
func (env *Environment) Start(gateways ...*Gateway) {
	env.T.Helper()
	for _, g := range gateways {
		must(env.T, g.Process.Start())
	}
	for _, g := range gateways {
		fakes.Eventually(env.T, g.Name+" ready", func() bool { return isReady(g.Addr) })
		g.mu.Lock()
		g.awakeSince, g.down = time.Now(), false
		g.mu.Unlock()
	}
}

func isReady(addr string) bool {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return false
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(time.Second))
	_, _ = io.WriteString(c, fakes.FormatCommand("PING"))
	line, _ := bufio.NewReader(c).ReadString('\n')
	return line == "+PONG\r\n"
}

// mustAnswer tells whether the gateway at an address was awake and alive since a time.
func (env *Environment) mustAnswer(addr string, from time.Time) bool {
	for _, g := range env.Gateways {
		if g.Addr == addr {
			g.mu.Lock()
			defer g.mu.Unlock()
			return !g.down && g.awakeSince.Before(from)
		}
	}
	return true
}

func (g *Gateway) setDown(down bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.down, g.awakeSince = down, time.Now()
}

// Kill ends a gateway at once.
func (g *Gateway) Kill() {
	g.setDown(true)
	g.Process.Kill()
}

// Pause lets a gateway stand still until Wake.
func (g *Gateway) Pause() {
	g.setDown(true)
	g.Signal(syscall.SIGSTOP)
}

// Resume lets it go on.
func (g *Gateway) Resume() {
	g.Signal(syscall.SIGCONT)
	g.setDown(false)
}

// GatewaysIn gives the gateways of a hall, or all where it is empty.
func (env *Environment) GatewaysIn(zone string) []*Gateway {
	var all []*Gateway
	for _, g := range env.Gateways {
		if zone == "" || g.Zone == zone {
			all = append(all, g)
		}
	}
	return all
}

// hideZone has a gateway find the servers of a hall at an address where nobody answers; all others find them where they
// are. Its own discovery tells it, so that the others' sees nothing of it.
func (env *Environment) hideZone(g *Gateway, zone string) {
	env.T.Helper()
	d, err := NewDiscovery()
	must(env.T, err)
	env.T.Cleanup(d.Close)
	nobody := FreeAddr(env.T)
	for _, s := range env.Servers {
		is := Server{Name: s.Name, Zone: s.Zone, Addr: s.Addr}
		if s.Zone == zone {
			is.Addr = nobody
		}
		d.Publish(&is, "in_service", time.Time{})
	}
	text, err := os.ReadFile(g.Config)
	must(env.T, err)
	must(env.T, os.WriteFile(g.Config, bytes.Replace(text, []byte(env.Discovery.Addr), []byte(d.Addr), 1), 0o600))
	g.Signal(syscall.SIGHUP)
}

// SetZoneBehavior changes the mood of all servers of a hall; those that come back to life are listed as just started.
func (env *Environment) SetZoneBehavior(zone string, behavior Behavior) {
	env.T.Helper()
	for _, s := range env.Servers {
		if s.Zone == zone {
			was, _ := s.admit(false)
			must(env.T, s.SetBehavior(behavior))
			if was == Down && behavior == Healthy {
				env.Discovery.Publish(s, "in_service", time.Now())
			}
		}
	}
}
