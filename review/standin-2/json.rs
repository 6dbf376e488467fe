//! As much of JSON and base64 as the calls of the fronts need.

/// Text of a field, or an empty one.
pub fn text(body: &str, field: &str) -> String {
    let value = after(body, field);
    let value = value.trim_start().strip_prefix('"').unwrap_or("");
    value.split('"').next().unwrap_or("").to_string()
}

/// Number of a field, or 0.
pub fn number(body: &str, field: &str) -> u64 {
    let value = after(body, field).trim_start();
    let end = value
        .find(|c: char| !c.is_ascii_digit())
        .unwrap_or(value.len());
    value[..end].parse().unwrap_or(0)
}

/// Texts of a field that holds a list of them.
pub fn list(body: &str, field: &str) -> Vec<String> {
    let value = after(body, field)
        .trim_start()
        .strip_prefix('[')
        .unwrap_or("");
    let value = value.split(']').next().unwrap_or("");
    value
        .split(',')
        .map(|item| item.trim().trim_matches('"').to_string())
        .filter(|item| !item.is_empty())
        .collect()
}

fn after<'a>(body: &'a str, field: &str) -> &'a str {
    // Calls are written without spaces; a value may be spelled like the name of a field.
    let name = format!("\"{field}\":");
    body.find(&name).map_or("", |at| &body[at + name.len()..])
}

pub fn base64(data: &[u8]) -> String {
    const LETTERS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in data.chunks(3) {
        let bits = chunk.iter().enumerate().fold(0_u32, |bits, (i, &byte)| {
            bits | u32::from(byte) << (16 - 8 * i)
        });
        for digit in 0..4 {
            let letter = LETTERS[(bits >> (18 - 6 * digit) & 63) as usize] as char;
            out.push(if digit <= chunk.len() { letter } else { '=' });
        }
    }
    out
}
