package settlement

import "testing"

func TestZoneStatusFromPlan_marksZonesThatFailoverUses(t *testing.T) {
	got := ZoneStatusFromPlan(
		map[string]map[string]int{
			"a": {"a": 500, "b": 500}, "b": {"b": 1000}, "c": {"c": 1000, "a": 0}, "d": {"d": 1000},
		},
		map[string]int{"c": 1000, "d": 400})
	if !got["a"].FailingOver || !got["b"].FailingOver || got["c"].FailingOver || !got["d"].FailingOver {
		t.Errorf("status %+v, want a, b and d failing over, and c not", got)
	}
}
