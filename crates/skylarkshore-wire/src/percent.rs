//! Percent-encoding of names in keys and paths.

use std::fmt::Write;

use derive_more::{Display, Error};

/// A percent sign isn't followed by two hexadecimal digits, or the decoded text isn't UTF-8.
#[derive(Debug, Display, Error, PartialEq, Eq)]
#[display("a percent sign needs two hexadecimal digits after it, and the whole has to be UTF-8; correct it")]
pub struct InvalidEncoding;

/// Percent-encodes every byte except ASCII letters, digits and any of `. _ -`.
pub fn encode(text: &str) -> String {
    text.bytes().fold(String::with_capacity(text.len()), |mut encoded, byte| {
        if byte.is_ascii_alphanumeric() || b"._-".contains(&byte) {
            encoded.push(char::from(byte));
        } else {
            // Writing to a string can't fail.
            _ = write!(encoded, "%{byte:02X}");
        }
        encoded
    })
}

/// Decodes percent-encoded bytes; other bytes are kept.
///
/// # Errors
///
/// See [`InvalidEncoding`].
pub fn decode(text: &str) -> Result<String, InvalidEncoding> {
    let mut bytes = Vec::with_capacity(text.len());
    let mut rest = text.as_bytes();
    while let [first, tail @ ..] = rest {
        rest = tail;
        if *first != b'%' {
            bytes.push(*first);
            continue;
        }
        let (digits, tail) = rest.split_at_checked(2).ok_or(InvalidEncoding)?;
        let digits = str::from_utf8(digits).map_err(|_invalid| InvalidEncoding)?;
        if !digits.bytes().all(|digit| digit.is_ascii_hexdigit()) {
            return Err(InvalidEncoding);
        }
        bytes.push(u8::from_str_radix(digits, 16).map_err(|_invalid| InvalidEncoding)?);
        rest = tail;
    }
    String::from_utf8(bytes).map_err(|_invalid| InvalidEncoding)
}
