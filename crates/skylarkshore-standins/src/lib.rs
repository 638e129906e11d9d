//! Small stand-ins for the platform and the upstreams, for tests, the quick start and the replay.

pub mod world;
