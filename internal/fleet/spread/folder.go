package spread

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/hyssopwall/hyssopwall/internal/fleet/wire"
)

// fileName is the name of the file that holds the last accepted document.
const fileName = "document.accepted"

const fileMode os.FileMode = 0o600

// Folder stores the last accepted document in the data folder Path, for a host
// that starts while neither the platform nor a peer can be reached. With an empty
// Path it stores nothing.
type Folder struct {
	Path string
}

// Load returns the stored document, or the zero value if there is none.
func (f Folder) Load() (Accepted, error) {
	if f.Path == "" {
		return Accepted{}, nil
	}
	data, err := os.ReadFile(filepath.Join(f.Path, fileName))
	if errors.Is(err, fs.ErrNotExist) {
		return Accepted{}, nil
	}
	if err != nil {
		return Accepted{}, err
	}
	return wire.Decode[Accepted](data)
}

// Save replaces the stored document atomically.
func (f Folder) Save(accepted Accepted) error {
	if f.Path == "" {
		return nil
	}
	data, err := wire.Encode(accepted)
	if err != nil {
		return err
	}
	next := filepath.Join(f.Path, fileName+".next")
	if err := writeSynced(next, data); err != nil {
		return err
	}
	return os.Rename(next, filepath.Join(f.Path, fileName))
}

// writeSynced writes a file and flushes it to the disk.
func writeSynced(path string, data []byte) error {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode) //nolint:gosec // under the data folder of the settings
	if err != nil {
		return err
	}
	_, err = file.Write(data)
	return errors.Join(err, file.Sync(), file.Close())
}
