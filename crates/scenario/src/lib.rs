//! Scripted scenarios.
