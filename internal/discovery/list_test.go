package discovery

import (
	"strings"
	"testing"

	"harrierhoist/internal/testing/fakes"
	"harrierhoist/policy"
)

// What is no list is refused whole. One bad entry spoils its list.
func TestDecodeAnswer_malformedListIsRefused(t *testing.T) {
	d := &decoder{zones: []string{"hall-a"}, hardware: []string{"m2"}}
	good := readyHost("s-1")
	for name, body := range map[string]string{
		"nothing":              "",
		"null":                 "null",
		"an object":            "{}",
		"an array":             "[" + good + "]",
		"a page":               "<html><body>502 Bad Gateway</body></html>",
		"no seq":               `{"whole":true,"hosts":[` + good + `]}`,
		"a seq that is null":   `{"seq":null,"whole":true,"hosts":[` + good + `]}`,
		"a seq that is text":   `{"seq":"7","whole":true,"hosts":[` + good + `]}`,
		"a seq with a part":    `{"seq":7.5,"whole":true,"hosts":[` + good + `]}`,
		"no whole":             `{"seq":7,"hosts":[` + good + `]}`,
		"no hosts":             `{"seq":7,"whole":true}`,
		"hosts by name":        `{"seq":7,"whole":true,"hosts":{"s-1":` + good + `}}`,
		"more behind it":       fakes.FormatList(7, true, good) + "x",
		"an entry that's null": fakes.FormatList(7, true, good, "null"),
		"an entry that's text": fakes.FormatList(7, true, good, `"s-2"`),
		"an entry of nothing":  fakes.FormatList(7, false, good, "{}"),
		"no host":              fakes.FormatList(7, true, good, fakes.FormatHost("", "1.2.3.4:5", "in_service")),
		"no dial":              fakes.FormatList(7, true, good, fakes.FormatHost("s-2", "", "in_service")),
		"no dial, terminating": fakes.FormatList(7, false, good, fakes.FormatHost("s-2", "", "terminating")),
		"a share of text":      fakes.FormatList(7, true, strings.Replace(good, "1.0", `"1.0"`, 1)),
	} {
		if received, err := d.decodeAnswer([]byte(body)); err == nil {
			t.Errorf("%s: read as %+v", name, received)
		}
	}
}

// A server that is gone needs no address; one in a state whose word we do not know gets nothing new; the later of two entries
// with one name stands.
func TestDecodeAnswer_unusualEntries(t *testing.T) {
	t.Parallel()
	w, dispatcher := newIdleWatcher(t, "127.0.0.1:1")
	for _, c := range []struct {
		body, after string
		none        bool
	}{
		{fakes.FormatList(1, true, readyHost("s-1"), fakes.FormatHost("s-2", "", "terminated")), "s-1", false},
		{fakes.FormatList(2, true, fakes.FormatHost("s-1", "x", "warming_up"), readyHost("s-2")), "s-2", false},
		{fakes.FormatList(3, true, readyHost("s-2"), fakes.FormatHost("s-2", "x", "terminating")), "", false},
		{fakes.FormatList(4, true, fakes.FormatHost("s-3", "x", "terminating"), readyHost("s-3")), "s-3", false},
		{fakes.FormatList(5, false, fakes.FormatHost("s-3", "x", "")), "", true},
		{`{"seq":6,"whole":false,"hosts":null}`, "", true},
	} {
		received, err := w.decoder.decodeAnswer([]byte(c.body))
		if err != nil || received.isEmpty() != c.none {
			t.Fatalf("%s: %+v, %v", c.body, received, err)
		}
		w.apply(t.Context(), received)
		if name := chosenServer(dispatcher); name != c.after {
			t.Errorf("%s: in force: %q", c.body, name)
		}
	}
	none := &endpointList{isFull: true}
	if w.apply(t.Context(), none); w.wouldEmpty(none) {
		t.Error("no server is left, and one could be lost")
	}
	if received, err := w.decoder.decodeAnswer([]byte(fakes.FormatList(1, true, fakes.FormatHost("s-1", "x", "warming_up")))); err != nil ||
		received.servers[0].Endpoint.State != policy.Removed {
		t.Errorf("got %+v, %v", received, err)
	}
}

// A list as last had may be of another program, and is read as far as it has entries.
func TestDecodeKnown_needsNoVersion(t *testing.T) {
	d := &decoder{}
	for text, servers := range map[string]int{`{}`: 0, `{"hosts":null}`: 0, `{"hosts":[` + readyHost("s-1") + `]}`: 1} {
		if received, err := d.decodeKnown([]byte(text)); err != nil || len(received.servers) != servers {
			t.Errorf("%s: %+v, %v", text, received, err)
		}
	}
}
