//! Decides in which order requests that wait for a model are served, and which of them are refused at once. Performs no input or
//! output.
