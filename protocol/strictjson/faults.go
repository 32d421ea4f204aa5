package strictjson

import "strings"

// Fault is one mistake in a document.
type Fault struct {
	Path string // JSON path such as "peers[2].address"; "" for the document as a whole
	Text string // what is wrong and what is expected, without a final full stop
}

// String returns "path: text".
func (f Fault) String() string {
	if f.Path == "" {
		return f.Text
	}
	return f.Path + ": " + f.Text
}

// Faults lists every mistake that was found, in document order where possible.
type Faults []Fault

// Error returns one line for each fault.
func (fs Faults) Error() string {
	lines := make([]string, len(fs))
	for i, f := range fs {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns fs as an error, or nil if there is no fault.
func (fs Faults) Err() error {
	if len(fs) == 0 {
		return nil
	}
	return fs
}

// Add appends a fault.
func (fs *Faults) Add(path, text string) { *fs = append(*fs, Fault{Path: path, Text: text}) }

// Join appends a field or an index to a path.
func Join(path, next string) string {
	if path == "" || next == "" || strings.HasPrefix(next, "[") {
		return path + next
	}
	return path + "." + next
}
