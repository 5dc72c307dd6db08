package openai

import "encoding/json"

// ErrorDetail is the error object in the body of an error response.
type ErrorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	// Code is stable; callers may branch on it.
	Code string `json:"code"`
}

type errorEnvelope struct {
	Error ErrorDetail `json:"error"`
}

// ErrorType is the type field of each error that this package writes.
const ErrorType = "briarcross_error"

// ErrorBody returns the JSON body of an error response.
func ErrorBody(code, message string) []byte {
	detail := ErrorDetail{Message: message, Type: ErrorType, Code: code}
	body, err := json.Marshal(errorEnvelope{Error: detail})
	if err != nil {
		panic(err) // A struct of strings always marshals.
	}
	return body
}

// ParseError parses the body of an error response. It reports whether the body
// has an error object.
func ParseError(body []byte) (ErrorDetail, bool) {
	var fields struct {
		Error *ErrorDetail `json:"error"`
	}
	if json.Unmarshal(body, &fields) != nil || fields.Error == nil {
		return ErrorDetail{}, false
	}
	return *fields.Error, true
}
