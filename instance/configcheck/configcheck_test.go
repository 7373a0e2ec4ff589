package configcheck_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/tarragonhoist/tarragonhoist/instance/configcheck"
	"github.com/tarragonhoist/tarragonhoist/platform"
	"github.com/tarragonhoist/tarragonhoist/state/routes"
)

// sound is a configuration without errors and warnings. Its keys are marked, so that outputs can be searched for them.
const sound = `{
  "version": 7,
  "tenants": [{"name": "large", "api_keys": ["marked-key-1", "marked-key-2"], "rate_per_s": 1900, "burst": 1900, "unit": "tokens", "plain_tokens": 100}],
  "routes": [{"name": "all", "host": "a.example", "path_prefix": "/", "kind": "idempotent", "timeout_ms": 1000, "slo_ms": 100, "max_attempts": 2, "service": "plain"}],
  "services": [{"name": "plain", "health_path": "/up"}]
}`

func write(t *testing.T, content string) (file string) {
	t.Helper()
	file = filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(file, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

func replaced(from, to string) string {
	if !strings.Contains(sound, from) {
		panic("the sound configuration lacks " + from)
	}
	return strings.Replace(sound, from, to, 1)
}

// Guards against exit codes that mislead scripts, against errors without their place, and against a report that lacks errors, warnings or
// changes in either form.
func TestCommand(t *testing.T) {
	for _, c := range []struct {
		name          string
		file, against string
		code          int
		want          []string // lines of the text, in order
	}{
		{"clean", sound, "", 0, []string{"not checked: quotas against the capacity", "version 7: errors 0, warnings 0"}},
		{"warning", replaced(`["marked-key-1", "marked-key-2"]`, `[]`), "", 3,
			[]string{"warning: account 0 (large): the account has no keys, so that no request belongs to it [account-without-keys]", "version 7: errors 0, warnings 1"}},
		{"error", replaced(`"service": "plain"`, `"service": "none"`), "", 4,
			[]string{`error: route 0 (all): the service "none" does not exist`, "warning: service 0 (plain): no route leads to the service [service-without-route]", "version 7: errors 1, warnings 1"}},
		{"syntax", replaced(`"version": 7,`, `"version": 7`), "", 4, []string{"error: line 3, column 3: decode configuration: invalid character", "configuration: errors 1, warnings 0"}},
		{"type", replaced(`"timeout_ms": 1000`, `"timeout_ms": "1s"`), "", 4, []string{"error: line 4, column 110: decode configuration: json: cannot unmarshal string", "errors 1"}},
		{"cut", sound[:len(sound)-2], "", 4, []string{"error: line 5, column 55: decode configuration: unexpected EOF", "errors 1"}},
		{"data after the end", sound + "{}", "", 4, []string{"error: configuration: unexpected data after the configuration", "errors 1"}},
		{"no version", replaced(`"version": 7,`, ""), "", 4, []string{"error: configuration: configuration version is missing or 0", "errors 1"}},
		{"newer", replaced(`"version": 7`, `"version": 8`), sound, 0, []string{"change: version: 7 -> 8", "not checked", "version 8: errors 0, warnings 0, changes from version 7: 1"}},
		{"keys", strings.Replace(replaced(`"marked-key-2"`, `"marked-key-3", "marked-key-4"`), `"version": 7`, `"version": 8`, 1), sound, 0,
			[]string{"change: version: 7 -> 8", "change: account large: 2 keys added, 1 key removed", "changes from version 7: 2"}},
		{"same version", sound, sound, 3, []string{"warning: version: version 7 is not newer than version 7", "[version-not-newer]", "change: version: stays 7"}},
		{"back", replaced(`"version": 7`, `"version": 6`), sound, 3, []string{"warning: version: version 6 is not newer", "change: version: goes back from 7 to 6"}},
		{"errors and changes", replaced(`"service": "plain"`, `"service": "none"`), strings.Replace(sound, "7", "5", 1), 4,
			[]string{"error: route 0", "change: version: 5 -> 7", "change: route all (a.example/): services plain -> none"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			command := configcheck.Command{File: write(t, c.file), Decode: platform.DecodeConfig, Read: platform.ReadConfig}
			if c.against != "" {
				command.Against = write(t, c.against)
			}
			var text, encoded bytes.Buffer
			code, err := command.Run(&text)
			if err != nil || code != c.code {
				t.Errorf("exit code %d, error %v; want %d\n%s", code, err, c.code, text.String())
			}
			rest := text.String()
			for _, want := range c.want {
				_, after, ok := strings.Cut(rest, want)
				if !ok {
					t.Fatalf("%q is missing, or out of order, in:\n%s", want, text.String())
				}
				rest = after
			}
			command.JSON = true
			if jsonCode, err := command.Run(&encoded); err != nil || jsonCode != code {
				t.Errorf("exit code %d as JSON, %d as text, error %v", jsonCode, code, err)
			}
			for _, output := range []string{text.String(), encoded.String()} {
				checkNoKey(t, output)
			}
		})
	}
}

func checkNoKey(t *testing.T, output string) {
	t.Helper()
	if strings.Contains(output, "marked-key") {
		t.Errorf("a key in the output:\n%s", output)
	}
	for i := range 5 {
		digest := routes.DigestKey(fmt.Sprint("marked-key-", i))
		if strings.Contains(output, fmt.Sprintf("%x", digest[:4])) {
			t.Errorf("the digest of a key in the output:\n%s", output)
		}
	}
}

// Guards against keys in errors about them: two accounts with the same key, a key that is no string, and syntax errors inside of one.
func TestErrorsHoldNoKey(t *testing.T) {
	for name, file := range map[string]string{
		"shared": replaced(`}],`, `}, {"name": "other", "api_keys": ["marked-key-1"]}],`),
		"number": replaced(`"marked-key-1"`, `4711081547110815`),
		"object": replaced(`"marked-key-1"`, `{"marked-key-1": 1}`),
		"string": replaced(`["marked-key-1", "marked-key-2"]`, `"marked-key-1"`),
		"escape": replaced(`"marked-key-1"`, `"marked-key-1\x"`),
		"bare":   replaced(`"marked-key-1"`, `marked-key-1`),
	} {
		t.Run(name, func(t *testing.T) {
			var out bytes.Buffer
			command := configcheck.Command{File: write(t, file), Decode: platform.DecodeConfig, Read: platform.ReadConfig}
			if code, err := command.Run(&out); code != 4 || err != nil {
				t.Errorf("exit code %d, error %v, want 4", code, err)
			}
			checkNoKey(t, out.String())
			if strings.Contains(out.String(), "4711") {
				t.Errorf("a key in the output: %s", out.String())
			}
		})
	}
}

// Guards against errors that differ from those of the server.
func TestErrorsAreThoseOfTheServer(t *testing.T) {
	source := []byte(replaced(`"kind": "idempotent", "timeout_ms": 1000`, `"kind": "odd", "timeout_ms": 0`))
	document, err := platform.DecodeConfig(source)
	if err != nil {
		t.Fatal(err)
	}
	report, err := configcheck.Check(source, nil, platform.DecodeConfig)
	if err != nil {
		t.Fatal(err)
	}
	var findings routes.Findings
	for _, e := range report.Errors {
		findings = append(findings, routes.Finding{Location: e.Place, Message: e.Message})
	}
	if diff := cmp.Diff(document.Check(), findings); diff != "" || len(findings) != 2 {
		t.Errorf("findings %v: %s", findings, diff)
	}
}

// Guards against a change of the JSON that scripts read.
func TestJSONKeepsItsShape(t *testing.T) {
	next := strings.Replace(replaced(`"marked-key-2"`, `""`), `"version": 7`, `"version": 8`, 1)
	next = strings.Replace(next, `"name": "all"`, `"name": ""`, 1)
	next = strings.Replace(next, `"host": "a.example"`, `"host": ""`, 1)
	report, err := configcheck.Check([]byte(next), []byte(sound), platform.DecodeConfig)
	if err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	if err := report.PrintJSON(&out); err != nil {
		t.Fatal(err)
	}
	var got any
	if err := json.Unmarshal(out.Bytes(), &got); err != nil {
		t.Fatal(err)
	}
	list := func(entries ...any) []any { return entries }
	want := map[string]any{
		"result": "errors", "version": 8.0, "against": 7.0,
		"errors":   list(map[string]any{"place": "route 0 ()", "message": "the host is missing"}),
		"warnings": list(map[string]any{"rule": "key-empty", "place": "account 0 (large)", "message": "key 1 is empty, which no request can carry"}),
		"changes": list(map[string]any{"section": "version", "place": "version", "message": "7 -> 8"},
			map[string]any{"section": "accounts", "place": "account large", "message": "1 key added, 1 key removed"},
			map[string]any{"section": "routes", "place": "route all (a.example/)", "message": "removed"},
			map[string]any{"section": "routes", "place": "route  (/)", "message": "added, idempotent, services plain"}),
		"unchecked": list("quotas against the capacity of services: the document holds neither the number of targets nor their speed",
			"quotas against the window of the settings: the default of 8s is assumed"),
	}
	if diff := cmp.Diff(any(want), got); diff != "" {
		t.Error(diff)
	}
	var empty bytes.Buffer
	if report, err = configcheck.Check([]byte(`{"version": 1}`), nil, platform.DecodeConfig); err != nil || report.PrintJSON(&empty) != nil || strings.Contains(empty.String(), "null") {
		t.Errorf("lists without entries are null: %s, error %v", empty.String(), err)
	}
}

// Guards against a check that could not be made and passes for one without errors.
func TestCheckThatCanNotBeMade(t *testing.T) {
	for name, c := range map[string]configcheck.Command{
		"no file":              {File: filepath.Join(t.TempDir(), "none")},
		"no file in force":     {File: write(t, sound), Against: filepath.Join(t.TempDir(), "none")},
		"in force is no JSON":  {File: write(t, sound), Against: write(t, "{")},
		"in force is empty":    {File: write(t, sound), Against: write(t, "")},
		"larger than accepted": {File: write(t, sound+strings.Repeat(" ", 8<<20))},
	} {
		c.Decode, c.Read = platform.DecodeConfig, platform.ReadConfig
		var out bytes.Buffer
		if code, err := c.Run(&out); err == nil || out.Len() > 0 {
			t.Errorf("%s: exit code %d, output %q", name, code, out.String())
		}
	}
}

// Guards against a configuration that ends the check by a panic.
func FuzzCheck(f *testing.F) {
	f.Add([]byte(sound), []byte(replaced(`"version": 7`, `"version": 6`)))
	f.Add([]byte(`{"version":1,"services":[{"engine":{"models":[{}]}}],"routes":[{}],"tenants":[{}]}`), []byte(`{"version":1}`))
	f.Add([]byte(`{"version":1,"services":[{"engine":{}},{}],"routes":[{"host":"[:1","backends":[{},{}]}]}`), []byte(`{"version":2,"services":[{},{}]}`))
	f.Fuzz(func(t *testing.T, source, inForce []byte) {
		report, err := configcheck.Check(source, inForce, platform.DecodeConfig)
		if err == nil && report.PrintText(&bytes.Buffer{}) != nil {
			t.Error("the report can't be printed")
		}
	})
}
