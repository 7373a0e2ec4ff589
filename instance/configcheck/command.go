package configcheck

import (
	"io"
	"os"

	"github.com/pkg/errors"
)

// Command is the check of a file.
type Command struct {
	File string
	// Against is the file with the configuration in force, empty without one.
	Against string
	JSON    bool
	Decode  Decode
	// Read reads a configuration within the size that control instances take.
	Read func(io.Reader) ([]byte, error)
}

// Run checks the file, prints the report, and returns the exit code. An error means that the check could not be made.
func (c *Command) Run(out io.Writer) (exitCode int, err error) {
	var inForce []byte
	if c.Against != "" {
		if inForce, err = c.readFile(c.Against); err != nil {
			return 0, err
		}
	}
	source, err := c.readFile(c.File)
	if err != nil {
		return 0, err
	}
	report, err := Check(source, inForce, c.Decode)
	if err != nil {
		return 0, err
	}
	write := report.PrintText
	if c.JSON {
		write = report.PrintJSON
	}
	return report.ExitCode(), write(out)
}

func (c *Command) readFile(name string) ([]byte, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, errors.Wrap(err, "open configuration")
	}
	defer func() { _ = file.Close() }()
	source, err := c.Read(file)
	return source, errors.Wrapf(err, "read %s", name)
}
