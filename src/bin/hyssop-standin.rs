//! `hyssop-standin`.

fn main() {}
