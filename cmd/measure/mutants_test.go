package main

import (
	"os"
	"path/filepath"
	"testing"
)

// Guards against a change of source text that a fault quotes: the fault could no longer be planted, and the tests would
// no longer be checked for finding it.
func TestPlantedFaultsHaveTheirPlaces(t *testing.T) {
	for _, b := range planted {
		in := b.in
		for _, m := range b.faults {
			text, err := os.ReadFile(filepath.Join("..", "..", in, m.file))
			if err == nil {
				err = m.checkPlace(string(text))
			}
			if err != nil {
				t.Errorf("%s: %s: %v", in, m.description, err)
			}
		}
	}
}
