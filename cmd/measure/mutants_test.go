package main

import (
	"os"
	"path/filepath"
	"testing"
)

// A fault whose place has changed is planted nowhere, and nobody looks for it any more.
func TestPlantedFaultsHaveTheirPlaces(t *testing.T) {
	for _, b := range planted {
		in := b.in
		for _, m := range b.faults {
			text, err := os.ReadFile(filepath.Join("..", "..", in, m.file))
			if err == nil {
				err = m.fits(string(text))
			}
			if err != nil {
				t.Errorf("%s: %s: %v", in, m.what, err)
			}
		}
	}
}
