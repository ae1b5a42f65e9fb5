package policy

import (
	"slices"
	"testing"
)

// recordingActor records the text messages that it receives and calls onText, if set, with each.
type recordingActor struct {
	mailbox
	received []string
	onText   func(text string)
}

func (a *recordingActor) receive(m message) {
	text, _ := m.(string)
	a.received = append(a.received, text)
	if a.onText != nil {
		a.onText(text)
	}
}

// Guards against an actor that never runs again after a call of deliver within deliver.
func TestDeliver_nestedDeliveryStallsNoActor(t *testing.T) {
	var s scheduler
	first, second := &recordingActor{}, &recordingActor{}
	first.onText = func(text string) {
		if text == "a" {
			s.send(first, "b")
			s.deliver()
			s.send(second, "c")
			s.send(first, "d")
		}
	}
	s.send(first, "a")
	s.deliver()
	s.send(second, "e")
	s.send(first, "f")
	s.deliver()
	if want := []string{"a", "b", "d", "f"}; !slices.Equal(first.received, want) {
		t.Errorf("the first actor received %q, want %q", first.received, want)
	}
	if want := []string{"c", "e"}; !slices.Equal(second.received, want) {
		t.Errorf("the second actor received %q, want %q", second.received, want)
	}
	if len(s.runnable) != 0 || s.next != 0 {
		t.Errorf("%d actors are still runnable, the next index is %d; want none and 0", len(s.runnable), s.next)
	}
}
