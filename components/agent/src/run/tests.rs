mod draining;
mod engine;
mod failures;
mod load;
mod service;
mod serving;
mod unfenced;
mod world;
