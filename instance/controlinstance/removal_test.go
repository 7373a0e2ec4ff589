package controlinstance

import (
	"context"
	"os"
	"path/filepath"
	"testing"

	"github.com/pkg/errors"

	"github.com/tarragonhoist/tarragonhoist/coordination/replica"
	"github.com/tarragonhoist/tarragonhoist/state/routes"
)

// Guards against an instance that can never start again because the deletion of its replicated log was interrupted and
// left a part of it: each file of the folder in turn is the only one that was deleted.
func TestInterruptedRemovalOfData(t *testing.T) {
	for _, deleted := range []string{"", "identity", "log", "log/0000000000000001.wal"} {
		t.Run(deleted, func(t *testing.T) {
			dir := t.TempDir()
			openAndClose := func() error {
				g, err := replica.Open(replica.Options{Name: GroupName, Self: "a", Voters: []string{"a"}, Dynamic: true, DataDir: dir,
					InitialVoters: []string{"a"}, Machine: routes.NewStore(func(routes.CompressedDocument) {}),
					Sender: singleMemberTransport{}, Peers: singleMemberTransport{}})
				if err != nil {
					return err
				}
				ctx, stop := context.WithCancel(context.Background())
				stop()
				return g.Run(ctx)
			}
			if err := openAndClose(); err != nil {
				t.Fatal(err)
			}
			interrupted := errors.New("interrupted")
			err := removeData(dir, func(path string) error {
				if _, err := os.Stat(path); err != nil {
					return nil // nothing is there yet
				}
				if deleted != "" {
					if err := os.RemoveAll(filepath.Join(path, deleted)); err != nil {
						t.Fatal(err)
					}
				}
				return interrupted
			})
			if !errors.Is(err, interrupted) {
				t.Fatalf("error %v, want the interruption", err)
			}
			if err := finishRemoval(dir); err != nil {
				t.Fatal(err)
			}
			if err := openAndClose(); err != nil {
				t.Fatalf("the instance can't start: %v", err)
			}
			if entries, err := os.ReadDir(dir); err != nil || len(entries) != 1 {
				t.Fatalf("entries %v, error %v, want the folder of the log only", entries, err)
			}
		})
	}
}
