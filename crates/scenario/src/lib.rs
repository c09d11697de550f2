//! Scripted scenarios in a small YAML language, in virtual time.
