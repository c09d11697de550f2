//! The `foxtailhoist` binary.

fn main() {}
