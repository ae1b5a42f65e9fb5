package main

import (
	"strings"
	"syscall"
	"testing"
	"time"
)

func TestIdleClient_isClosedInTime(t *testing.T) {
	gateway := startGateway(t, 1024, answerHello)
	mum, half, stays := gateway.connect(), gateway.connect(), gateway.connect()
	half.send("*4\r\n$9\r\nSVC.Q")
	stays.send(queryCommand("c=look,t=wide,d=4800"))
	stays.want("hello")
	mum.wantClosed()
	half.wantClosed()
	stays.send(queryCommand("c=look,t=wide,d=4800"))
	stays.want("hello")
}

func TestIdleClients_floodTakesNoConnectionFromOthers(t *testing.T) {
	gateway := startGateway(t, 40, answerHello) // eight places
	c := gateway.connect()
	for range 5 {
		c.send(queryCommand("c=look,t=wide,d=4800"))
		c.want("hello")
		for range 20 {
			gateway.connect()
		}
	}
	if strings.Count(gateway.log.String(), "listener: accept failed") > 0 {
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
	_ = gateway.process.Process.Signal(syscall.SIGTERM)
	if err := gateway.process.Wait(); err != nil { // with nobody to answer, it need not wait for the server
		t.Errorf("ended with %v: %s", err, gateway.log)
	}
}

func TestClients_moreThanConnections(t *testing.T) {
	gateway := startGateway(t, 40, answerHello) // eight places
	var idle []*client
	for range 30 {
		c := gateway.connect()
		c.send(queryCommand("c=look,t=wide,d=4800"))
		c.want("hello")
		idle = append(idle, c)
	}
	idle[0].wantClosed() // it stood idle longest
}

func TestIdleClients_areClosedBeforeAllConnectionsAreTaken(t *testing.T) {
	gateway := startGateway(t, 40, answerHello) // eight places, and clients hold no more than they may
	var stay []*client
	for range 6 {
		c := gateway.connect()
		c.send(queryCommand("c=look,t=wide,d=4800"))
		c.want("hello")
		stay = append(stay, c)
	}
	_ = stay[0].SetDeadline(time.Now().Add(5 * time.Second)) // as idle as that, it would be closed later still
	stay[0].wantClosed()
}

func TestIncompleteClients_blockNobody(t *testing.T) {
	gateway := startGateway(t, 40, answerHello) // eight places
	for i := range 9 {
		if c := gateway.connect(); i%2 == 0 {
			c.send("*4\r\n$9\r\nSVC.Q")
		}
	}
	for range 8 {
		c := gateway.connect()
		c.send(queryCommand("c=look,t=wide,d=9000"))
		c.want("hello")
	}
}
