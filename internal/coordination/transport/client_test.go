package transport

import (
	"bufio"
	"io"
	"maps"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"harrierhoist/internal/coordination/observation"
	"harrierhoist/internal/coordination/statemachine"
)

// Each call reaches the voter, and its result comes back.
func TestClient_callsReachTheVoter(t *testing.T) {
	voter := newFakeVoter()
	address, client := startServer(t, voter)
	err := client.Digests(t.Context(), address, []observation.Digest{newDigest(5)})
	if err != nil || !maps.Equal(voter.digests[0].Counts, newDigest(5).Counts) {
		t.Error(err, voter.digests)
	}
	write := statemachine.Command{
		Kind: statemachine.Write, Proposer: "p/1", Number: 1, Table: "plan", Value: []byte("x"),
	}
	read := make(chan map[string]statemachine.Table)
	go func() { // it waits for the write
		found, groupID, err := client.Read(t.Context(), address, map[string]uint64{"plan": 0}, 5*time.Second)
		if err != nil || string(groupID) != "g" {
			t.Error(err)
		}
		read <- found
	}()
	if result, err := client.Propose(t.Context(), address, write); err != nil || !result.Applied || result.Epoch != 1 {
		t.Error(result, err)
	}
	if table := (<-read)["plan"]; table.Epoch != 1 || string(table.Value) != "x" {
		t.Errorf("read %+v", table)
	}
	known := map[string]uint64{"plan": 1}
	if found, _, err := client.Read(t.Context(), address, known, time.Millisecond); err != nil || len(found) > 0 {
		t.Errorf("read %v, %v", found, err)
	}
	if info, err := client.Info(t.Context(), address); err != nil || info.Name != "v7" || !info.Started {
		t.Error(info, err)
	}
}

// The errors that both ends know come through a call as themselves.
func TestClient_errorsOfTheVoterAreKnown(t *testing.T) {
	voter := newFakeVoter()
	address, client := startServer(t, voter)
	write := statemachine.Command{Kind: statemachine.Write, Proposer: "p/1", Number: 1, Table: "plan"}
	for word, known := range wireErrors {
		t.Run(word, func(t *testing.T) {
			voter.err = known
			if _, err := client.Propose(t.Context(), address, write); !isSame(err, known) {
				t.Errorf("a proposal gives %v", err)
			}
			if _, _, err := client.Read(t.Context(), address, nil, 0); !isSame(err, known) {
				t.Errorf("a read gives %v", err)
			}
		})
	}
}

// A connection that breaks after a proposal was read: the caller must get an error, as it may be
// written, and it must not be sent again unseen.
func TestClient_proposalIsNotRetried(t *testing.T) {
	listener := listen(t)
	var calls atomic.Int32
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			if request, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = io.ReadAll(request.Body)
				if calls.Add(1)%2 == 1 { // the first is answered, so that its connection is used again
					_, _ = io.WriteString(conn, "HTTP/1.1 503 no\r\nContent-Length: 0\r\n\r\n")
					_, _ = http.ReadRequest(bufio.NewReader(conn))
					calls.Add(1)
				}
			}
			_ = conn.Close()
		}
	}()
	client := newTestClient(t)
	for range 2 {
		command := statemachine.Command{Kind: statemachine.Write, Proposer: "p", Number: 1, Table: "t"}
		if _, err := client.Propose(t.Context(), listener.Addr().String(), command); err == nil {
			t.Error("it counts as written")
		}
	}
	if n := calls.Load(); n != 2 {
		t.Errorf("sent %d times, not 2", n)
	}
}
