package numbering

import (
	"fmt"
	"testing"
)

func TestOf_configuredNamesHaveTheirIndex(t *testing.T) {
	n := New([]string{"hall-a", "hall-b"})
	for want, name := range []string{"hall-a", "hall-b"} {
		if got := n.Of(name); got != want || !n.IsConfigured(got) {
			t.Errorf("%s has number %d, want %d, configured", name, got, want)
		}
	}
}

// Guards against a zone that is taken for another: no two of 10,000 unknown names have one number,
// and none has that of a configured name.
func TestOf_unknownNamesHaveNumbersOfTheirOwn(t *testing.T) {
	n := New([]string{"hall-a", "hall-b"})
	names := map[int]string{0: "hall-a", 1: "hall-b"}
	for i := range 10_000 {
		name := fmt.Sprintf("hall-%d", i)
		number := n.Of(name)
		if other, taken := names[number]; taken || n.IsConfigured(number) {
			t.Fatalf("%s has the number %d of %s", name, number, other)
		}
		names[number] = name
	}
}

// Gateways whose settings differ, as while operators change them, number a zone that neither knows
// alike.
func TestOf_unknownNameHasOneNumberAtAllGateways(t *testing.T) {
	before, after := New([]string{"hall-a"}), New([]string{"hall-b", "hall-a"})
	if a, b := before.Of("hall-c"), after.Of("hall-c"); a != b || a != (Numbering{}).Of("hall-c") {
		t.Errorf("hall-c has the numbers %d and %d", a, b)
	}
}
