package config

import (
	"fmt"

	"github.com/briarcross/briarcross/pb"
)

const (
	maxAdapters     = 64
	maxMinUpstreams = 10_000
)

// Validate checks the fields of one document. The error is a *FieldError.
func Validate(doc *pb.Document) error {
	if fieldErr := validate(doc); fieldErr != nil {
		return fieldErr
	}
	return nil
}

func validate(doc *pb.Document) *FieldError {
	var fieldErr *FieldError
	switch body := doc.GetBody().(type) {
	case *pb.Document_Profile:
		fieldErr = validateProfile(body.Profile)
	case *pb.Document_Service:
		fieldErr = validateService(body.Service)
	default:
		return &FieldError{Field: "kind", Reason: "a document is a Profile or a Service"}
	}
	if fieldErr != nil {
		fieldErr.Document = Key(doc)
	}
	return fieldErr
}

func validateProfile(p *pb.Profile) *FieldError {
	if fieldErr := validateHeader(p.GetName(), p.GetSchemaVersion()); fieldErr != nil {
		return fieldErr
	}
	class := p.GetServiceClass()
	if class != pb.ServiceClass_CLASS_ONLINE && class != pb.ServiceClass_CLASS_BATCH {
		return &FieldError{Field: "class", Reason: "online or batch is required"}
	}
	for i := range numericProfileFields {
		n := &numericProfileFields[i]
		if value := n.get(p); value < n.min || value > n.max {
			return &FieldError{Field: n.name, Reason: rangeReason(n)}
		}
	}
	return validateTargets(p)
}

func rangeReason(n *numericField) string {
	if n.duration {
		return fmt.Sprintf("the duration must be between %s and %s", formatMs(n.min), formatMs(n.max))
	}
	return fmt.Sprintf("the number must be between %d and %d", n.min, n.max)
}

func validateTargets(p *pb.Profile) *FieldError {
	online := p.GetServiceClass() == pb.ServiceClass_CLASS_ONLINE
	if online && p.GetFirstTokenMs() == 0 {
		return &FieldError{Field: "firstToken", Reason: "an online profile needs a target"}
	}
	if online && p.GetBetweenTokensMs() == 0 {
		return &FieldError{Field: "betweenTokens", Reason: "an online profile needs a target"}
	}
	if p.GetHedgeAfterMs() == 0 {
		return nil
	}
	if !online {
		return &FieldError{Field: "hedgeAfter", Reason: "batch work is not hedged"}
	}
	if !p.GetIdempotent() {
		return &FieldError{Field: "hedgeAfter", Reason: "only idempotent requests are hedged"}
	}
	return nil
}

func validateService(s *pb.Service) *FieldError {
	if fieldErr := validateHeader(s.GetName(), s.GetSchemaVersion()); fieldErr != nil {
		return fieldErr
	}
	if reason := checkName(s.GetProfile()); reason != "" {
		return &FieldError{Field: "profile", Reason: reason}
	}
	if s.GetBatchProfile() != "" {
		if reason := checkName(s.GetBatchProfile()); reason != "" {
			return &FieldError{Field: "batchProfile", Reason: reason}
		}
	}
	if s.GetMinUpstreams() > maxMinUpstreams {
		return &FieldError{Field: "minUpstreams", Reason: fmt.Sprintf("at most %d are allowed", maxMinUpstreams)}
	}
	return validateModel(s)
}

func validateModel(s *pb.Service) *FieldError {
	switch s.GetKind() {
	case pb.ServiceKind_SERVICE_MODEL:
		if s.GetModel() == "" {
			return &FieldError{Field: "model", Reason: "a model service needs a model"}
		}
	case pb.ServiceKind_SERVICE_PLAIN:
		if s.GetModel() != "" || s.GetVersion() != "" || len(s.GetAdapters()) > 0 {
			return &FieldError{Field: "model", Reason: "a plain service has no model, version or adapters"}
		}
	default:
		return &FieldError{Field: "kind", Reason: "model or plain is required"}
	}
	if reason := checkModelName(s.GetModel()); reason != "" {
		return &FieldError{Field: "model", Reason: reason}
	}
	if reason := checkModelName(s.GetVersion()); reason != "" {
		return &FieldError{Field: "version", Reason: reason}
	}
	return validateAdapters(s.GetAdapters())
}

func validateAdapters(adapters []string) *FieldError {
	if len(adapters) > maxAdapters {
		return &FieldError{Field: "adapters", Reason: fmt.Sprintf("at most %d are allowed", maxAdapters)}
	}
	seen := make(map[string]bool, len(adapters))
	for _, adapter := range adapters {
		if adapter == "" {
			return &FieldError{Field: "adapters", Reason: "an adapter needs a name"}
		}
		if reason := checkModelName(adapter); reason != "" {
			return &FieldError{Field: "adapters", Reason: reason}
		}
		if seen[adapter] {
			return &FieldError{Field: "adapters", Reason: "adapter " + adapter + " is listed twice"}
		}
		seen[adapter] = true
	}
	return nil
}

func validateHeader(name string, schema uint32) *FieldError {
	if reason := checkName(name); reason != "" {
		return &FieldError{Field: "name", Reason: reason}
	}
	if schema != SchemaVersion {
		return &FieldError{Field: "schemaVersion", Reason: fmt.Sprintf("version %d is required", SchemaVersion)}
	}
	return nil
}
