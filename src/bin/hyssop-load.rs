//! `hyssop-load`.

fn main() {}
