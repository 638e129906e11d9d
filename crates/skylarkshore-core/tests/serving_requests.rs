//! Requests of a process, driven event by event.

mod support {
    pub mod serving;
}

mod serving {
    mod crash;
    mod departure;
    mod evidence;
    mod flow;
    mod notices;
    mod once;
    mod queue;
    mod random;
    mod retry_budget;
    mod routing;
    mod slots;
    mod streams;
}
