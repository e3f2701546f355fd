// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

// Package codeunits decodes JSON strings strictly by RFC 8259, so that tests can compare received strings with
// sent ones. encoding/json does not suffice: it decodes different strings, such as those with unpaired
// surrogates, to the same text. Only tests use this package.
//
// # Usage
//
//	units, err := codeunits.Read([]byte(`"a\ud800"`)) // 0x61, 0xd800
package codeunits

import (
	"encoding/hex"
	"unicode/utf16"
	"unicode/utf8"

	"github.com/cockroachdb/errors"
)

// firstPrintable is the first character that may appear in a string unescaped.
const firstPrintable = 0x20

// shortEscapes are the escapes of one character after the backslash.
var shortEscapes = map[byte]uint16{
	'"': '"', '\\': '\\', '/': '/', 'b': '\b', 'f': '\f', 'n': '\n', 'r': '\r', 't': '\t',
}

// Read returns the UTF-16 code units of a JSON string, which is given with its quotes. Surrogates may be
// unpaired. Bytes that are not valid UTF-8 and anything else that RFC 8259 does not allow are errors.
func Read(literal []byte) ([]uint16, error) {
	if len(literal) < 2 || literal[0] != '"' || literal[len(literal)-1] != '"' {
		return nil, errors.New("string is not enclosed in quotes")
	}
	rest := literal[1 : len(literal)-1]
	units := []uint16{}
	for len(rest) > 0 {
		read, size, err := next(rest)
		if err != nil {
			return nil, err
		}
		units = append(units, read...)
		rest = rest[size:]
	}
	return units, nil
}

// next decodes one character or escape and returns its size in bytes.
func next(rest []byte) (units []uint16, size int, err error) {
	r, size := utf8.DecodeRune(rest)
	switch {
	case r == '\\':
		return escape(rest[1:])
	case r == utf8.RuneError && size == 1:
		return nil, 0, errors.Newf("byte %#x is not valid UTF-8", rest[0])
	case r < firstPrintable || r == '"':
		return nil, 0, errors.Newf("character %q is not escaped", r)
	default:
		return utf16.AppendRune(nil, r), size, nil
	}
}

// escape decodes the rest of an escape, after its backslash; the size includes the backslash.
func escape(rest []byte) (units []uint16, size int, err error) {
	if len(rest) == 0 {
		return nil, 0, errors.New("string ends in a backslash")
	}
	if unit, ok := shortEscapes[rest[0]]; ok {
		return []uint16{unit}, 2, nil
	}
	var unit [2]byte
	if len(rest) < 5 || rest[0] != 'u' {
		return nil, 0, errors.Newf("invalid escape of %q", rest[0])
	}
	if _, err := hex.Decode(unit[:], rest[1:5]); err != nil {
		return nil, 0, errors.Wrapf(err, "invalid escape %q", rest[:5])
	}
	return []uint16{uint16(unit[0])<<8 | uint16(unit[1])}, 6, nil
}
