package faultinjection

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"harrierhoist/internal/testing/fakes"
	"harrierhoist/internal/testing/subprocess"
)

// Gateway is a gateway's process.
type Gateway struct {
	*subprocess.Process
	Zone, Addr, ConfigPath string

	mu           sync.Mutex
	runningSince time.Time // before, it may have been paused, down or ending
	isDown       bool
}

// Config is what an environment is made of.
type Config struct {
	Zones           []string
	ServersPerZone  int
	GatewaysPerZone int
	ServiceTime     time.Duration // of a request at a server
	MaxConcurrent   int           // requests at once at a server
}

// Environment is what a scenario runs in: zones with servers and gateways, a counter, discovery and
// clients. Everything ends with its test, and errors of the environment fail it.
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

// NewEnvironment starts servers, counter and discovery, and makes the gateways, which Start starts.
func NewEnvironment(t *testing.T, program string, config Config) *Environment {
	t.Helper()
	counter, err := NewCounter()
	must(t, err)
	t.Cleanup(counter.Close)
	discovery, err := NewDiscovery()
	must(t, err)
	t.Cleanup(discovery.Close)
	env := &Environment{
		T: t, Folder: t.TempDir(), Program: program, Zones: config.Zones, Counter: counter, Discovery: discovery,
		Recorder: NewRecorder(config.Zones),
	}
	env.Clients = NewClients(env.Recorder, env.mustAnswer)
	t.Cleanup(env.Clients.Close)
	for _, zone := range config.Zones {
		env.addServers(zone, config)
	}
	for i, zone := range config.Zones {
		env.addGateways(i, zone, config)
	}
	return env
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

func (env *Environment) addServers(zone string, config Config) {
	env.T.Helper()
	for i := range config.ServersPerZone {
		name := fmt.Sprintf("%s-s%d", zone, i)
		server, err := NewServer(name, zone, config.ServiceTime, config.MaxConcurrent, env.Recorder)
		must(env.T, err)
		env.T.Cleanup(server.Close)
		env.Servers = append(env.Servers, server)
		env.Discovery.Publish(server, inService, time.Time{})
	}
}

func (env *Environment) addGateways(zoneIndex int, zone string, config Config) {
	env.T.Helper()
	for i := range config.GatewaysPerZone {
		name := fmt.Sprintf("%s-g%d", zone, i)
		g := &Gateway{Zone: zone, Addr: FreeAddr(env.T), ConfigPath: filepath.Join(env.Folder, name+".json")}
		text := env.gatewayConfig(gatewayIdentity{
			name: name, addr: g.Addr, number: len(env.Gateways), zone: zoneIndex,
			total: len(config.Zones) * config.GatewaysPerZone,
		})
		must(env.T, os.WriteFile(g.ConfigPath, text, 0o600))
		g.Process = subprocess.NewProcess(env.Program, name, "RELAY_CONFIG="+g.ConfigPath)
		env.T.Cleanup(g.Kill)
		env.Gateways = append(env.Gateways, g)
	}
}

// Start starts gateways, and waits until they are ready.
func (env *Environment) Start(gateways ...*Gateway) {
	env.T.Helper()
	for _, g := range gateways {
		must(env.T, g.Start())
	}
	for _, g := range gateways {
		fakes.Eventually(env.T, g.Name+" ready", func() bool { return subprocess.IsReady(g.Addr) })
		g.setDown(false)
	}
}

// mustAnswer reports whether the gateway at an address has been running since a time.
func (env *Environment) mustAnswer(addr string, since time.Time) bool {
	for _, g := range env.Gateways {
		if g.Addr == addr {
			g.mu.Lock()
			defer g.mu.Unlock()
			return !g.isDown && g.runningSince.Before(since)
		}
	}
	return true
}

func (g *Gateway) setDown(down bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.isDown = down
	g.runningSince = time.Now()
}

// Kill ends the gateway at once.
func (g *Gateway) Kill() {
	g.setDown(true)
	g.Process.Kill()
}

// Pause stops the gateway until Resume.
func (g *Gateway) Pause() {
	g.setDown(true)
	g.Signal(syscall.SIGSTOP)
}

// Resume lets the gateway go on.
func (g *Gateway) Resume() {
	g.Signal(syscall.SIGCONT)
	g.setDown(false)
}

// GatewaysIn returns the gateways of a zone.
func (env *Environment) GatewaysIn(zone string) (gateways []*Gateway) {
	for _, g := range env.Gateways {
		if g.Zone == zone {
			gateways = append(gateways, g)
		}
	}
	return gateways
}

// hideZone has one gateway look for the servers of a zone at an address where nobody answers. It
// gets a discovery of its own, so that the others see nothing of it.
func (env *Environment) hideZone(g *Gateway, zone string) {
	env.T.Helper()
	discovery, err := NewDiscovery()
	must(env.T, err)
	env.T.Cleanup(discovery.Close)
	unreachable := FreeAddr(env.T)
	for _, s := range env.Servers {
		listed := Server{Name: s.Name, Zone: s.Zone, Addr: s.Addr}
		if s.Zone == zone {
			listed.Addr = unreachable
		}
		discovery.Publish(&listed, inService, time.Time{})
	}
	text, err := os.ReadFile(g.ConfigPath)
	must(env.T, err)
	text = bytes.Replace(text, []byte(env.Discovery.Addr), []byte(discovery.Addr), 1)
	must(env.T, os.WriteFile(g.ConfigPath, text, 0o600))
	g.Signal(syscall.SIGHUP)
}

// SetZoneBehavior changes how all servers of a zone behave. Those that were down and are healthy
// now are listed as just started.
func (env *Environment) SetZoneBehavior(zone string, behavior Behavior) {
	env.T.Helper()
	for _, s := range env.Servers {
		if s.Zone != zone {
			continue
		}
		previous := s.Behavior()
		must(env.T, s.SetBehavior(behavior))
		if previous == Down && behavior == Healthy {
			env.Discovery.Publish(s, inService, time.Now())
		}
	}
}
