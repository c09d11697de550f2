//! Just enough JSON to take values out of what the hosts write.

/// Text of the value of a field of an object, unchanged.
pub fn field<'a>(object: &'a str, name: &str) -> Option<&'a str> {
    let bytes = object.as_bytes();
    let (mut depth, mut at) = (0, 0);
    while at < bytes.len() {
        match bytes[at] {
            b'{' | b'[' => depth += 1,
            b'}' | b']' => depth -= 1,
            b'"' => {
                let end = string_end(bytes, at)?;
                let key = &object[at + 1..end];
                let after = skip_space(bytes, end + 1);
                if depth == 1 && bytes.get(after) == Some(&b':') && key == name {
                    let start = skip_space(bytes, after + 1);
                    return Some(&object[start..value_end(bytes, start)?]);
                }
                at = end;
            }
            _ => {}
        }
        at += 1;
    }
    None
}

/// A string's content, without escapes.
pub fn text(value: &str) -> &str {
    value.trim().trim_matches('"')
}

fn skip_space(bytes: &[u8], mut at: usize) -> usize {
    while bytes.get(at).is_some_and(u8::is_ascii_whitespace) {
        at += 1;
    }
    at
}

/// Position of the quote that ends the string at `at`.
fn string_end(bytes: &[u8], at: usize) -> Option<usize> {
    let mut end = at + 1;
    loop {
        match bytes.get(end)? {
            b'\\' => end += 2,
            b'"' => return Some(end),
            _ => end += 1,
        }
    }
}

fn value_end(bytes: &[u8], start: usize) -> Option<usize> {
    let (mut depth, mut at) = (0, start);
    loop {
        match bytes.get(at)? {
            b'{' | b'[' => depth += 1,
            b'}' | b']' | b',' if depth == 0 => return Some(at),
            b'}' | b']' => depth -= 1,
            b'"' => at = string_end(bytes, at)?,
            _ => {}
        }
        at += 1;
    }
}
