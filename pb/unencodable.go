package pb

import (
	"fmt"
	"strings"
	"unicode/utf8"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// maxDescriptionBytes limits the description of a record in log lines.
const maxDescriptionBytes = 200

// RemoveUnencodable removes from a message what protobuf does not encode, which are strings that
// are no UTF-8. It removes whole elements of lists and maps, looks into other messages, and returns
// a description of each removed part.
func RemoveUnencodable(m proto.Message) (removed []string) {
	if isEncodable(m) {
		return nil
	}
	return removeUnencodable(m.ProtoReflect(), nil)
}

func removeUnencodable(m protoreflect.Message, removed []string) []string {
	m.Range(func(field protoreflect.FieldDescriptor, value protoreflect.Value) bool {
		switch {
		case field.IsList():
			removed = filterList(field, value.List(), removed)
		case field.IsMap():
			value.Map().Range(func(key protoreflect.MapKey, element protoreflect.Value) bool {
				if !utf8.ValidString(key.String()) || !elementEncodable(element.Interface()) {
					removed = append(removed, describe(field, key.Interface()))
					value.Map().Clear(key)
				}
				return true
			})
		case field.Message() != nil:
			removed = removeUnencodable(value.Message(), removed)
		case !elementEncodable(value.Interface()):
			removed = append(removed, describe(field, value.Interface()))
			m.Clear(field)
		}
		return true
	})
	return removed
}

// filterList keeps the elements of a list that can be encoded.
func filterList(field protoreflect.FieldDescriptor, list protoreflect.List, removed []string) []string {
	kept := 0
	for i := range list.Len() {
		element := list.Get(i)
		if !elementEncodable(element.Interface()) {
			removed = append(removed, describe(field, element.Interface()))
			continue
		}
		list.Set(kept, element)
		kept++
	}
	list.Truncate(kept)
	return removed
}

func elementEncodable(element any) bool {
	switch value := element.(type) {
	case string:
		return utf8.ValidString(value)
	case protoreflect.Message:
		return isEncodable(value.Interface())
	}
	return true
}

func isEncodable(m proto.Message) bool {
	_, err := proto.Marshal(m)
	return err == nil
}

// describe names a field and what was removed from it.
func describe(field protoreflect.FieldDescriptor, value any) string {
	if m, ok := value.(protoreflect.Message); ok {
		value = m.Interface()
	}
	text := strings.ToValidUTF8(fmt.Sprint(value), "\uFFFD")
	if len(text) > maxDescriptionBytes {
		text = strings.ToValidUTF8(text[:maxDescriptionBytes], "") + "..."
	}
	return fmt.Sprintf("%s: %s", field.Name(), text)
}
