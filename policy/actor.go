package policy

// actor is a part of the module with a mailbox of its own.
type actor interface {
	receive(message)
	box() *mailbox
}

// mailbox holds the messages that its actor has not processed yet, and the space of those that it
// has.
type mailbox struct{ pending, spare []message }

func (m *mailbox) box() *mailbox { return m }

// scheduler lets actors with messages work, in the order in which the first message came to each.
type scheduler struct {
	runnable []actor
	next     int // the first of them that has not worked
}

func (s *scheduler) send(to actor, m message) {
	box := to.box()
	box.pending = append(box.pending, m)
	if len(box.pending) == 1 {
		s.runnable = append(s.runnable, to)
	}
}

// deliver runs until no mailbox holds a message. An actor processes what had come when its turn
// began; what comes meanwhile waits for its next turn.
func (s *scheduler) deliver() {
	for s.next < len(s.runnable) {
		a := s.runnable[s.next]
		s.next++
		box := a.box()
		batch := box.pending
		box.pending = box.spare[:0]
		box.spare = nil
		for _, m := range batch {
			a.receive(m)
		}
		clear(batch)
		box.spare = batch
	}
	clear(s.runnable)
	s.runnable = s.runnable[:0]
	s.next = 0
}
