package identifier

import (
	"strings"
	"testing"
	"unicode/utf8"

	. "github.com/onsi/gomega"
)

func TestCheck(t *testing.T) {
	for text, valid := range map[string]bool{
		"i-7f3a91c2": true, "hall-luleå": true, "a b": true, strings.Repeat("x", MaxBytes): true,
		"": false, strings.Repeat("x", MaxBytes+1): false, "i-6d\xff\xfe": false, "a\nb": false, "a\x00": false, "\x7f": false, "\u0085": false,
	} {
		NewWithT(t).Expect(Check("ID", text, MaxBytes) == nil).To(Equal(valid), "%q", text)
	}
	NewWithT(t).Expect(CheckOptional("ID", "", MaxBytes)).To(Succeed())
	NewWithT(t).Expect(Check("ID", "i-\xff", MaxBytes)).To(MatchError(ContainSubstring(`ID is not UTF-8: "i-\xff"`)))
}

func FuzzLoggable(f *testing.F) {
	f.Add("i-6d\xff\xfe")
	f.Add(strings.Repeat("\xff", 2*MaxBytes))
	f.Fuzz(func(t *testing.T, text string) {
		logged := Loggable(text)
		if !utf8.ValidString(logged) || strings.ContainsFunc(logged, isControl) || len(logged) > 10*maxQuotedBytes {
			t.Fatalf("%q is not loggable", logged)
		}
		if message := Message(text); !utf8.ValidString(message) || len(message) > 3*maxMessageBytes {
			t.Fatalf("%q cannot be sent", message)
		}
	})
}
