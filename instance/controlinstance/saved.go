package controlinstance

import (
	"encoding/json"
	"os"

	"github.com/pkg/errors"

	"github.com/tarragonhoist/tarragonhoist/state/wal"
)

// readSaved decodes a file that an earlier process of this instance saved. found is false if there is none. what names its content in errors.
func readSaved(path, what string, saved any) (found bool, err error) {
	data, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return false, nil
	}
	if err != nil {
		return false, errors.Wrap(err, "read "+what)
	}
	return true, errors.Wrap(json.Unmarshal(data, saved), "decode "+what)
}

// writeSaved replaces a file for the next process of this instance.
func writeSaved(path, what string, saved any) error {
	data, err := json.Marshal(saved)
	if err != nil {
		return errors.Wrap(err, "encode "+what)
	}
	return errors.Wrap(wal.WriteFile(path, data), "save "+what)
}
