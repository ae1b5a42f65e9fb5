package countingrule

import (
	"testing"
	"time"

	"harrierhoist/policy"
)

// Guards against memory that grows with the number of new customers while two rules may be in force.
func TestAdmission_floodOfNewKeysIsBounded(t *testing.T) {
	const maxKeys = 100
	plan := policy.Plan{Rate: 1, Burst: 2}
	admission := NewAdmission(1)
	admission.SetMaxKeys(maxKeys)
	admission.Reset(1)
	now := time.Hour
	admits := func(key uint64) bool {
		reservation := admission.Reserve(Assignment{Key: key, Weight: 1}, plan, 1, now)
		admitted, _ := admission.HandleCount(reservation, 0, false)
		return admitted
	}
	for key := range uint64(10 * maxKeys) {
		if got, want := admits(key), key < maxKeys; got != want {
			t.Fatalf("key %d admitted: %v, want %v: no earlier key is full again", key, got, want)
		}
	}
	if !admits(7) || admits(7) {
		t.Error("a key that is kept must be admitted up to its burst, and no further")
	}
	now += time.Second // all keys but 7 are full again
	for key := range uint64(10 * maxKeys) {
		admits(1_000 + key)
	}
	if !admits(7) || admits(7) {
		t.Error("a key that was not full was discarded, and started with its whole burst")
	}
	if len(admission.keys) > maxKeys {
		t.Errorf("the state of %d keys is kept, at most %d is allowed", len(admission.keys), maxKeys)
	}
}
