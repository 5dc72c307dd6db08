package daemon

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
)

const (
	bearerPrefix          = "Bearer "
	tokensRecheckInterval = time.Second
)

type tokenHash [sha256.Size]byte

// Tokens identifies the holders of bearer tokens by the tokens' hashes. It
// loads its file again when the file has changed, and keeps the last valid
// content if the new one is invalid. It is safe for concurrent use.
type Tokens struct {
	file string

	mu            sync.Mutex
	holdersByHash map[tokenHash]string
	modTime       time.Time
	checkedAt     time.Time
}

// LoadTokens reads a file with one token per line: the name of its holder and
// the SHA-256 hash of the token in hexadecimal. Empty lines and lines that
// start with # are skipped. LoadTokens returns nil if the file name is empty.
func LoadTokens(file string) (*Tokens, error) {
	if file == "" {
		return nil, nil
	}
	t := &Tokens{file: file}
	return t, t.reload()
}

// HashToken returns the hash of a token in the format of a token file.
func HashToken(token string) string {
	hash := sha256.Sum256([]byte(token))
	return hex.EncodeToString(hash[:])
}

// reload reads the file if it has changed since it was last read.
func (t *Tokens) reload() error {
	info, err := os.Stat(t.file)
	if err != nil {
		return eris.Wrap(err, "read token file")
	}
	if t.holdersByHash != nil && info.ModTime().Equal(t.modTime) {
		return nil
	}
	text, err := os.ReadFile(t.file)
	if err != nil {
		return eris.Wrap(err, "read token file")
	}
	holders, err := parseTokens(t.file, text)
	if err != nil {
		return err
	}
	t.holdersByHash, t.modTime = holders, info.ModTime()
	return nil
}

func parseTokens(file string, text []byte) (map[tokenHash]string, error) {
	holders := make(map[tokenHash]string)
	scanner := bufio.NewScanner(bytes.NewReader(text))
	for line := 1; scanner.Scan(); line++ {
		if err := parseTokenLine(holders, scanner.Text()); err != nil {
			return nil, eris.Errorf("%s:%d: %v", file, line, err)
		}
	}
	return holders, eris.Wrap(scanner.Err(), "read token file")
}

func parseTokenLine(holders map[tokenHash]string, line string) error {
	fields := strings.Fields(line)
	if len(fields) == 0 || strings.HasPrefix(fields[0], "#") {
		return nil
	}
	const columns = 2
	if len(fields) != columns {
		return eris.New("expected the holder's name and the token's hash")
	}
	var hash tokenHash
	if len(fields[1]) != hex.EncodedLen(len(hash)) {
		return eris.New("the token hash must be 64 hexadecimal digits")
	}
	if _, err := hex.Decode(hash[:], []byte(fields[1])); err != nil {
		return eris.New("the token hash must be 64 hexadecimal digits")
	}
	holders[hash] = fields[0]
	return nil
}

// Identify returns the holder of a request's bearer token, or false if the
// token is missing or unknown.
func (t *Tokens) Identify(ctx *fasthttp.RequestCtx) (string, bool) {
	token, ok := bytes.CutPrefix(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization), []byte(bearerPrefix))
	if !ok {
		return "", false
	}
	name, ok := t.currentHolders()[sha256.Sum256(token)]
	return name, ok
}

func (t *Tokens) currentHolders() map[tokenHash]string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now := time.Now(); now.Sub(t.checkedAt) >= tokensRecheckInterval {
		t.checkedAt = now
		// If the file is invalid, the last valid content is kept.
		_ = t.reload()
	}
	return t.holdersByHash
}
