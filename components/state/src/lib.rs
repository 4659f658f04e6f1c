//! The state folded from the log.
