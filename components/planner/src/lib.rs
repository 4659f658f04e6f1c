//! The planner role that any entry can hold.
