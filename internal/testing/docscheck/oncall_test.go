package docscheck

import (
	"maps"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// In the tables of the page of one who is on call the column logLineColumn holds log lines, each
// between backticks and as the code has it, or noLogLine.
const (
	logLineColumn = "log line"
	noLogLine     = "-"
)

// operatorPages are the other pages that quote log lines or name tests.
var operatorPages = []string{"cluster", "counting-rules", "debts", "drill", "failover", "migration"}

var backticked = regexp.MustCompile("`([^`]*)`")

// pageLine is a text between backticks on the page.
type pageLine struct {
	text     string
	inColumn bool // in a table's column of log lines
	number   int  // of the page's line, from 1
}

// TestOncall_namesTheCodesLogLines fails where a log line of the page is in no Go file of the
// product, or a warning or error that the code logs is not on the page.
func TestOncall_namesTheCodesLogLines(t *testing.T) {
	page := readPage(t, "oncall")
	messages, problems := messagesIn(t, productPackages(t))
	if len(messages) == 0 {
		t.Fatal("no log line found in the code")
	}
	for _, problem := range append(problems, compare(page, messages)...) {
		t.Error(problem)
	}
}

// TestPages_quoteLogLinesAsInTheCode fails where another page for operators quotes a log line that
// is in no Go file.
func TestPages_quoteLogLinesAsInTheCode(t *testing.T) {
	messages, _ := messagesIn(t, productPackages(t))
	for _, name := range operatorPages {
		_, problems := logLinesOf(readPage(t, name), messages)
		for _, problem := range problems {
			t.Errorf("%s.md: %s", name, problem)
		}
	}
}

func TestCompare(t *testing.T) {
	const head = "| symptom | log line | to do |\n| --- | --- | --- |\n"
	messages := map[string]message{
		"gateway: started":      {"Info", "gateway.go:1"},
		"gateway: lost":         {"Warn", "gateway.go:2"},
		"policy: server failed": {"Log", "server.go:3"},
	}
	for _, row := range []struct {
		name, page string
		want       []string
	}{
		{
			"all named", head + "| a | `gateway: lost`, `policy: server failed` | `x` |\n" +
				"| b | `gateway: started` | |\n", nil,
		},
		{"an info line may be left out", head + "| a | `gateway: lost` | |\n| b | `policy: server failed` | |\n", nil},
		{"no log line", head + "| a | - | |\n| b | `gateway: lost`, `policy: server failed` | |\n", nil},
		{
			"a line of the page that the code has not",
			head + "| a | `gateway: lost`, `gateway: gone`, `policy: server failed` | |\n",
			[]string{"page, line 3: `gateway: gone` is in no Go file"},
		},
		{
			"a line worded otherwise", head + "| a | `gateway: lost!`, `policy: server failed` | |\n",
			[]string{
				"page, line 3: `gateway: lost!` is in no Go file",
				"gateway.go:2: Warn `gateway: lost` is not on the page",
			},
		},
		{
			"a line of the page outside the column",
			head + "| `gateway: gone` | `gateway: lost`, `policy: server failed` | |\n",
			[]string{"page, line 3: `gateway: gone` is in no Go file"},
		},
		{
			"a warning named outside the column alone", head + "| `gateway: lost` | `policy: server failed` | |\n",
			[]string{"gateway.go:2: Warn `gateway: lost` is not on the page"},
		},
		{
			"a line of the module that the page has not", head + "| a | `gateway: lost` | |\n",
			[]string{"server.go:3: Log `policy: server failed` is not on the page"},
		},
		{
			"other text in the column",
			head + "| a | `gateway: lost` and more | |\n| b | `policy: server failed` | |\n",
			[]string{"page, line 3: in the column of log lines: \"`gateway: lost` and more\""},
		},
		{
			"a page without the column", "| symptom | to do |\n| --- | --- |\n| a | b |\n",
			[]string{
				"gateway.go:2: Warn `gateway: lost` is not on the page",
				"server.go:3: Log `policy: server failed` is not on the page",
			},
		},
	} {
		t.Run(row.name, func(t *testing.T) {
			if got := compare(row.page, messages); !slices.Equal(got, row.want) {
				t.Errorf("got %q, want %q", got, row.want)
			}
		})
	}
}

// compare tells what is wrong between the page and the messages of the code.
func compare(page string, messages map[string]message) []string {
	onPage, problems := logLinesOf(page, messages)
	for _, text := range slices.Sorted(maps.Keys(messages)) {
		if logged := messages[text]; logged.level != "Info" && !onPage[text] {
			problems = append(problems, logged.position+": "+logged.level+" `"+text+"` is not on the page")
		}
	}
	return problems
}

// logLinesOf gives the log lines in the columns of a page, and says which log lines of the page,
// also outside the columns, are in no Go file.
func logLinesOf(page string, messages map[string]message) (inColumns map[string]bool, problems []string) {
	components := map[string]bool{}
	for text := range messages {
		if component, _, ok := strings.Cut(text, ": "); ok {
			components[component] = true
		}
	}
	lines, problems := linesOf(page)
	inColumns = map[string]bool{}
	for _, line := range lines {
		component, _, isMessage := strings.Cut(line.text, ": ")
		if !line.inColumn && (!isMessage || !components[component]) {
			continue // a setting, a command, an answer
		}
		if _, ok := messages[line.text]; !ok {
			problems = append(problems, "page, line "+itoa(line.number)+": `"+line.text+"` is in no Go file")
		}
		inColumns[line.text] = inColumns[line.text] || line.inColumn
	}
	return inColumns, problems
}

// linesOf gives what stands between backticks on a page, and says where a column of log lines holds
// anything else.
func linesOf(page string) (lines []pageLine, problems []string) {
	column := -1
	for i, line := range strings.Split(page, "\n") {
		if !strings.HasPrefix(line, "|") {
			column = -1
		}
		cells := strings.Split(strings.Trim(line, "|"), "|")
		for at, cell := range cells {
			if cell = strings.TrimSpace(cell); cell == logLineColumn {
				column = at
				continue
			}
			for _, found := range backticked.FindAllStringSubmatch(cell, -1) {
				lines = append(lines, pageLine{text: found[1], inColumn: at == column, number: i + 1})
			}
			rest := strings.Trim(backticked.ReplaceAllString(cell, ""), ", ")
			if at == column && rest != "" && rest != noLogLine && rest != "---" {
				problems = append(problems, "page, line "+itoa(i+1)+": in the column of log lines: \""+cell+"\"")
			}
		}
	}
	return lines, problems
}

// readPage reads a page by its name under docs.
func readPage(t *testing.T, name string) string {
	t.Helper()
	page, err := os.ReadFile(filepath.Join("../../../docs", name+".md"))
	if err != nil {
		t.Fatal(err)
	}
	return string(page)
}

// productPackages are the folders of the product's code: what runs at operators', not the
// laboratory and the tests.
func productPackages(t *testing.T) []string {
	t.Helper()
	var folders []string
	for _, root := range []string{"../../../cmd/harrierhoist", "../../../internal", "../../../policy"} {
		err := filepath.WalkDir(root, func(path string, entry os.DirEntry, err error) error {
			if err != nil || !entry.IsDir() {
				return err
			}
			switch path {
			case "../../../internal/lab", "../../../internal/testing":
				return filepath.SkipDir
			}
			if entry.Name() == "testdata" {
				return filepath.SkipDir
			}
			folders = append(folders, path)
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	return folders
}
