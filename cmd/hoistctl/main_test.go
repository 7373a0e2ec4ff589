package main

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// TestMain runs the command itself in the processes that tests start.
func TestMain(m *testing.M) {
	if os.Getenv("HOISTCTL_RUN_MAIN") != "" {
		main()
	}
	os.Exit(m.Run())
}

func run(t *testing.T, args ...string) (exitCode int, out string) {
	t.Helper()
	c := exec.Command(os.Args[0], args...)
	c.Env = append(os.Environ(), "HOISTCTL_RUN_MAIN=1")
	output, err := c.CombinedOutput()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		t.Fatal(err)
	}
	return c.ProcessState.ExitCode(), string(output)
}

// Guards against a check that needs a server or a token, and against exit codes other than those of tarragonhoist-fleet.
func TestCheckConfig(t *testing.T) {
	folder := t.TempDir()
	write := func(name, content string) string {
		path := filepath.Join(folder, name)
		if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	const text = `{"version":VERSION,"routes":[{"name":"r","host":"h.example","path_prefix":"/x/","kind":"non_idempotent","timeout_ms":2000,"slo_ms":500,"service":"SERVICE","max_attempts":1}],` +
		`"services":[{"name":"one","health_path":"/health"}]}`
	old := write("old.json", strings.NewReplacer("VERSION", "1", "SERVICE", "one").Replace(text))
	good := write("good.json", strings.NewReplacer("VERSION", "2", "SERVICE", "one").Replace(text))
	bad := write("bad.json", strings.NewReplacer("VERSION", "2", "SERVICE", "none").Replace(text))
	for _, test := range []struct {
		args []string
		code int
		want string
	}{
		{[]string{"check-config", good}, 0, "errors 0"},
		{[]string{"check-config", good, "--against", old}, 0, "changes from version 1"},
		{[]string{"--json", "check-config", bad}, 4, `"errors"`},
		{[]string{"check-config", filepath.Join(folder, "missing.json")}, exitError, "open configuration"},
	} {
		code, out := run(t, append([]string{"--url", "http://127.0.0.1:1"}, test.args...)...)
		if code != test.code || !strings.Contains(out, test.want) {
			t.Errorf("%v: exit code %d, want %d; %s", test.args, code, test.code, out)
		}
	}
}
