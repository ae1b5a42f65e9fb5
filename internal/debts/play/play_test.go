package play

import (
	"fmt"
	"testing"
	"time"

	"harrierhoist/internal/debts"
)

// world is three partners with a hall each, of which the first is lost for a while.
func world(seed uint64) World {
	terms := debts.Default()
	terms.On = true
	for i := range 3 {
		from := uint64(i+1) << 16
		terms.Partners = append(terms.Partners, debts.Partner{Name: string(rune('a' + i)), Halls: []string{fmt.Sprintf("hall-%d", i)},
			Customers: []string{fmt.Sprintf("%016x-%016x", from, from+0xffff)}})
	}
	return World{Seed: seed, Terms: terms, Partners: 3, Gateways: 2, Rate: 100, Pure: 0.6, Servers: 9, Calm: 30 * time.Second,
		Out: 60 * time.Second, After: 240 * time.Second, Settle: true}
}

func TestLook(t *testing.T) {
	for seed := range uint64(3) {
		w := world(seed)
		r := Play(w)
		w.Settle = false
		o := Play(w)
		t.Logf("%+v\n%+v", r, o)
	}
}
