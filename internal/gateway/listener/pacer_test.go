package listener

import (
	"testing"
	"time"
)

func TestPacer_spreadsWorkOverTime(t *testing.T) {
	t.Parallel()
	var p pacer
	now := time.Now()
	for i := range 4 {
		if got, want := p.reserve(now, time.Millisecond), time.Duration(i)*time.Millisecond; got != want {
			t.Errorf("reservation %d: wait %v, want %v", i, got, want)
		}
	}
	later := now.Add(time.Second)
	if got := p.reserve(later, time.Millisecond); got != 0 {
		t.Errorf("after a quiet second: wait %v, want none", got)
	}
}

// Guards against a pause that grows with the length of a flood whose clients do not wait for it.
func TestPacer_waitIsBounded(t *testing.T) {
	t.Parallel()
	var p pacer
	now := time.Now()
	for range 100_000 {
		if wait := p.reserve(now, connectionLossCost); wait > maxPace {
			t.Fatalf("wait %v, at most %v is allowed", wait, maxPace)
		}
	}
	if wait := p.reserve(now.Add(maxPace), replyCost); wait > 0 {
		t.Errorf("after the flood: wait %v", wait)
	}
}

// A front takes a gateway in by its answer to PING, also while other clients flood it.
func TestPacer_firstPingIsAnsweredWithoutDelay(t *testing.T) {
	t.Parallel()
	f := newFixture(t, 0).start()
	f.MarkReady()
	f.pacer.freeAt = time.Now().Add(time.Minute)
	client := f.dial()
	began := time.Now()
	client.send(pingCommand)
	client.wantAnswer(`\+PONG`)
	if took := time.Since(began); took > time.Second {
		t.Errorf("answered after %v", took)
	}
}
