package batch

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/rotisserie/eris"

	"github.com/briarcross/briarcross/pb"
)

// requestLine is the request on one line of the OpenAI batch format.
type requestLine struct {
	CustomID string          `json:"custom_id"`
	Method   string          `json:"method"`
	URL      string          `json:"url"`
	Body     json.RawMessage `json:"body"`
}

type requestBody struct {
	Model string `json:"model"`
}

// nextItem returns the item on the next line that is not blank, or io.EOF.
func (in *Intake) nextItem(lines *bufio.Reader) (*pb.Item, error) {
	for {
		line, err := in.readLine(lines)
		if err != nil {
			return nil, err
		}
		if len(bytes.TrimSpace(line)) == 0 {
			continue
		}
		return in.parseLine(line)
	}
}

// readLine returns the next line, or io.EOF after the last one.
func (in *Intake) readLine(lines *bufio.Reader) ([]byte, error) {
	var line []byte
	in.lineNumber++
	for {
		fragment, err := lines.ReadSlice('\n')
		line = append(line, fragment...)
		if len(line) > in.options.MaxLineBytes {
			return nil, in.lineError(fmt.Sprintf("longer than %d bytes", in.options.MaxLineBytes))
		}
		switch {
		case err == nil:
			return line, nil
		case errors.Is(err, bufio.ErrBufferFull):
		case errors.Is(err, io.EOF) && len(line) > 0:
			return line, nil
		case errors.Is(err, io.EOF):
			return nil, io.EOF
		default:
			return nil, &SubmitError{Reason: eris.Wrap(err, "read the job").Error(), NotAccepted: true, Retry: true}
		}
	}
}

func (in *Intake) parseLine(line []byte) (*pb.Item, error) {
	var parsed requestLine
	decoder := json.NewDecoder(bytes.NewReader(line))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&parsed); err != nil {
		return nil, in.lineError("not a batch request: " + err.Error())
	}
	if decoder.More() {
		return nil, in.lineError("more than one value on the line")
	}
	if reason := in.lineFault(&parsed); reason != "" {
		return nil, in.lineError(reason)
	}
	item := &pb.Item{Index: in.itemCount, CustomId: parsed.CustomID, Body: parsed.Body}
	in.itemCount++
	return item, nil
}

// lineFault returns why a line is rejected, or an empty string if it is valid.
func (in *Intake) lineFault(line *requestLine) string {
	if line.CustomID == "" || len(line.CustomID) > maxCustomIDBytes {
		return fmt.Sprintf("custom_id must have 1 to %d bytes", maxCustomIDBytes)
	}
	if line.Method != http.MethodPost {
		return fmt.Sprintf("method %q is not POST", line.Method)
	}
	if line.URL != in.options.Endpoint {
		return fmt.Sprintf("url %q is not the job's endpoint %q", line.URL, in.options.Endpoint)
	}
	if len(line.Body) == 0 || line.Body[0] != '{' {
		return "body is not an object"
	}
	if in.options.Model == "" {
		return ""
	}
	var body requestBody
	if err := json.Unmarshal(line.Body, &body); err != nil {
		return "body is not a request: " + err.Error()
	}
	if body.Model != in.options.Model {
		return fmt.Sprintf("model %q is not %q", body.Model, in.options.Model)
	}
	return ""
}

func (in *Intake) lineError(reason string) *LineError {
	return &LineError{Line: in.lineNumber, Reason: reason}
}
