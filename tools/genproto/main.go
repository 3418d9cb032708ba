// Command genproto compiles the project's .proto files and writes the generated Go code next to them.
//
// It does not need protoc: protocompile parses the files, and the plugins pinned in this module generate the code.
// Usage, from the directory tools: go run ./genproto ../proto
package main

import (
	"bytes"
	"context"
	"fmt"
	"log"
	"os"
	"os/exec"
	"path/filepath"

	"github.com/bufbuild/protocompile"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protodesc"
	"google.golang.org/protobuf/types/descriptorpb"
	"google.golang.org/protobuf/types/pluginpb"
)

// plugin is a code generator of protoc and its parameter.
type plugin struct {
	name      string
	parameter string
}

// poolOptions selects the messages that are allocated from pools: those sent for every token.
const poolOptions = ",pool=github.com/guavastack/guavastack/proto/linkpb.AgentFrames" +
	",pool=github.com/guavastack/guavastack/proto/linkpb.AgentFrame" +
	",pool=github.com/guavastack/guavastack/proto/linkpb.Event"

var plugins = []plugin{
	{"protoc-gen-go", "paths=source_relative"},
	{"protoc-gen-go-vtproto", "paths=source_relative,features=marshal+unmarshal+size+pool" + poolOptions},
	{"protoc-gen-go-drpc", "paths=source_relative,protolib=github.com/guavastack/guavastack/internal/link/linkenc,json=false"},
}

func main() {
	log.SetFlags(0)
	if len(os.Args) != 2 {
		log.Fatal("usage: genproto DIRECTORY")
	}
	if err := run(os.Args[1]); err != nil {
		log.Fatal(err)
	}
}

func run(root string) error {
	files, err := filepath.Glob(filepath.Join(root, "*", "*.proto"))
	if err != nil {
		return err
	}
	for i, f := range files {
		files[i], err = filepath.Rel(root, f)
		if err != nil {
			return err
		}
	}
	req, err := compile(root, files)
	if err != nil {
		return err
	}
	for _, p := range plugins {
		if err := generate(root, p, req); err != nil {
			return fmt.Errorf("%s: %w", p.name, err)
		}
	}
	return nil
}

// compile parses files, given as paths relative to root, into a request for the plugins.
func compile(root string, files []string) (*pluginpb.CodeGeneratorRequest, error) {
	c := protocompile.Compiler{
		Resolver:       &protocompile.SourceResolver{ImportPaths: []string{root}},
		SourceInfoMode: protocompile.SourceInfoStandard,
	}
	out, err := c.Compile(context.Background(), files...)
	if err != nil {
		return nil, err
	}
	var descs []*descriptorpb.FileDescriptorProto
	for _, f := range out {
		descs = append(descs, protodesc.ToFileDescriptorProto(f))
	}
	return &pluginpb.CodeGeneratorRequest{FileToGenerate: files, ProtoFile: descs}, nil
}

// generate runs a plugin on req and writes the generated files below root.
func generate(root string, p plugin, req *pluginpb.CodeGeneratorRequest) error {
	req.Parameter = proto.String(p.parameter)
	in, err := proto.Marshal(req)
	if err != nil {
		return err
	}
	cmd := exec.Command("go", "tool", p.name)
	cmd.Stdin = bytes.NewReader(in)
	cmd.Stderr = os.Stderr
	out, err := cmd.Output()
	if err != nil {
		return err
	}
	var resp pluginpb.CodeGeneratorResponse
	if err := proto.Unmarshal(out, &resp); err != nil {
		return err
	}
	if resp.Error != nil {
		return fmt.Errorf("%s", resp.GetError())
	}
	for _, f := range resp.File {
		if err := os.WriteFile(filepath.Join(root, f.GetName()), []byte(f.GetContent()), 0o644); err != nil {
			return err
		}
	}
	return nil
}
