package countingrule

import (
	"testing"
	"time"

	"harrierhoist/policy"
)

// Without an answer from the counter, a gateway admits its equal share of a limit. Settle returns
// units only if they are known to have been charged.
func TestAdmission_usesLocalShareWithoutCounter(t *testing.T) {
	plan := policy.Plan{Rate: 0.1, Burst: 8}
	admission := NewAdmission(4)
	now := WindowAt(7, &plan, time.Hour).Start + time.Second // one second into a window
	admittedCount := 0
	for range 8 {
		reservation := admission.Reserve(Assignment{Key: 7, Weight: 1}, plan, 1, now)
		if admitted, _ := admission.HandleCount(reservation, 0, false); admitted {
			admittedCount++
		}
	}
	if admittedCount != 2 {
		t.Errorf("%d of 8 requests admitted, want 2: a quarter of the limit", admittedCount)
	}
	reservation := admission.Reserve(Assignment{Key: 7, Weight: 3}, plan, 1, now)
	for _, test := range []struct {
		name     string
		admitted bool
		used     float64
		charge   ChargeState
		want     float64
	}{
		{"not known to be charged", false, 0, ChargeUnknown, 0},
		{"charged", false, 0, Charged, -3},
		{"not charged", false, 0, NotCharged, 0},
		{"used more than was reserved", true, 5, Charged, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := admission.Settle(reservation, test.admitted, test.used, test.charge); got != test.want {
				t.Errorf("Settle returned %v, want %v", got, test.want)
			}
		})
	}
}
