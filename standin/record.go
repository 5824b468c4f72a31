package standin

import (
	"bufio"
	"encoding/json"
	"io"
	"os"
	"sync"
)

// Execution is one execution of an operation, recorded at its start.
type Execution struct {
	Instance  string `json:"instance"`
	Operation string `json:"operation"`
	Effect    string `json:"effect,omitempty"` // header Sapphiretack-Effect
	Key       string `json:"key,omitempty"`    // Payload.Key, chosen by the caller
}

// executionLog keeps the executions in memory and writes each of them to a log before it starts, so that a crash loses none.
type executionLog struct {
	mu         sync.Mutex
	executions []Execution
	writer     io.Writer
}

// add records an execution; if it returns an error, the execution must not start.
func (r *executionLog) add(e Execution) error {
	line, err := json.Marshal(e)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.writer != nil {
		if _, err := r.writer.Write(append(line, '\n')); err != nil {
			return err
		}
	}
	r.executions = append(r.executions, e)
	return nil
}

func (r *executionLog) list() []Execution {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Execution{}, r.executions...)
}

// ReadExecutions reads the executions from a log file.
func ReadExecutions(path string) ([]Execution, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	var executions []Execution
	lines := bufio.NewScanner(f)
	for lines.Scan() {
		var e Execution
		if err := json.Unmarshal(lines.Bytes(), &e); err != nil {
			return nil, BackendError.New("%s: line %d: %v", path, len(executions)+1, err)
		}
		executions = append(executions, e)
	}
	return executions, lines.Err()
}

// RepeatedEffects returns the executions of an effect that had run before, identified by its effect id or by the key of the
// caller.
func RepeatedEffects(executions []Execution) []Execution {
	seen := map[Execution]bool{}
	var repeated []Execution
	for _, e := range executions {
		if e.Effect == "" {
			continue
		}
		byEffect := Execution{Operation: e.Operation, Effect: e.Effect}
		byKey := Execution{Operation: e.Operation, Key: e.Key}
		if seen[byEffect] || (e.Key != "" && seen[byKey]) {
			repeated = append(repeated, e)
		}
		seen[byEffect], seen[byKey] = true, true
	}
	return repeated
}
