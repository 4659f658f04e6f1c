//! Decisions: placement, sizing, waking, keeping warm, series.
