//! The entry host program: its command line and the choice of the platform.

pub mod cli;
