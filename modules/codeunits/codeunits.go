// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

// Package codeunits reads JSON strings as strictly as a peer may: tests compare by it what came
// in with what goes out. encoding/json can't serve for that, it reads several texts as one. Only
// tests use it.
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

// firstPrintable is the first character that may stand in a string without escape.
const firstPrintable = 0x20

// shortEscapes are the escapes of one letter.
var shortEscapes = map[byte]uint16{
	'"': '"', '\\': '\\', '/': '/', 'b': '\b', 'f': '\f', 'n': '\n', 'r': '\r', 't': '\t',
}

// Read gives the UTF-16 code units of a JSON string, its quotes included. Surrogates need not
// come in pairs; bytes that are no UTF-8, and whatever else RFC 8259 does not allow, are errors.
func Read(literal []byte) ([]uint16, error) {
	if len(literal) < 2 || literal[0] != '"' || literal[len(literal)-1] != '"' {
		return nil, errors.New("no quotes around the string")
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

// next reads one character or escape, and says how many bytes it has.
func next(rest []byte) (units []uint16, size int, err error) {
	r, size := utf8.DecodeRune(rest)
	switch {
	case r == '\\':
		return escape(rest[1:])
	case r == utf8.RuneError && size == 1:
		return nil, 0, errors.Newf("byte %#x is no UTF-8", rest[0])
	case r < firstPrintable || r == '"':
		return nil, 0, errors.Newf("character %q without escape", r)
	default:
		return utf16.AppendRune(nil, r), size, nil
	}
}

// escape reads what follows a backslash; the size counts the backslash.
func escape(rest []byte) (units []uint16, size int, err error) {
	if len(rest) == 0 {
		return nil, 0, errors.New("backslash at the end")
	}
	if unit, ok := shortEscapes[rest[0]]; ok {
		return []uint16{unit}, 2, nil
	}
	var unit [2]byte
	if len(rest) < 5 || rest[0] != 'u' {
		return nil, 0, errors.Newf("escape of %q", rest[0])
	}
	if _, err := hex.Decode(unit[:], rest[1:5]); err != nil {
		return nil, 0, errors.Wrapf(err, "escape %q", rest[:5])
	}
	return []uint16{uint16(unit[0])<<8 | uint16(unit[1])}, 6, nil
}
