//! A small JSON reader and writer.

use std::collections::BTreeMap;
use std::fmt::Write;

/// A JSON value.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Map(BTreeMap<String, Json>),
}

impl Json {
    /// Reads a text; `None` if it isn't JSON.
    pub fn parse(text: &str) -> Option<Self> {
        let mut reader = Reader { bytes: text.as_bytes(), at: 0 };
        let value = reader.value()?;
        reader.skip_space();
        (reader.at == reader.bytes.len()).then_some(value)
    }

    /// Returns a member of a map.
    pub fn get(&self, name: &str) -> &Self {
        match self {
            Self::Map(map) => map.get(name).unwrap_or(&Self::Null),
            _ => &Self::Null,
        }
    }

    pub fn items(&self) -> &[Self] {
        match self {
            Self::List(items) => items,
            _ => &[],
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Self::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> u64 {
        match self {
            Self::Number(number) => *number as u64,
            _ => 0,
        }
    }
}

/// Writes a string with its quotes.
pub fn quoted(text: &str) -> String {
    let mut out = String::from('"');
    for c in text.chars() {
        match c {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            c if (c as u32) < 32 => _ = write!(out, "\\u{:04x}", c as u32),
            c => out.push(c),
        }
    }
    out.push('"');
    out
}

struct Reader<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Reader<'_> {
    fn skip_space(&mut self) {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn takes(&mut self, token: &str) -> bool {
        self.skip_space();
        let found = self.bytes[self.at..].starts_with(token.as_bytes());
        if found {
            self.at += token.len();
        }
        found
    }

    fn value(&mut self) -> Option<Json> {
        self.skip_space();
        match self.bytes.get(self.at)? {
            b'{' => self.map(),
            b'[' => self.list(),
            b'"' => self.string().map(Json::Text),
            _ if self.takes("null") => Some(Json::Null),
            _ if self.takes("true") => Some(Json::Bool(true)),
            _ if self.takes("false") => Some(Json::Bool(false)),
            _ => self.number(),
        }
    }

    fn map(&mut self) -> Option<Json> {
        let mut map = BTreeMap::new();
        self.at += 1;
        if self.takes("}") {
            return Some(Json::Map(map));
        }
        loop {
            self.skip_space();
            let name = self.string()?;
            if !self.takes(":") {
                return None;
            }
            map.insert(name, self.value()?);
            if self.takes("}") {
                return Some(Json::Map(map));
            }
            if !self.takes(",") {
                return None;
            }
        }
    }

    fn list(&mut self) -> Option<Json> {
        let mut items = Vec::new();
        self.at += 1;
        if self.takes("]") {
            return Some(Json::List(items));
        }
        loop {
            items.push(self.value()?);
            if self.takes("]") {
                return Some(Json::List(items));
            }
            if !self.takes(",") {
                return None;
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        if self.bytes.get(self.at) != Some(&b'"') {
            return None;
        }
        self.at += 1;
        let mut out = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(out).ok(),
                b'\\' => self.escape(&mut out)?,
                byte => out.push(byte),
            }
        }
    }

    fn escape(&mut self, out: &mut Vec<u8>) -> Option<()> {
        let byte = *self.bytes.get(self.at)?;
        self.at += 1;
        let c = match byte {
            b'n' => '\n',
            b't' => '\t',
            b'r' => '\r',
            b'b' => '\u{8}',
            b'f' => '\u{c}',
            b'u' => {
                let digits = std::str::from_utf8(self.bytes.get(self.at..self.at + 4)?).ok()?;
                self.at += 4;
                char::from_u32(u32::from_str_radix(digits, 16).ok()?)?
            }
            other => other as char,
        };
        out.extend_from_slice(c.encode_utf8(&mut [0; 4]).as_bytes());
        Some(())
    }

    fn number(&mut self) -> Option<Json> {
        let begin = self.at;
        while self
            .bytes
            .get(self.at)
            .is_some_and(|byte| matches!(byte, b'0'..=b'9' | b'-' | b'+' | b'.' | b'e' | b'E'))
        {
            self.at += 1;
        }
        std::str::from_utf8(&self.bytes[begin..self.at]).ok()?.parse().ok().map(Json::Number)
    }
}
