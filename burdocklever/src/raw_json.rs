//! Splits JSON text into its parts without reading them, so that an entry that cannot be
//! read does not affect the entries beside it.
//!
//! A part may be anything, such as text that is not UTF-8, a number out of range or values
//! nested to any depth, as long as its quotes and brackets are balanced. The stack and the
//! memory in use do not depend on it.

use serde::de::DeserializeOwned;

/// Result of splitting a text.
pub type Result<T> = std::result::Result<T, Error>;

/// Text that is not the expected object or array, or whose parts have no end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("expected {expected} at byte {at}")]
pub struct Error {
    /// What was expected.
    pub expected: &'static str,
    /// Position in the text.
    pub at: usize,
}

/// A member of an object: its name as it is written, without quotes, and its value.
pub type Member<'a> = (&'a [u8], &'a [u8]);

/// Splits an object into its members.
///
/// # Errors
///
/// [`Error`] if the text is no object, or if a quote or bracket in it is not balanced.
///
/// ```
/// use burdocklever::raw_json::{members, value_of};
///
/// let members = members(b"{\"items\": [1e999], \"rev\": 7}").unwrap();
/// assert_eq!(value_of(&members, "items"), Some(&b"[1e999]"[..]));
/// ```
pub fn members(json: &[u8]) -> Result<Vec<Member<'_>>> {
    let mut parts = Parts { json, at: 0 };
    parts.expect(b'{', "an object")?;
    let mut members = Vec::new();
    while !parts.ends(b'}', members.is_empty())? {
        let name = parts.name()?;
        parts.expect(b':', "a colon")?;
        members.push((name, parts.value()?));
    }
    parts.expect_end()?;
    Ok(members)
}

/// Splits an array into its elements.
///
/// # Errors
///
/// As for [`members`].
pub fn elements(json: &[u8]) -> Result<Vec<&[u8]>> {
    let mut parts = Parts { json, at: 0 };
    parts.expect(b'[', "an array")?;
    let mut elements = Vec::new();
    while !parts.ends(b']', elements.is_empty())? {
        elements.push(parts.value()?);
    }
    parts.expect_end()?;
    Ok(elements)
}

/// Value of the first member with a name.
pub fn value_of<'a>(members: &[Member<'a>], name: &str) -> Option<&'a [u8]> {
    let named = members.iter().find(|(n, _)| *n == name.as_bytes());
    named.map(|(_, value)| *value)
}

/// Reads a part. All of it must be UTF-8, also what `T` leaves out; none if it is not, or if it
/// is no `T`.
pub fn read<T: DeserializeOwned>(json: &[u8]) -> Option<T> {
    serde_json::from_str(std::str::from_utf8(json).ok()?).ok()
}

/// Position in a text.
struct Parts<'a> {
    json: &'a [u8],
    at: usize,
}

impl<'a> Parts<'a> {
    fn fail<T>(&self, expected: &'static str) -> Result<T> {
        Err(Error {
            expected,
            at: self.at,
        })
    }

    fn peek(&mut self) -> Option<u8> {
        let rest = &self.json[self.at..];
        let space = rest.iter().take_while(|b| b.is_ascii_whitespace());
        self.at += space.count();
        self.json.get(self.at).copied()
    }

    fn expect(&mut self, byte: u8, expected: &'static str) -> Result<()> {
        if self.peek() != Some(byte) {
            return self.fail(expected);
        }
        self.at += 1;
        Ok(())
    }

    fn expect_end(&mut self) -> Result<()> {
        match self.peek() {
            None => Ok(()),
            Some(_) => self.fail("the end of the text"),
        }
    }

    /// Passes the closing bracket, or the comma before the next part. There is none before
    /// the first.
    fn ends(&mut self, bracket: u8, first: bool) -> Result<bool> {
        if self.peek() == Some(bracket) {
            self.at += 1;
            return Ok(true);
        }
        if !first {
            self.expect(b',', "a comma or the closing bracket")?;
        }
        Ok(false)
    }

    fn name(&mut self) -> Result<&'a [u8]> {
        if self.peek() != Some(b'"') {
            return self.fail("a name in quotes");
        }
        let start = self.at + 1;
        self.pass_string()?;
        Ok(&self.json[start..self.at - 1])
    }

    /// Passes a string with its quotes.
    fn pass_string(&mut self) -> Result<()> {
        self.at += 1;
        while let Some(byte) = self.json.get(self.at) {
            self.at += match byte {
                b'\\' => 2,
                _ => 1,
            };
            if *byte == b'"' {
                return Ok(());
            }
        }
        self.fail("a closing quote")
    }

    /// Passes a value, up to the comma or bracket after it.
    fn value(&mut self) -> Result<&'a [u8]> {
        self.peek();
        let start = self.at;
        let mut depth: usize = 0;
        while let Some(byte) = self.json.get(self.at) {
            match byte {
                b'"' => {
                    self.pass_string()?;
                    continue;
                }
                b'[' | b'{' => depth += 1,
                b']' | b'}' | b',' if depth == 0 => break,
                b']' | b'}' => depth -= 1,
                _ => {}
            }
            self.at += 1;
        }
        if depth > 0 || self.at >= self.json.len() {
            return self.fail("a closing bracket");
        }
        match self.json[start..self.at].trim_ascii_end() {
            [] => self.fail("a value"),
            value => Ok(value),
        }
    }
}
