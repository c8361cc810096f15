//! The little JSON that the stand-ins need: raw values of an object's fields.

/// Returns the raw text of a field of a JSON object.
pub fn field<'a>(object: &'a [u8], name: &str) -> Option<&'a [u8]> {
    let mut at = skip_space(object, 0);
    if object.get(at) != Some(&b'{') {
        return None;
    }
    at += 1;
    loop {
        at = skip_space(object, at);
        if object.get(at) != Some(&b'"') {
            return None;
        }
        let key_end = value_end(object, at)?;
        let key = &object[at + 1..key_end - 1];
        at = skip_space(object, key_end);
        if object.get(at) != Some(&b':') {
            return None;
        }
        at = skip_space(object, at + 1);
        let end = value_end(object, at)?;
        if key == name.as_bytes() {
            return Some(&object[at..end]);
        }
        at = skip_space(object, end);
        if object.get(at) != Some(&b',') {
            return None;
        }
        at += 1;
    }
}

/// Returns a string field without escapes.
pub fn text(object: &[u8], name: &str) -> Option<String> {
    let raw = field(object, name)?;
    let inner = raw.strip_prefix(b"\"")?.strip_suffix(b"\"")?;
    String::from_utf8(inner.to_vec()).ok()
}

fn skip_space(bytes: &[u8], mut at: usize) -> usize {
    while bytes.get(at).is_some_and(u8::is_ascii_whitespace) {
        at += 1;
    }
    at
}

fn value_end(bytes: &[u8], start: usize) -> Option<usize> {
    let mut depth = 0;
    let mut at = start;
    loop {
        match *bytes.get(at)? {
            b'"' => {
                at += 1;
                while *bytes.get(at)? != b'"' {
                    at += if bytes[at] == b'\\' { 2 } else { 1 };
                }
            }
            b'{' | b'[' => depth += 1,
            b'}' | b']' if depth == 0 => return Some(at),
            b'}' | b']' => depth -= 1,
            b',' | b':' if depth == 0 => return Some(at),
            byte if depth == 0 && byte.is_ascii_whitespace() => return Some(at),
            _ => {}
        }
        at += 1;
        if depth == 0 && matches!(bytes[at - 1], b'"' | b'}' | b']') {
            return Some(at);
        }
    }
}
