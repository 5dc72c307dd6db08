package entryd

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"os"
	"strings"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
)

const (
	headerCaller    = "Briarcross-Caller"
	anonymousCaller = "anonymous"
	bearerPrefix    = "Bearer "
)

type tokenHash [sha256.Size]byte

// callers maps hashes of bearer tokens to callers. Nil trusts the caller's
// own header.
type callers map[tokenHash]string

// loadCallers reads a file with one caller a line: the name and the SHA-256
// hash of its token in hexadecimal. An empty name of the file returns nil.
func loadCallers(file string) (callers, error) {
	if file == "" {
		return nil, nil
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, eris.Wrap(err, "read tokens")
	}
	known := make(callers)
	scanner := bufio.NewScanner(bytes.NewReader(text))
	for line := 1; scanner.Scan(); line++ {
		if err := known.parseLine(scanner.Text()); err != nil {
			return nil, eris.Errorf("%s:%d: %v", file, line, err)
		}
	}
	return known, eris.Wrap(scanner.Err(), "read tokens")
}

func (c callers) parseLine(line string) error {
	fields := strings.Fields(line)
	if len(fields) == 0 || strings.HasPrefix(fields[0], "#") {
		return nil
	}
	const columns = 2
	if len(fields) != columns {
		return eris.New("expected a caller and a hash")
	}
	var hash tokenHash
	n, err := hex.Decode(hash[:], []byte(fields[1]))
	if err != nil || n != len(hash) {
		return eris.New("the hash must be 64 hexadecimal digits")
	}
	c[hash] = fields[0]
	return nil
}

// identify returns the caller of a request, or false when its token is unknown.
func (c callers) identify(ctx *fasthttp.RequestCtx) (string, bool) {
	if c == nil {
		if name := ctx.Request.Header.Peek(headerCaller); len(name) > 0 {
			return string(name), true
		}
		return anonymousCaller, true
	}
	token, ok := bytes.CutPrefix(ctx.Request.Header.Peek("Authorization"), []byte(bearerPrefix))
	if !ok {
		return "", false
	}
	name, ok := c[sha256.Sum256(token)]
	return name, ok
}
