package listener

import (
	"strconv"
	"testing"
	"time"
)

const testKeepTime = 9 * time.Second

func newTestRequestIDs() *requestIDs {
	ids := newRequestIDs(1) // the smallest history
	ids.keepFor(testKeepTime)
	return ids
}

// run begins and ends a request that must not run again, and returns whether it could begin.
func (r *requestIDs) run(now time.Time, id string) idStatus {
	status := r.begin(now, id, true)
	if status == idIsNew {
		r.end(id, true)
	}
	return status
}

func TestRequestIDs_keepsWhatMayHaveRun(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
		forbidsRepeats, mayHaveRun bool
		want                       idStatus
	}{
		"non-idempotent, may have run": {true, true, idIsUsed},
		"non-idempotent, never ran":    {true, false, idIsNew},
		"idempotent":                   {false, true, idIsNew},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ids, now := newTestRequestIDs(), time.Now()
			ids.begin(now, "a", test.forbidsRepeats)
			if got := ids.begin(now, "a", test.forbidsRepeats); got != idIsUsed {
				t.Errorf("in flight: status %d", got)
			}
			ids.end("a", test.mayHaveRun)
			if got := ids.begin(now, "a", test.forbidsRepeats); got != test.want {
				t.Errorf("completed: status %d, want %d", got, test.want)
			}
		})
	}
}

// A flood of IDs takes no more memory than the history has, and pushes none out before its time: what
// could not be kept may not begin.
func TestRequestIDs_areBoundedAndKeptForTheirTime(t *testing.T) {
	t.Parallel()
	ids, now := newTestRequestIDs(), time.Now()
	var begun []string
	for i := range 10 * minHistoryIDs {
		if id := strconv.Itoa(i); ids.run(now, id) == idIsNew {
			begun = append(begun, id)
		}
	}
	if len(begun) != minHistoryIDs {
		t.Errorf("%d requests could begin, want %d", len(begun), minHistoryIDs)
	}
	ids.keepFor(time.Millisecond) // a reload with shorter deadlines
	for _, after := range []time.Duration{0, testKeepTime / 2, testKeepTime} {
		for _, id := range begun {
			if got := ids.run(now.Add(after), id); got != idIsUsed {
				t.Fatalf("ID %s after %v: status %d", id, after, got)
			}
		}
	}
	later := now.Add(testKeepTime + time.Millisecond)
	for i := range minHistoryIDs {
		if got := ids.run(later, "later "+strconv.Itoa(i)); got != idIsNew {
			t.Fatalf("request %d after the time: status %d", i, got)
		}
	}
	if total := len(ids.completed.newer) + len(ids.completed.older); total > idGenerations*minHistoryIDs {
		t.Errorf("%d IDs are kept", total)
	}
}

// A slow stream of IDs is kept for the longer time of a generation, and then forgotten.
func TestRequestIDs_areForgottenInTheEnd(t *testing.T) {
	t.Parallel()
	ids, now := newTestRequestIDs(), time.Now()
	ids.run(now, "a")
	for i := range 3 {
		ids.run(now.Add(time.Duration(i)*(maxIDGeneration+time.Second)), "other "+strconv.Itoa(i))
	}
	if got := ids.run(now.Add(3*maxIDGeneration), "a"); got != idIsNew {
		t.Errorf("status %d, want a new ID", got)
	}
}
