mod engine;
mod serving;
mod world;
