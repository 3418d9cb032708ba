package catalog

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"

	"github.com/juju/errors"

	"github.com/guavastack/guavastack/internal/core/state"
)

// ModuleName is the value of state.Command.Module for this module's commands.
const ModuleName = "catalog"

// MaxDocumentBytes bounds a document.
const MaxDocumentBytes = 16 << 20

// Command replaces the document if its version is higher than the one held.
type Command struct {
	Version uint64 `json:"version"`
	// Document is the compressed document, as Compress returns it.
	Document []byte `json:"document"`
}

// Outcome is the result of a command.
type Outcome struct {
	Held     uint64 `json:"held"`     // version in force after the command
	Replaced bool   `json:"replaced"` // the command's document replaced the one in force
}

// Module keeps the document of the highest version byte for byte. It doesn't parse documents: the proposer has validated
// them.
type Module struct {
	version  uint64
	document []byte // compressed
}

// NewModule returns a module without a document.
func NewModule() *Module { return &Module{} }

// Name implements state.Module.
func (m *Module) Name() string { return ModuleName }

// Version returns the version of the document, 0 while there is none.
func (m *Module) Version() uint64 { return m.version }

// Document returns the compressed document, which must not be changed.
func (m *Module) Document() []byte { return m.document }

// Apply implements state.Module.
func (m *Module) Apply(_ uint64, cmd state.Command) (json.RawMessage, error) {
	var c Command
	if err := json.Unmarshal(cmd.Body, &c); err != nil {
		return nil, errors.NewNotValid(err, "catalog command")
	}
	replaced := c.Version > m.version
	if replaced {
		m.version, m.document = c.Version, c.Document
	}
	return json.Marshal(Outcome{Held: m.version, Replaced: replaced})
}

// Snapshot implements state.Module.
func (m *Module) Snapshot() (json.RawMessage, error) {
	return json.Marshal(Command{Version: m.version, Document: m.document})
}

// Restore implements state.Module.
func (m *Module) Restore(data json.RawMessage) error {
	var c Command
	if err := json.Unmarshal(data, &c); err != nil {
		return errors.NewNotValid(err, "catalog snapshot")
	}
	m.version, m.document = c.Version, c.Document
	return nil
}

// Compress returns the compressed form in which documents are stored and sent.
func Compress(document []byte) ([]byte, error) {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if _, err := w.Write(document); err != nil {
		return nil, errors.Trace(err)
	}
	if err := w.Close(); err != nil {
		return nil, errors.Trace(err)
	}
	return out.Bytes(), nil
}

// Decompress is the inverse of Compress. It returns an error for a document above MaxDocumentBytes.
func Decompress(data []byte) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(data))
	document, err := io.ReadAll(io.LimitReader(r, MaxDocumentBytes+1))
	if err != nil {
		return nil, errors.NewNotValid(err, "compressed document")
	}
	if len(document) > MaxDocumentBytes {
		return nil, errors.NotValidf("document above %d bytes", MaxDocumentBytes)
	}
	return document, nil
}
