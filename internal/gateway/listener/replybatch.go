package listener

import (
	"iter"
	"sync"
)

// replyBatch collects the replies to consecutive commands that are not admitted, while they wait for
// the answers before them. Its size depends on how often the replies differ and not on their number,
// which has no bound during a drain. It is safe for concurrent use.
type replyBatch struct {
	mu      sync.Mutex
	replies replies
	isTaken bool
}

// replies is a sequence of replies, in which equal ones that follow each other are counted.
type replies []equalReplies

type equalReplies struct {
	line  string
	count int
}

// reply answers a command that is not admitted with a line, after all earlier answers. Only the
// reading goroutine may call it.
func (c *client) reply(line string) {
	if c.lastReplies != nil && c.lastReplies.add(line) {
		return
	}
	pipelineID := c.nextAnswer()
	c.lastReplies = newReplyBatch(line)
	go c.writeReplies(pipelineID, c.lastReplies)
}

// writeReplies writes a batch of replies after all earlier answers.
func (c *client) writeReplies(pipelineID uint, batch *replyBatch) {
	c.pipeline.StartResponse(pipelineID)
	replies := batch.take()
	c.writeAnswers(pipelineID, replies.count(), func() error { return c.conn.WriteLines(replies.lines()) })
	c.returnTokens(replies.count())
}

// newReplyBatch returns a batch of one reply.
func newReplyBatch(line string) *replyBatch { return &replyBatch{replies: replies{{line, 1}}} }

// add appends a reply. It returns false if the batch has been taken.
func (b *replyBatch) add(line string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.isTaken {
		return false
	}
	if last := &b.replies[len(b.replies)-1]; last.line == line {
		last.count++
	} else {
		b.replies = append(b.replies, equalReplies{line, 1})
	}
	return true
}

// take returns all replies, and makes add return false.
func (b *replyBatch) take() replies {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.isTaken = true
	return b.replies
}

// count returns the number of replies.
func (r replies) count() (total int) {
	for _, equal := range r {
		total += equal.count
	}
	return total
}

// lines returns the replies in their order.
func (r replies) lines() iter.Seq[string] {
	return func(yield func(string) bool) {
		for _, equal := range r {
			for range equal.count {
				if !yield(equal.line) {
					return
				}
			}
		}
	}
}
