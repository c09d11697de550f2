//! Control cost of a node as the number of entry hosts grows.
