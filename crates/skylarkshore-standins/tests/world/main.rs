//! Several nodes in given time: the whole path, and every fault at every step.

mod fault_matrix;
mod mutants;
mod recovery;
mod support;
mod whole_path;
