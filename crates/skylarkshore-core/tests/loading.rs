//! What is loaded on the engines that one process owns.

#[path = "support/loading.rs"]
mod support;

#[path = "loading/course.rs"]
mod course;
#[path = "loading/faults.rs"]
mod faults;
#[path = "loading/lives.rs"]
mod lives;
#[path = "loading/one_by_one.rs"]
mod one_by_one;
#[path = "loading/pace.rs"]
mod pace;
#[path = "loading/plan.rs"]
mod plan;
#[path = "loading/policy.rs"]
mod policy;
#[path = "loading/served.rs"]
mod served;
#[path = "loading/slots.rs"]
mod slots;
