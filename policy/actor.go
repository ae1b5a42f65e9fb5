package policy

// actor is a component of the module that processes messages from its own mailbox.
type actor interface {
	receive(message)
	inbox() *mailbox
}

// mailbox holds the messages that its actor has not processed yet. spare is the slice of an earlier
// batch; the next batch reuses its memory.
type mailbox struct{ pending, spare []message }

// inbox returns the mailbox of the actor that embeds it.
func (m *mailbox) inbox() *mailbox { return m }

// scheduler runs the actors that have messages, in the order in which each got its first one.
type scheduler struct {
	runnable []actor
	next     int // index in runnable of the next actor to run
}

// send appends a message to an actor's mailbox. The actor processes it in deliver.
func (s *scheduler) send(to actor, m message) {
	inbox := to.inbox()
	inbox.pending = append(inbox.pending, m)
	if len(inbox.pending) == 1 {
		s.runnable = append(s.runnable, to)
	}
}

// deliver runs actors until every mailbox is empty. In each turn an actor processes the messages
// that were in its mailbox when the turn began; later ones wait for its next turn.
func (s *scheduler) deliver() {
	for s.next < len(s.runnable) {
		a := s.runnable[s.next]
		s.next++
		inbox := a.inbox()
		batch := inbox.pending
		inbox.pending = inbox.spare[:0]
		inbox.spare = nil
		for _, m := range batch {
			a.receive(m)
		}
		clear(batch)
		inbox.spare = batch
	}
	clear(s.runnable)
	s.runnable = s.runnable[:0]
	s.next = 0
}
