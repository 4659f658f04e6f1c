//! The project's stand-in of a link draws its faults with this generator. No case of the review has such a link.

pub use rand::rngs::Xoshiro256PlusPlus as ChaCha8Rng;
