package config

import (
	"fmt"
	"strings"

	"github.com/briarcross/briarcross/pb"
)

// SchemaVersion is the version of the document format.
const SchemaVersion = 1

const (
	profilePrefix = "profile/"
	servicePrefix = "service/"
)

// ProfileKey returns the key of a profile.
func ProfileKey(name string) string {
	return profilePrefix + name
}

// ServiceKey returns the key of a service.
func ServiceKey(name string) string {
	return servicePrefix + name
}

// Key returns the key of a document, "profile/NAME" or "service/NAME", or an
// empty string if the document has no body.
func Key(doc *pb.Document) string {
	switch body := doc.GetBody().(type) {
	case *pb.Document_Profile:
		return ProfileKey(body.Profile.GetName())
	case *pb.Document_Service:
		return ServiceKey(body.Service.GetName())
	}
	return ""
}

// FieldError reports an invalid field of a document.
type FieldError struct {
	// Document is the key of the document.
	Document string
	// Field is the name of the field in YAML.
	Field string
	// Reason says what is wrong with the field.
	Reason string
}

// Error implements error.
func (e *FieldError) Error() string {
	return fmt.Sprintf("%s: field %s: %s", e.Document, e.Field, e.Reason)
}

const (
	maxNameLength      = 63
	maxModelNameLength = 128
)

// checkName returns the reason why a document name is invalid, or "".
func checkName(name string) string {
	if name == "" {
		return "a name is required"
	}
	if len(name) > maxNameLength {
		return fmt.Sprintf("a name has at most %d characters", maxNameLength)
	}
	for _, c := range []byte(name) {
		if !isNameCharacter(c) {
			return "a name consists of a-z, 0-9, '-', '_' and '.'"
		}
	}
	return ""
}

func isNameCharacter(c byte) bool {
	if c >= 'a' && c <= 'z' || c >= '0' && c <= '9' {
		return true
	}
	return c == '-' || c == '_' || c == '.'
}

// checkModelName returns the reason why the name of a model, model version or
// adapter is invalid, or "".
func checkModelName(name string) string {
	if len(name) > maxModelNameLength {
		return fmt.Sprintf("at most %d characters are allowed", maxModelNameLength)
	}
	if strings.IndexFunc(name, isNotPrintable) >= 0 {
		return "only printable ASCII characters without spaces are allowed"
	}
	return ""
}

func isNotPrintable(r rune) bool {
	return r <= ' ' || r > '~'
}

// splitKey splits a key into the prefix of its kind and the name; the prefix is
// empty if the key has none.
func splitKey(key string) (prefix, name string) {
	for _, prefix := range []string{profilePrefix, servicePrefix} {
		if rest, ok := strings.CutPrefix(key, prefix); ok {
			return prefix, rest
		}
	}
	return "", key
}
