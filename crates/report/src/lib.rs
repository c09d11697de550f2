//! Service-level burn report as text, JSON and HTML.
