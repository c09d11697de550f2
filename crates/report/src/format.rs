//! Formatting of numbers and names for display.

use crate::observation::NANO_PER_UNIT;
use crate::observation::NanoMoney;

/// Formats a count with digits grouped by thousands: `12 345`.
pub(crate) fn count(number: u64) -> String {
    let digits = number.to_string();
    let mut text = String::new();
    for (index, digit) in digits.chars().enumerate() {
        if index > 0 && (digits.len() - index).is_multiple_of(3) {
            text.push(' ');
        }
        text.push(digit);
    }
    text
}

/// Formats a share as a percentage, with a second decimal from 99% to below 100%, where small differences matter.
pub(crate) fn percent(share: f64) -> String {
    let digits = if (0.99..1.0).contains(&share) { 2 } else { 1 };
    format!("{:.digits$}%", share * 100.0)
}

/// Formats an amount of money in units.
pub(crate) fn money(nano: NanoMoney) -> String {
    format!("{:.2}", nano as f64 / NANO_PER_UNIT)
}

/// Formats a burn rate.
pub(crate) fn rate(rate: f64) -> String {
    if rate > 9_999.0 { "over 9999".to_owned() } else { format!("{rate:.1}") }
}

/// Formats a time in milliseconds.
pub(crate) fn ms(ms: u64) -> String {
    format!("{} ms", count(ms))
}

/// Formats the length of a window.
pub(crate) fn window(minutes: u64) -> String {
    match minutes {
        0..60 => format!("{minutes} min"),
        60..4_320 => format!("{} h", minutes / 60),
        _ => format!("{} d", minutes / 1_440),
    }
}

/// Replaces control characters, which could move a terminal's cursor.
pub(crate) fn printable(name: &str) -> String {
    name.chars().map(|c| if c.is_control() { '\u{fffd}' } else { c }).collect()
}

/// Escapes a name for HTML and SVG, after replacing control characters.
pub(crate) fn escaped(name: &str) -> String {
    let mut text = String::with_capacity(name.len());
    for c in printable(name).chars() {
        match c {
            '&' => text.push_str("&amp;"),
            '<' => text.push_str("&lt;"),
            '>' => text.push_str("&gt;"),
            '"' => text.push_str("&quot;"),
            '\'' => text.push_str("&#39;"),
            _ => text.push(c),
        }
    }
    text
}
