package main

import (
	"syscall"
	"testing"
	"time"
)

func TestIdleClient_isClosedInTime(t *testing.T) {
	gateway := startGateway(t, 1024, answerHello)
	idle, incomplete, active := gateway.connect(), gateway.connect(), gateway.connect()
	incomplete.send("*4\r\n$9\r\nSVC.Q")
	active.query(queryList, "hello")
	idle.wantClosed()
	incomplete.wantClosed()
	active.query(queryList, "hello")
}

func TestIdleClients_floodTakesNoConnectionFromOthers(t *testing.T) {
	gateway := startGateway(t, 40, answerHello) // eight connections
	c := gateway.connect()
	for range 5 {
		c.query(queryList, "hello")
		for range 20 {
			gateway.connect()
		}
	}
	if gateway.log.Count("listener: accept failed") > 0 {
		t.Error(gateway.log)
	}
}

func TestDisconnect_releasesTheConnection(t *testing.T) {
	gateway := startGateway(t, 1024, func([]string) string { return "" })
	for range 3 {
		c := gateway.connect()
		c.send(submitCommand(""))
		gateway.server.NextCommand(t)
		_ = c.Close()
	}
	gateway.signal(syscall.SIGTERM)
	gateway.waitForCleanExit() // with nobody to answer, it need not wait for the server
}

func TestClients_moreThanConnections(t *testing.T) {
	gateway := startGateway(t, 40, answerHello) // eight connections
	var idle []*client
	for range 30 {
		c := gateway.connect()
		c.query(queryList, "hello")
		idle = append(idle, c)
	}
	idle[0].wantClosed() // it was idle longest
}

func TestIdleClients_areClosedBeforeAllConnectionsAreTaken(t *testing.T) {
	gateway := startGateway(t, 40, answerHello) // eight connections, and clients hold no more than they may
	var connected []*client
	for range 6 {
		c := gateway.connect()
		c.query(queryList, "hello")
		connected = append(connected, c)
	}
	_ = connected[0].SetDeadline(time.Now().Add(5 * time.Second)) // as idle as that, it would be closed later still
	connected[0].wantClosed()
}

func TestIncompleteClients_blockNobody(t *testing.T) {
	gateway := startGateway(t, 40, answerHello) // eight connections
	for i := range 9 {
		if c := gateway.connect(); i%2 == 0 {
			c.send("*4\r\n$9\r\nSVC.Q")
		}
	}
	for range 8 {
		c := gateway.connect()
		c.query(longQueryList, "hello")
	}
}
