//! The entry host's program: its command line, and which platform it runs on.

pub mod cli;
