//! Records of the log.
