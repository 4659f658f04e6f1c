//! Load, faults, promise checks and reports.
