package main

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"

	"github.com/juju/errors"
)

// program is the program under test with its settings templates by role.
type program struct {
	binary    string
	templates map[string]string
}

// findProgram returns the program of a file, or builds the one of the working directory. remove deletes what it has built.
func findProgram(ctx context.Context, binary, deploy string) (p program, remove func(), err error) {
	remove = func() {}
	p.templates = make(map[string]string)
	for _, role := range []string{roleControl, roleGateway} {
		text, err := os.ReadFile(filepath.Join(deploy, role+".json.tmpl"))
		if err != nil {
			return p, remove, errors.Annotate(err, "settings template")
		}
		p.templates[role] = string(text)
	}
	if binary != "" {
		p.binary, err = filepath.Abs(binary)
		return p, remove, errors.Trace(err)
	}
	dir, err := os.MkdirTemp("", "soak-program-")
	if err != nil {
		return p, remove, errors.Trace(err)
	}
	remove = func() { _ = os.RemoveAll(dir) }
	p.binary = filepath.Join(dir, "guavastack")
	out, err := exec.CommandContext(ctx, "go", "build", "-o", p.binary, "github.com/guavastack/guavastack/cmd/guavastack").CombinedOutput()
	if err != nil {
		remove()
		return p, func() {}, errors.Annotatef(err, "build: %s", out)
	}
	return p, remove, nil
}
