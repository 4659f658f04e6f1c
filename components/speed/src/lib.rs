//! Estimates how fast endpoints are, relative to each other, from the time between the events of streams. Performs no input or
//! output.
