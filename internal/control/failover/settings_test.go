package failover

import (
	"errors"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestCheck_reportsAllErrors checks that one call reports all invalid settings, with their keys and
// the allowed values.
func TestCheck_reportsAllErrors(t *testing.T) {
	settings := readInvalidSettings(t)
	var keys []string
	for _, err := range settings.Check() {
		if !strings.Contains(err.Error(), " is wanted, not ") {
			t.Errorf("%q does not state what is allowed", err)
		}
		var settingErr *SettingError
		if !errors.As(err, &settingErr) || !strings.HasPrefix(err.Error(), "failover."+settingErr.Key+": ") {
			t.Errorf("%q does not start with its key", err)
			continue
		}
		keys = append(keys, settingErr.Key)
	}
	want := []string{
		"regions[0].name", "regions[0].halls", "regions[1].halls", "regions[2].name", "regions[2].halls",
		"bears", "bears_by.a", "bears_by", "utilisation_most", "least_stay_s", "step", "worth", "ill_part",
		"gateways_least", "trial",
	}
	if d := cmp.Diff(want, keys); d != "" {
		t.Error(d)
	}
	settings.Enabled = false
	if len(settings.Check()) > 0 {
		t.Error("errors for settings that are not enabled")
	}
	if errs := threeZones(1).settings.Check(); len(errs) > 0 {
		t.Error(errs)
	}
}
