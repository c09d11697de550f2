//! Pace of an answer, comparable between servers that do the same kind of work.

/// What a pace was measured on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum PaceKind {
    /// Time to the answer's head per unit of work.
    Head,
    /// Mean gap between two events.
    EventGap,
}

/// Time per unit of work of one answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pace {
    pub kind: PaceKind,
    pub millis: f64,
    /// Whether the attempt ended before the time was known, so that it took at least this long.
    pub is_lower_bound: bool,
}
