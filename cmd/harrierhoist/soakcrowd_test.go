package main

import (
	"bufio"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"time"
)

const (
	soakFloodSenders = 2 // to each gateway
	soakSlowClients  = 40
	// soakUntilAgain is the time from a client's close to the repeat of its request.
	soakUntilAgain = 250 * time.Millisecond
)

// soakCrowd is what other clients do in a run, beside those whose requests are judged.
type soakCrowd struct {
	flood, slow string // names of a flood and of a slow crowd; empty: none
}

// drawSoakCrowd draws the crowd of a seed: of three seeds, one has a flood, one slow clients, one neither.
func drawSoakCrowd(seed uint64) (crowd soakCrowd) {
	random := rand.New(rand.NewPCG(seed, 1))
	switch seed % 3 {
	case 1:
		names := slices.DeleteFunc(slices.Sorted(maps.Keys(floodCases())), func(name string) bool {
			return floodCases()[name].isShort
		})
		crowd.flood = names[random.IntN(len(names))]
	case 2:
		names := slices.Sorted(maps.Keys(slowCases()))
		crowd.slow = names[random.IntN(len(names))]
	}
	return crowd
}

func (c soakCrowd) String() string { return fmt.Sprintf("flood %q, slow clients %q", c.flood, c.slow) }

// start starts the crowd at each gateway, and returns a function that ends it.
func (c soakCrowd) start(s *soak) (stop func()) {
	var stops []func()
	for _, g := range s.gateways {
		if flood, ok := floodCases()[c.flood]; ok {
			flood.senders = soakFloodSenders
			stops = append(stops, flood.start(s.T, g.addr).stop)
		}
		if slow, ok := slowCases()[c.slow]; ok {
			slow.clients = soakSlowClients
			stops = append(stops, slow.start(s.T, g.addr).stop)
		}
	}
	return func() {
		for _, stop := range stops {
			stop()
		}
	}
}

// repeatID sends a request that must not run twice, leaves before its answer, and sends it again on a new
// connection, unless the gateway is about to end by then.
func (c *soakClient) repeatID(conn net.Conn) {
	first := c.newRequest()
	first.verb = "SVC.SUBMIT"
	command := first.command()
	first.sentAt = time.Now()
	_, err := io.WriteString(conn, command)
	time.Sleep(time.Duration(c.random.IntN(40)) * time.Millisecond)
	_ = conn.Close()
	first.leftAt = time.Now()
	if err != nil {
		return
	}
	defer c.enter(first, nil)
	time.Sleep(soakUntilAgain)
	again, err := net.Dial("tcp", c.gateway.addr)
	if err != nil || c.gateway.termAt.Load() != nil {
		return
	}
	defer func() { _ = again.Close() }()
	first.repeatedAt = time.Now()
	c.sendAgain(again, first, command)
}

// sendAgain sends the request once more and reads its answer.
func (c *soakClient) sendAgain(conn net.Conn, first *soakRequest, command string) {
	second := &soakRequest{id: first.id, verb: first.verb, deadline: first.deadline, isRepeat: true, sentAt: time.Now()}
	_ = conn.SetReadDeadline(second.sentAt.Add(c.longest + 5*time.Second))
	if _, err := io.WriteString(conn, command); err != nil {
		return
	}
	answer, end := readSoakAnswer(bufio.NewReader(conn))
	if end == nil {
		second.answer, second.answeredAt = answer, time.Now()
	}
	c.enter(second, end)
}
