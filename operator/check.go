package operator

import (
	"os"
	"path/filepath"

	"github.com/juju/errors"

	"lacewingspoke.org/lacewingspoke/folder"
	"lacewingspoke.org/lacewingspoke/inifile"
	"lacewingspoke.org/lacewingspoke/kvstore"
)

// fileExtension is the extension of the files that are read from an operators'
// folder. Other files, such as an editor's backup copies, are ignored.
const fileExtension = ".ini"

// CheckRequest holds the parameters of Check.
type CheckRequest struct {
	Directory string

	// Explain selects a list of the effective keys, each with the file and line
	// that set it.
	Explain bool
}

// Check prints every fault of a folder. It connects neither to the store nor to
// nodes.
func (operator *Operator) Check(request CheckRequest) ExitCode {
	merged, _, code := operator.readFolder(request.Directory)
	if code != ExitDone {
		return code
	}
	if !request.Explain {
		operator.print("no faults; digest %s", merged.Digest())
		return ExitDone
	}
	for _, origin := range merged.Provenance() {
		operator.print("%s", origin)
	}
	return ExitDone
}

// readFolder reads and merges the files of a folder. If it has faults, it prints
// them and returns ExitRejected.
func (operator *Operator) readFolder(directory string) (*folder.Folder, []folder.File, ExitCode) {
	entries, err := os.ReadDir(directory)
	if err != nil {
		operator.warn("%v", err)
		return nil, nil, ExitRejected
	}
	files, problems := readFiles(directory, entries)
	var merged *folder.Folder
	if len(problems) == 0 {
		merged, problems = folder.Merge(files)
	}
	for _, problem := range problems {
		operator.print("%s", problem)
	}
	if len(problems) > 0 {
		return nil, nil, ExitRejected
	}
	return merged, files, ExitDone
}

// readFiles reads the INI files of a directory. It stops reading files once
// their total size exceeds the store's limit for a value, and reports each of
// the remaining files as a problem.
func readFiles(directory string, entries []os.DirEntry) ([]folder.File, []folder.Problem) {
	var files []folder.File
	var problems []folder.Problem
	total := int64(0)
	for _, entry := range entries {
		if entry.IsDir() || filepath.Ext(entry.Name()) != fileExtension {
			continue
		}
		data, err := readFile(filepath.Join(directory, entry.Name()), &total)
		if err != nil {
			problems = append(problems, inifile.NewProblem(entry.Name(), 1, "file", err.Error()))
			continue
		}
		files = append(files, folder.File{Name: entry.Name(), Data: data})
	}
	return files, problems
}

// readFile adds the size of the file to the total, and reads the file if the
// total does not exceed the store's limit for a value.
func readFile(path string, total *int64) ([]byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, errors.Trace(err)
	}
	*total += info.Size()
	if *total > kvstore.MaxValueBytes {
		return nil, errors.Errorf("brings the folder to %d bytes, over the store's %d", *total, kvstore.MaxValueBytes)
	}
	data, err := os.ReadFile(path)
	return data, errors.Trace(err)
}
