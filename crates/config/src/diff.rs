//! Human-readable difference between two configurations.

use serde_json::Value;

use foxtailhoist_model::Configuration;

/// Line limit of a diff; one more line counts the omitted ones.
const MAX_DIFF_LINES: usize = 200;

/// Differences as lines of the form `path: before -> after`, without the revision.
#[must_use]
pub fn diff(before: &Configuration, after: &Configuration) -> Vec<String> {
    let mut lines = Vec::new();
    compare("", &to_value(before), &to_value(after), &mut lines);
    let omitted = lines.len().saturating_sub(MAX_DIFF_LINES);
    if omitted > 0 {
        lines.truncate(MAX_DIFF_LINES);
        lines.push(format!("and {omitted} more"));
    }
    lines
}

fn to_value(configuration: &Configuration) -> Value {
    let mut value = serde_json::to_value(configuration).unwrap_or_default();
    if let Value::Object(fields) = &mut value {
        fields.remove("revision");
    }
    value
}

fn compare(path: &str, before: &Value, after: &Value, lines: &mut Vec<String>) {
    if before == after {
        return;
    }
    let (Value::Object(before_fields), Value::Object(after_fields)) = (before, after) else {
        lines.push(format!("{path}: {before} -> {after}"));
        return;
    };
    for (name, old) in before_fields {
        let path = join(path, name);
        match after_fields.get(name) {
            Some(new) => compare(&path, old, new, lines),
            None => lines.push(format!("{path}: removed {old}")),
        }
    }
    for (name, new) in after_fields {
        if !before_fields.contains_key(name) {
            lines.push(format!("{}: added {new}", join(path, name)));
        }
    }
}

fn join(path: &str, name: &str) -> String {
    if path.is_empty() { name.to_owned() } else { format!("{path}.{name}") }
}
