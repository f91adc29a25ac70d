package system

import (
	"bufio"
	"encoding/json"
	"os"
	"path/filepath"

	"github.com/juju/errors"

	"lacewingspoke.org/lacewingspoke/standin/caller"
	"lacewingspoke.org/lacewingspoke/standin/checker"
	"lacewingspoke.org/lacewingspoke/standin/engine"
	"lacewingspoke.org/lacewingspoke/standin/service"
)

const maxLineBytes = 16 << 20

// engineLines returns the records of all engines.
func (cluster *cluster) engineLines() ([]engine.RecordLine, error) {
	var all []engine.RecordLine
	for _, target := range cluster.engines {
		err := forEachLine(filepath.Join(cluster.dir, target.name+".jsonl"), func(data []byte) error {
			var line engine.RecordLine
			err := json.Unmarshal(data, &line)
			all = append(all, line)
			return err
		})
		if err != nil {
			return nil, err
		}
	}
	return all, nil
}

// serviceLines returns the records of all services.
func (cluster *cluster) serviceLines() ([]service.RecordLine, error) {
	paths, err := filepath.Glob(filepath.Join(cluster.dir, "service-*.jsonl"))
	if err != nil {
		return nil, errors.Trace(err)
	}
	var all []service.RecordLine
	for _, path := range paths {
		err := forEachLine(path, func(data []byte) error {
			var line service.RecordLine
			err := json.Unmarshal(data, &line)
			all = append(all, line)
			return err
		})
		if err != nil {
			return nil, err
		}
	}
	return all, nil
}

func forEachLine(path string, handle func([]byte) error) error {
	file, err := os.Open(path)
	if err != nil {
		return errors.Trace(err)
	}
	defer file.Close()
	scanner := bufio.NewScanner(file)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		if err := handle(scanner.Bytes()); err != nil {
			return errors.Annotatef(err, "decode line of record %s", path)
		}
	}
	return errors.Trace(scanner.Err())
}

// checkResults returns the contradictions between the results and the records.
func (cluster *cluster) checkResults(results []caller.Result) ([]checker.Fault, error) {
	engines, err := cluster.engineLines()
	if err != nil {
		return nil, err
	}
	services, err := cluster.serviceLines()
	if err != nil {
		return nil, err
	}
	return checker.Check(checker.Evidence{Results: results, Engines: engines, Services: services}), nil
}
