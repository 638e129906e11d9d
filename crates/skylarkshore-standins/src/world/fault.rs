//! Faults injected into the effects of a process. Implement [`Faults`] to choose them.

use std::time::Duration;

use skylarkshore_core::effect::Effect;
use skylarkshore_core::id::HostId;

/// The fault injected into an effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Strike {
    /// No fault.
    None,
    /// The effect never arrives; the sender can't tell whether it did.
    Lose,
    /// The effect is applied, but its answer is lost.
    LoseAnswer,
    /// The effect is delayed by this duration.
    Delay(Duration),
    /// The effect arrives twice, except a request to an upstream, which a connection delivers once.
    Double,
    /// The process is killed before the effect.
    KillBefore,
    /// The process is killed after the effect.
    KillAfter,
    /// The process is paused for this duration before the effect.
    Freeze(Duration),
    /// The host is disconnected from the key-value service for this duration.
    CutStore(Duration),
    /// The host is disconnected from its peers for this duration.
    CutPeers(Duration),
    /// The key-value service stops answering for this duration.
    StoreDown(Duration),
    /// The target upstream crashes just after the effect arrives.
    CrashUpstream,
}

/// Chooses the fault for each effect.
pub trait Faults: std::fmt::Debug {
    /// Returns the fault for the effect with this serial number.
    fn strike(&mut self, serial: u64, host: &HostId, effect: &Effect) -> Strike;

    /// Replaces the effects of a process, so that a test can prove that the checks detect a wrong decision.
    fn rewrite(&mut self, _host: &HostId, effects: Vec<Effect>) -> Vec<Effect> {
        effects
    }
}

/// Injects no faults.
#[derive(Clone, Copy, Debug, Default)]
pub struct NoFaults;

impl Faults for NoFaults {
    fn strike(&mut self, _serial: u64, _host: &HostId, _effect: &Effect) -> Strike {
        Strike::None
    }
}

/// Injects faults into the effects with the given serial numbers.
#[derive(Clone, Debug, Default)]
pub struct StrikeAt {
    /// Planned faults.
    pub strikes: Vec<Planned>,
    /// Descriptions of the faults injected so far.
    pub struck: Vec<String>,
}

/// A fault planned for one effect.
#[derive(Clone, Copy, Debug)]
pub struct Planned {
    /// Serial number of the effect.
    pub serial: u64,
    /// The fault to inject.
    pub strike: Strike,
}

impl StrikeAt {
    /// Creates an injector for the planned faults.
    pub fn new(strikes: Vec<Planned>) -> Self {
        Self { strikes, struck: Vec::new() }
    }
}

impl Faults for StrikeAt {
    fn strike(&mut self, serial: u64, host: &HostId, effect: &Effect) -> Strike {
        let Some(planned) = self.strikes.iter().find(|p| p.serial == serial) else { return Strike::None };
        let struck = format!("{:?} strikes {host} at {effect:?}", planned.strike);
        if std::env::var_os("FAULT_ONLY").is_some() {
            eprintln!("{struck}");
        }
        self.struck.push(struck);
        planned.strike
    }
}
