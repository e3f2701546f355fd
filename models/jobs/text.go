// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package jobs

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"unicode/utf16"
	"unicode/utf8"

	"github.com/cockroachdb/errors"
)

// Text is an opaque text of callers or workers, such as a payload or a checkpoint, which is passed on
// unchanged. A Text can hold every JSON string, as UTF-8 in which an unpaired surrogate is encoded as the
// three bytes that UTF-8 would use for its code point, so that equal texts are equal strings. Only the JSON
// methods of Text preserve unpaired surrogates: encoding/json reads and writes them in strings as U+FFFD, so
// that a run would start with another text than the caller or the worker has sent.
type Text string

const (
	firstHigh, firstLow, lastLow = 0xd800, 0xdc00, 0xdfff // surrogates

	surrogateSize = 3 // bytes of an encoded surrogate
	escapeSize    = 6 // bytes of an escape with four hexadecimal digits, as \u00e9
)

// shortEscapes maps the character after the backslash in a two-character escape to the byte that it stands for.
var shortEscapes = map[byte]byte{
	'"': '"', '\\': '\\', '/': '/', 'b': '\b', 'f': '\f', 'n': '\n', 'r': '\r', 't': '\t',
}

// ParseText decodes a JSON string literal. Anything else is an error, as are bytes that are not valid UTF-8:
// they can't be written as JSON again, and must not be replaced by a similar text.
func ParseText(literal []byte) (Text, error) {
	if len(literal) < 2 || literal[0] != '"' || literal[len(literal)-1] != '"' {
		return "", errors.New("text is no JSON string")
	}
	inner := literal[1 : len(literal)-1]
	if bytes.IndexByte(inner, '\\') < 0 {
		if err := checkPlain(inner); err != nil {
			return "", err
		}
		return Text(inner), nil
	}
	text := make([]byte, 0, len(inner))
	for {
		plain, escaped, found := cutEscape(inner)
		if err := checkPlain(plain); err != nil {
			return "", err
		}
		text = append(text, plain...)
		if !found {
			return Text(text), nil
		}
		unit, size, err := readEscape(escaped)
		if err != nil {
			return "", err
		}
		text = appendUnit(text, unit)
		inner = escaped[size:]
	}
}

// cutEscape splits the part before its first escape.
func cutEscape(part []byte) (plain, escaped []byte, found bool) {
	at := bytes.IndexByte(part, '\\')
	if at < 0 {
		return part, nil, false
	}
	return part[:at], part[at:], true
}

// checkPlain rejects control characters and quotes, which need an escape in a JSON string, and invalid UTF-8.
func checkPlain(part []byte) error {
	for _, b := range part {
		if b < ' ' || b == '"' {
			return errors.Newf("text has %q without escape", b)
		}
	}
	if !utf8.Valid(part) {
		return errors.New("text is no UTF-8")
	}
	return nil
}

// readEscape decodes the escape at the start of the part: the UTF-16 code unit that it stands for, and the
// size of the escape in bytes.
func readEscape(part []byte) (unit rune, size int, err error) {
	if len(part) > 1 && shortEscapes[part[1]] != 0 {
		return rune(shortEscapes[part[1]]), 2, nil
	}
	var digits [2]byte
	if len(part) < escapeSize || part[1] != 'u' {
		return 0, 0, errors.New("text has an escape that there is not")
	}
	if _, err := hex.Decode(digits[:], part[2:escapeSize]); err != nil {
		return 0, 0, errors.Wrap(err, "text has an escape that there is not")
	}
	return rune(digits[0])<<8 | rune(digits[1]), escapeSize, nil
}

// appendUnit appends a UTF-16 code unit. A low surrogate after a high surrogate replaces it by the code point of
// the pair.
func appendUnit(text []byte, unit rune) []byte {
	if unit < firstHigh || unit > lastLow {
		return utf8.AppendRune(text, unit)
	}
	if before := len(text) - surrogateSize; unit >= firstLow && before >= 0 {
		if high, ok := surrogateAt(string(text[before:])); ok && high < firstLow {
			return utf8.AppendRune(text[:before], utf16.DecodeRune(high, unit))
		}
	}
	return append(text, 0xe0|byte(unit>>12), 0x80|byte(unit>>6&0x3f), 0x80|byte(unit&0x3f))
}

// surrogateAt decodes the encoded surrogate at the start of the text; ok is false if there is none.
func surrogateAt(text string) (unit rune, ok bool) {
	if len(text) < surrogateSize || text[0] != 0xed || text[1]&0xe0 != 0xa0 || text[2]&0xc0 != 0x80 {
		return 0, false
	}
	return firstHigh | rune(text[1]&0x1f)<<6 | rune(text[2]&0x3f), true
}

// UnmarshalJSON decodes a JSON string; null leaves the text unchanged.
func (t *Text) UnmarshalJSON(literal []byte) (err error) {
	if string(literal) == "null" {
		return nil
	}
	*t, err = ParseText(literal)
	return err
}

// MarshalJSON encodes the text as a JSON string that ParseText decodes to the same text.
func (t Text) MarshalJSON() ([]byte, error) {
	return t.AppendJSON(make([]byte, 0, len(t)+len(`""`)))
}

// AppendJSON appends the text as a JSON string that ParseText decodes to the same text. Bytes that are neither
// valid UTF-8 nor an encoded surrogate are an error.
func (t Text) AppendJSON(literal []byte) ([]byte, error) {
	text := string(t)
	literal = append(literal, '"')
	for text != "" {
		plain := plainPrefix(text)
		literal = append(literal, text[:plain]...)
		text = text[plain:]
		if text == "" {
			break
		}
		unit, size := rune(text[0]), 1
		if half, ok := surrogateAt(text); ok {
			unit, size = half, surrogateSize
		} else if unit >= utf8.RuneSelf {
			return nil, errors.New("text is no UTF-8")
		}
		literal = fmt.Appendf(literal, `\u%04x`, unit)
		text = text[size:]
	}
	return append(literal, '"'), nil
}

// plainPrefix returns the length of the prefix that a JSON string can contain unescaped.
func plainPrefix(text string) int {
	for i := 0; i < len(text); {
		b := text[i]
		if b < utf8.RuneSelf {
			if b < ' ' || b == '"' || b == '\\' {
				return i
			}
			i++
			continue
		}
		r, size := utf8.DecodeRuneInString(text[i:])
		if r == utf8.RuneError && size == 1 {
			return i
		}
		i += size
	}
	return len(text)
}
