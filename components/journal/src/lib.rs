//! Following and appending to the log.
