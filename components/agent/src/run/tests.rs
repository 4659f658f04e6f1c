mod draining;
mod engine;
mod serving;
mod world;
