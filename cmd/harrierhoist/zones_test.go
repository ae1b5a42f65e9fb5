package main

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"harrierhoist/internal/testing/fakes"
)

// zoneAttempts records the zones in which each request had an attempt, in order.
type zoneAttempts struct {
	mu    sync.Mutex
	zones map[string][]string // by request ID
}

// startServer starts a server of a zone and returns its entry in an endpoint list. It fails the first
// attempt of every third request after it has run.
func (z *zoneAttempts) startServer(t *testing.T, name, zone string) (host string) {
	t.Helper()
	served := 0
	server := fakes.NewServer(t, func(words []string) string {
		z.mu.Lock()
		defer z.mu.Unlock()
		id := words[2]
		z.zones[id] = append(z.zones[id], zone)
		if len(z.zones[id]) > 1 {
			return fakes.FormatValue("hello", 1)
		}
		if served++; served%3 == 0 {
			return "-ERR failed\r\n"
		}
		return fakes.FormatValue("hello", 1)
	})
	return strings.Replace(fakes.FormatHost(name, server.Addr, "in_service"), "hall-a", zone, 1)
}

// check wants no request in two zones, and repeats inside the zone of the first attempt.
func (z *zoneAttempts) check(t *testing.T) {
	t.Helper()
	z.mu.Lock()
	defer z.mu.Unlock()
	repeats := map[string]int{}
	for id, zones := range z.zones {
		for _, zone := range zones[1:] {
			if zone != zones[0] {
				t.Errorf("keyed request %s had attempts in zones %v", id, zones)
			}
			repeats[zone]++
		}
	}
	if repeats["hall-a"] == 0 || repeats["hall-c"] == 0 {
		t.Errorf("repeats by zone: %v, want some in hall-a and hall-c", repeats)
	}
}

// Guards against keyed requests that run twice: the zone of a server that the settings at the start
// did not name was taken for the first zone, before, during and after a reload that names it.
func TestReload_keyedRequestStaysInItsZone(t *testing.T) {
	attempts := &zoneAttempts{zones: map[string][]string{}}
	hosts := []string{
		attempts.startServer(t, "s-a1", "hall-a"), attempts.startServer(t, "s-a2", "hall-a"),
		attempts.startServer(t, "s-c1", "hall-c"), attempts.startServer(t, "s-c2", "hall-c"),
		attempts.startServer(t, "s-d1", "hall-d"), attempts.startServer(t, "s-d2", "hall-d"),
	}
	gateway := startGateway(t, 1024, answerHello)
	byZone := strings.Replace(gateway.configuration(), `"Group":"cell","WindowMs":1000`,
		`"Group":"zone","WindowMs":4000`, 1)
	named := strings.Replace(byZone, `"Dcs":["hall-a"]`, `"Dcs":["hall-c","hall-a"]`, 1)
	gateway.reload(byZone, reloadLine)
	gateway.discovery.Publish(true, hosts...)
	for _, next := range []string{named, byZone, named} {
		attempts.sendKeyed(gateway, 60)
		gateway.reload(next, reloadLine)
	}
	attempts.sendKeyed(gateway, 60)
	attempts.check(t)
}

// sendKeyed sends keyed requests one after the other. Each is answered, whatever with.
func (z *zoneAttempts) sendKeyed(gateway *gatewayUnderTest, count int) {
	gateway.Helper()
	client := gateway.connect()
	for range count {
		id := nextRequestID()
		client.send(fakes.FormatCommand("SVC.SUBMIT", "00000000b4d65521", id,
			fmt.Sprintf("c=hold,t=wide,d=4800,k=%s,units=1", id), "body"))
		if _, err := client.readAnswer(); err != nil {
			gateway.Fatal(err)
		}
		time.Sleep(2 * time.Millisecond)
	}
}
