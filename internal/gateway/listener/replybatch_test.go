package listener

import (
	"slices"
	"testing"
)

func TestReplyBatch_keepsTheOrder(t *testing.T) {
	batch := newReplyBatch(replyBusy)
	for _, line := range []string{replyBusy, replyPong, replyBusy, replyBusy} {
		if !batch.add(line) {
			t.Fatalf("%s was not added", line)
		}
	}
	replies := batch.take()
	want := []string{replyBusy, replyBusy, replyPong, replyBusy, replyBusy}
	if got := slices.Collect(replies.lines()); !slices.Equal(got, want) || replies.count() != len(want) {
		t.Errorf("got %v, counted %d, want %v", got, replies.count(), want)
	}
	if batch.add(replyBusy) {
		t.Error("added to a batch that was taken")
	}
}

// Guards against memory that grows with the commands behind a request that hangs.
func TestReplyBatch_equalRepliesTakeNoRoom(t *testing.T) {
	batch := newReplyBatch(replyBusy)
	for range 1_000_000 {
		batch.add(replyBusy)
	}
	if replies := batch.take(); len(replies) != 1 || replies.count() != 1_000_001 {
		t.Errorf("%d entries for %d replies, want 1 for 1,000,001", len(replies), replies.count())
	}
}
