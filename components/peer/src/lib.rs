//! Control messages between processes over nng.
