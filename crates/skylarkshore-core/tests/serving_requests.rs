//! The requests of a process, driven event by event.

mod support {
    pub mod serving;
}

mod serving {
    mod flow;
    mod once;
    mod random;
}
