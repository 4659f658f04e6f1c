mod draining;
mod engine;
mod failures;
mod serving;
mod unfenced;
mod windows;
mod world;
