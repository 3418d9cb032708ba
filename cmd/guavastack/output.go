package main

import (
	"encoding/json"
	"os"
)

// printJSON writes v to standard output as indented JSON.
func printJSON(v any) error {
	enc := json.NewEncoder(os.Stdout)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}
