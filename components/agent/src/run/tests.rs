mod draining;
mod engine;
mod serving;
mod windows;
mod world;
