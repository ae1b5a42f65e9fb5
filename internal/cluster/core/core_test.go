package core

import (
	"bytes"
	"errors"
	"strings"
	"testing"
	"time"

	"harrierhoist/internal/cluster"
	"harrierhoist/internal/cluster/evidence"
	"harrierhoist/internal/cluster/tables"
)

// A voter that joins after the log was cut short, and one that lags behind it, are sent a snapshot; both then hold all.
func TestJoinerAndLaggardGetASnapshot(t *testing.T) {
	r := newRow(t, 3)
	lead := r.leader()
	lagger := lead.Self().Number%3 + 1
	away := r.cores[lagger]
	delete(r.cores, lagger)
	for i := range uint64(20) {
		r.write(i+1, i)
	}
	if err := lead.Compact(2); err != nil {
		t.Fatal(err)
	}
	r.cores[lagger] = away
	if _, err := lead.Change(member(4), false); err != nil {
		t.Fatal(err)
	}
	r.start(member(4), Life{1, 1}, nil)
	for range 2 * snapshotTicks {
		lead.Tick()
		r.settle()
	}
	want, _ := lead.State().Snapshot()
	for id, c := range r.cores {
		if got, _ := c.State().Snapshot(); !bytes.Equal(got, want) || len(c.Status().Members) != 4 {
			t.Errorf("voter %d holds other tables, or knows %v", id, c.Status().Members)
		}
	}
	if _, err := lead.Change(member(2), true); err != nil && !errors.Is(err, cluster.ErrNotLeader) {
		t.Error(err)
	}
	r.settle()
	r.leader()
}

// A number is never used twice, and the last member stays.
func TestChangesThatAreRefused(t *testing.T) {
	r := newRow(t, 1)
	lead := r.leader()
	for _, c := range []struct {
		m      cluster.Member
		remove bool
		word   string
	}{{member(1), false, "number 1 was given"}, {member(7), true, "no member"}, {member(1), true, "last member"},
		{cluster.Member{Number: 2}, false, "name and an address"},
		{cluster.Member{Number: 2, Name: "x", Address: "a1"}, false, "another member has the address"}} {
		if _, err := lead.Change(c.m, c.remove); err == nil || !strings.Contains(err.Error(), c.word) {
			t.Errorf("%+v: %v", c, err)
		}
	}
}

// A change that comes while another is on its way would be lost without a word.
func TestSecondChangeIsRefusedUntilTheFirstIsApplied(t *testing.T) {
	r := newRow(t, 3)
	lead := r.leader()
	_, first := lead.Change(member(4), false)
	_, second := lead.Change(member(5), false)
	if first != nil || !errors.Is(second, ErrChange) {
		t.Errorf("%v, then %v", first, second)
	}
	r.settle()
	if d := r.done[lead.Self().Number]; len(d.Results) != 1 || d.Results[0].Err != nil {
		t.Errorf("%+v", d)
	}
	if _, err := lead.Change(member(5), false); err != nil {
		t.Errorf("after the first: %v", err)
	}
}

