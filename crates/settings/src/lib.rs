//! Reads and checks settings and presets in YAML.
