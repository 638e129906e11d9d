//! Whether what is loaded reaches those for whom it is loaded, and what operators see of it.

use std::time::Duration;

use crate::support::Rig;

/// Callers at many hosts ask for a model that no engine has, one or two at each
/// host. All are told to come back and none is served. No host could tell; the
/// owner that hears of all of them has to say so.
#[test]
fn operators_are_told_of_a_model_that_is_asked_for_in_vain() {
    let mut rig = Rig::one_by_one(&[("maize", 300), ("rye", 300)]);
    rig.authority.permitted = false;
    rig.add_engine("engine-b", "entry-8");
    rig.set_held("engine-b", "rye");
    for number in 0..6 {
        let router = format!("entry-{number}");
        rig.arrive_for(&router, "maize", 1, Duration::ZERO);
        rig.arrive(&router, "rye", 1);
        rig.run(Duration::from_secs(2));
    }
    let told: Vec<&str> =
        rig.notes.iter().filter(|note| note.event == "model_unserved").map(|n| n.subject.as_str()).collect();
    assert_eq!(told, ["maize"], "{:?}", rig.notes);
}

/// A model is loaded from the weight store and unloaded before a request has run
/// on it. Its callers see refusals only; the line of the unload shows that the
/// load was for nobody.
#[test]
fn an_unload_tells_whether_the_model_was_used() {
    let mut rig = Rig::one_by_one(&[("maize", 600), ("rye", 600)]);
    for model in ["maize", "rye"] {
        rig.run_wanting(Duration::from_secs(6), "entry-2", model, 1);
        rig.want("entry-2", model, 0);
        rig.run(Duration::from_secs(1));
    }
    rig.arrive("entry-2", "rye", 1);
    rig.run_wanting(Duration::from_secs(6), "entry-2", "maize", 1);
    let unloads = rig.notes.iter().filter(|note| note.event == "model_unloaded");
    let used: Vec<(&str, bool)> = unloads
        .map(|note| (note.subject.split('@').next().unwrap_or_default(), note.detail.contains("used=true")))
        .collect();
    assert_eq!(used, [("maize", false), ("rye", true)], "{:?}", rig.notes);
}