// Disks that were emptied, copied or put back from an older copy, removed members and other installations are refused.
func TestSendersThatAreRefused(t *testing.T) {
	r := newRow(t, 3)
	lead := r.leader()
	lead.Mark()
	r.settle()
	for id, c := range r.cores {
		if m, _ := c.members.find(2); m.Disk != "d2" {
			t.Fatalf("voter %d does not know the disk of number 2", id)
		}
	}
	at := r.cores[lead.Self().Number%3+1]
	from := lead.envelope()
	from.Life = Life{2, 5}
	for _, c := range []struct {
		word string
		make func(*envelope)
	}{{"", func(*envelope) {}}, {"came twice", func(e *envelope) { e.Life.Nonce = 6 }},
		{"earlier life", func(e *envelope) { e.Life = Life{1, 1} }},
		{"another disk", func(e *envelope) { e.From.Disk = "other" }},
		{"another log", func(e *envelope) { e.Club++ }},
		{"says to be number", func(e *envelope) { e.From.Number = at.Self().Number }}} {
		e := from
		c.make(&e)
		b, _ := e.bytes()
		_, err := at.Step(b)
		refused := errors.Is(err, ErrRefused) && strings.Contains(err.Error(), c.word)
		if c.word == "" && err != nil || c.word != "" && !refused {
			t.Errorf("%q: %v", c.word, err)
		}
	}
	b, _ := from.bytes()
	for i := range b {
		b[i] ^= 1 << (i % 8)
		if _, err := at.Step(b); !errors.Is(err, ErrRefused) {
			t.Errorf("byte %d flipped: %v", i, err)
		}
		if _, err := at.Step(b[:i]); !errors.Is(err, ErrRefused) {
			t.Errorf("cut at byte %d: %v", i, err)
		}
		b[i] ^= 1 << (i % 8)
	}
}

// A disk that begins later than it should, or ends before what it had committed, does not go unseen.
func TestSpoiltRecordsAreRefused(t *testing.T) {
	r := newRow(t, 1)
	for i := range uint64(3) {
		r.write(i+1, i)
	}
	whole := r.disks[1]
	for name, records := range map[string][][]byte{"one missing": append(append([][]byte{}, whole[:2]...), whole[3:]...),
		"not ours": {[]byte("x")}, "no beginning": whole[len(whole)-1:]} {
		if c, err := Start(member(1), Life{2, 1}, nil, records, 1); !errors.Is(err, ErrSpoilt) {
			t.Errorf("%s: %v, %v", name, c != nil, err)
		}
	}
	if c, err := Start(member(1), Life{2, 1}, nil, whole, 1); err != nil || c.Status().Members[0].Number != 1 {
		t.Error(err)
	}
}

// Reads share one confirmation, and one that waits ends only after another.
func TestReadsShareAConfirmation(t *testing.T) {
	r := newRow(t, 1)
	r.write(1, 0)
	c := r.leader()
	q, answers := NewReads(c), 0
	turn := func(now time.Duration) {
		for ready, ok, _ := c.Ready(); ok; ready, ok, _ = c.Ready() {
			done, _ := c.Done(ready)
			q.Done(done, now)
		}
	}
	was := c.seq
	for range 100 {
		q.Add(&Reader{Answer: func(f map[string]tables.Entry) { answers += len(f) }}, 0)
	}
	late := false
	q.Add(&Reader{Known: map[string]uint64{"plan": 1}, Until: time.Second,
		Answer: func(f map[string]tables.Entry) { late = len(f) == 0 }}, 0)
	turn(0)
	if answers != 100 || c.seq-was > 2 || late {
		t.Errorf("%d answers for %d confirmations, late %v", answers, c.seq-was, late)
	}
	q.Tick(time.Second)
	turn(time.Second)
	if !late || len(q.waiting) != 0 {
		t.Error("the read did not end with its wait")
	}
}

// What one voter passes on is taken once, by the leader of the term that it was meant for.
func TestSumsGoToOneLeader(t *testing.T) {
	g, lead := NewGather("v2", 1), NewGather("v1", 1)
	tell := func(n uint64) {
		g.Take([]evidence.Digest{{Process: "g", Serial: n, Counts: map[string]uint64{"n": 10 * n}}})
	}
	lead.Lead(4)
	tell(1)
	for i := range uint64(3) {
		tell(i + 2)
		d := g.Pass(4)
		lead.TakeOver(d)
		lead.TakeOver(d)
	}
	lead.TakeOver(g.Pass(3))
	if got := lead.Sums()["n"]; got != 20 {
		t.Errorf("sum %d, not 20", got)
	}
	if lead.Lead(5); lead.Sums()["n"] != 0 {
		t.Error("sums of an earlier term stay")
	}
}
