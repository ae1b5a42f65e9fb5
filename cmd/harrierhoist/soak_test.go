package main

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"harrierhoist/internal/testing/fakes"
	"harrierhoist/internal/testing/subprocess"
)

// Seeds that the soak plays, from the first on. By hand: go test ./cmd/harrierhoist -run TestSoak_
// -soak.seeds 50
var (
	soakFirst = flag.Uint64("soak.first", 1, "first seed of the soak")
	soakSeeds = flag.Uint64("soak.seeds", 9, "number of seeds of the soak")
)

const (
	soakServers         = 3
	soakClients         = 12 // of each gateway
	soakLoadTime        = 2500 * time.Millisecond
	soakAtOnce          = 2 // runs side by side
	soakDiscoveryOutage = 600 * time.Millisecond
	slowAnswer          = 250 * time.Millisecond
	longestBatch        = 48 // requests that a client writes at once
)

// The ways in which a server of the soak answers.
const (
	serverServes int32 = iota
	serverHangs
	serverResets
	serverDrains
	serverIsSlow
)

// soakServer is a fake server, and how it answers now.
type soakServer struct {
	*fakes.Server
	name string
	mode atomic.Int32
}

// soakGateway is a process under test, and when it got its signals.
type soakGateway struct {
	*gatewayUnderTest
	termAt, killAt atomic.Pointer[time.Time]
}

// soak is one run, drawn from its seed.
type soak struct {
	*testing.T
	random   *rand.Rand // of the run's own goroutine
	ledger   *soakLedger
	servers  []*soakServer
	gateways []*soakGateway
	isPolled bool
	longest  time.Duration // deadline of all classes
	crowd    soakCrowd
}

// TestSoak_keepsEveryRuleOnEachSeed runs gateways under load and trouble, then through SIGTERM to
// SIGKILL at its earliest, and holds what clients and servers saw against the rules.
func TestSoak_keepsEveryRuleOnEachSeed(t *testing.T) {
	places := make(chan struct{}, soakAtOnce)
	for seed := *soakFirst; seed < *soakFirst+max(*soakSeeds/raceSlowdown, 1); seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			places <- struct{}{}
			defer func() { <-places }()
			s := newSoak(t, seed)
			s.play(seed%3 == 0)
			faults := s.ledger.faults()
			t.Logf("%d requests, polled %v, deadline %v, %d gateways, %s", len(s.ledger.requests), s.isPolled,
				s.longest, len(s.gateways), s.crowd)
			if len(faults) > 0 {
				t.Errorf("%d faults; alone: go test ./cmd/harrierhoist -run TestSoak_ -soak.first %d -soak.seeds 1\n%s",
					len(faults), seed,
					strings.Join(faults[:min(len(faults), 10)], "\n"))
			}
		})
	}
}

// newSoak starts the servers and gateways of a seed.
func newSoak(t *testing.T, seed uint64) *soak {
	t.Helper()
	s := &soak{
		T: t, random: rand.New(rand.NewPCG(seed, 0)), ledger: newSoakLedger(), crowd: drawSoakCrowd(seed),
	}
	s.isPolled = s.random.IntN(2) == 0
	deadlines := []time.Duration{
		150 * time.Millisecond, 400 * time.Millisecond, time.Second, 3 * time.Second,
		9 * time.Second,
	}
	s.longest = deadlines[s.random.IntN(len(deadlines))]
	var hosts []string
	for i := range soakServers {
		server := &soakServer{name: fmt.Sprintf("s-%d", i+1)}
		server.Server = fakes.NewServer(t, func(words []string) string { return s.answer(server, words) })
		s.servers = append(s.servers, server)
		hosts = append(hosts, server.host("in_service"))
	}
	discovery, counter := fakes.NewDiscovery(t, hosts...), fakes.NewCounter(t)
	drainCalls(t, counter)
	sockets := []int{96, 256, 1024}[s.random.IntN(3)]
	for range 1 + s.random.IntN(3) {
		g := &soakGateway{gatewayUnderTest: &gatewayUnderTest{
			T: t, addr: loopbackAddress(), configPath: configFile(t), discovery: discovery, counter: counter,
		}}
		text := fmt.Sprintf(configurationTemplate, g.addr, discovery.Addr, counter.Addr, sockets, "null")
		text = strings.ReplaceAll(text, `"DeadlineMs":9000`, `"DeadlineMs":`+milliseconds(s.longest))
		if s.isPolled {
			text = strings.ReplaceAll(text, `"Discovery":"push"`, `"Discovery":"ask"`)
		}
		g.process, g.log = startWithConfiguration(t, g.configPath, text)
		s.gateways = append(s.gateways, g)
	}
	for _, g := range s.gateways {
		fakes.Eventually(t, "ready at "+g.addr, func() bool { return subprocess.IsReady(g.addr) })
	}
	return s
}

func (server *soakServer) host(health string) string {
	return fakes.FormatHost(server.name, server.Addr, health)
}

// answer enters an attempt into the ledger, and answers it as its server does now.
func (s *soak) answer(server *soakServer, words []string) string {
	attempt, mode := soakAttempt{id: words[2], server: server.name, at: time.Now()}, server.mode.Load()
	for _, parameter := range strings.Split(words[3], ",") {
		if text, ok := strings.CutPrefix(parameter, "d="); ok {
			attempt.remaining, _ = time.ParseDuration(text + "ms")
		}
	}
	attempt.isTurnedAway = mode == serverDrains
	s.ledger.addAttempt(attempt)
	switch mode {
	case serverHangs:
		return ""
	case serverResets:
		return fakes.CloseConn
	case serverDrains:
		return "-BUSY\r\n"
	case serverIsSlow:
		time.Sleep(slowAnswer)
	}
	time.Sleep(time.Duration(words[2][15]%16) * time.Millisecond)
	return fakes.FormatValue("hello", 1)
}

// play runs load and trouble, then ends the gateways one after the other.
func (s *soak) play(isCrowded bool) {
	var clients sync.WaitGroup
	for _, g := range s.gateways {
		for i := range soakClients {
			c := &soakClient{
				soak: s, gateway: g, random: rand.New(rand.NewPCG(s.random.Uint64(), uint64(i))),
				kind: soakKind(i) % soakKinds,
			}
			clients.Go(c.run)
		}
		if isCrowded {
			for range 60 {
				g.crowd(s.T)
			}
		}
	}
	stopCrowd := s.crowd.start(s)
	defer stopCrowd()
	s.trouble()
	for _, g := range s.gateways {
		s.terminate(g)
	}
	clients.Wait()
	for _, g := range s.gateways {
		_ = g.process.Wait() // killed or by itself: the ledger tells which matters
		if strings.Contains(g.log.String(), "panic:") {
			s.Errorf("a crash: %s", g.log)
		}
	}
}

// crowd opens a connection that stays idle; it may be closed at once.
func (g *soakGateway) crowd(t *testing.T) {
	t.Helper()
	if conn, err := net.Dial("tcp", g.addr); err == nil {
		t.Cleanup(func() { _ = conn.Close() })
	}
}
