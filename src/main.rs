//! `hyssopctl`.

fn main() {}
