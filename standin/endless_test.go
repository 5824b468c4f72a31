package standin_test

import (
	"errors"
	"io"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/sapphiretack/sapphiretack/standin"
)

// zeros is a body that does not end.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

// TestReadBody guards against a stand-in, or a client of the soak, that reads a body without end until it has run out of memory, and against a
// body that is cut at the limit and looks whole.
func TestReadBody(t *testing.T) {
	_, err := standin.ReadBody(zeros{})
	qt.Check(t, err, qt.IsNotNil)
	_, err = standin.ReadBody(io.LimitReader(zeros{}, 64<<20+1))
	qt.Check(t, err, qt.IsNotNil)
	body, err := standin.ReadBody(strings.NewReader("whole"))
	qt.Check(t, err, qt.IsNil)
	qt.Check(t, string(body), qt.Equals, "whole")
	_, err = standin.ReadBody(io.MultiReader(strings.NewReader("half"), brokenBody{}))
	qt.Check(t, err, qt.IsNotNil)
}

// brokenBody is a body that breaks.
type brokenBody struct{}

func (brokenBody) Read([]byte) (int, error) { return 0, errors.New("connection reset") }
