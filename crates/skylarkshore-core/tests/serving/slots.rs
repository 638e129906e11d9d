//! Slots of an upstream that withstands few rejections, lent from one host to all.

use std::collections::BTreeMap;

use skylarkshore_core::event::AttemptOutcome;
use skylarkshore_core::id::{HostId, Incarnation, UpstreamId};
use skylarkshore_core::notice::UpstreamNotice;
use skylarkshore_core::peer::{PeerMessage, SlotMessage};
use skylarkshore_core::serving::Serving;

use crate::support::serving::*;

/// Three hosts that exchange messages about slots.
struct Hosts {
    processes: BTreeMap<HostId, Process>,
    replica: UpstreamId,
    /// Whether the replica's answers say that it withstands few rejections.
    is_brittle: bool,
    requests: u64,
}

impl Hosts {
    fn new() -> Self {
        let processes = ["a", "b", "c"].map(|host| (name(host), Process::new(host, 1)));
        let mut processes: BTreeMap<HostId, Process> = processes.into_iter().collect();
        let listed = &processes[&name::<HostId>("a")].upstreams;
        let mut replicas = listed.iter().filter(|listed| listed.service().is_some()).map(|u| u.id.clone());
        let replica = replicas.next().expect("a replica is listed");
        let others: Vec<UpstreamId> = replicas.collect();
        // The other replicas leave, so that all requests need this one.
        let leaving = UpstreamNotice { is_leaving: true, ..UpstreamNotice::default() };
        for process in processes.values_mut() {
            for other in &others {
                process.with(|serving, cx| {
                    serving.on_noticed(cx, other, Incarnation::default(), None, &leaving);
                });
            }
        }
        Self { processes, replica, is_brittle: true, requests: 0 }
    }

    fn process(&mut self, host: &str) -> &mut Process {
        self.processes.get_mut(&name::<HostId>(host)).expect("the host exists")
    }

    /// Delivers messages about slots until there are none.
    fn exchange(&mut self) {
        loop {
            let mut messages = Vec::new();
            for (from, process) in &mut self.processes {
                process.with(Serving::report_slots);
                let is_slot = |message: &PeerMessage| matches!(message, PeerMessage::Slot(_));
                let sent = process.take_messages(is_slot).into_iter();
                messages.extend(sent.map(|(to, message)| (from.clone(), to, message)));
            }
            if messages.is_empty() {
                return;
            }
            for (from, to, message) in messages {
                if let Some(process) = self.processes.get_mut(&to) {
                    process.peer(from.as_str(), &message);
                }
            }
        }
    }

    fn advance(&mut self, ms: u64) {
        for _ in 0..ms / 50 {
            self.processes.values_mut().for_each(|process| process.advance(50));
            self.exchange();
        }
    }

    /// Has a host receive an answer of the replica.
    fn notice(&mut self, host: &str) {
        let rejection_limit = self.is_brittle.then_some(4);
        let notice = UpstreamNotice { rejection_limit, ..UpstreamNotice::default() };
        let replica = self.replica.clone();
        self.process(host).with(|serving, cx| {
            serving.on_noticed(cx, &replica, Incarnation::default(), None, &notice);
        });
        self.exchange();
    }

    /// Sends requests for the service to a host, and returns the attempts that it sends at once.
    fn ask(&mut self, host: &str, count: usize) -> Vec<Sent> {
        for _ in 0..count {
            self.requests += 1;
            let number = self.requests;
            let process = self.process(host);
            let request = arrival(process, service("booking"), 1);
            process.arrive(number, request);
        }
        self.exchange();
        let replica = self.replica.clone();
        let sent = self.process(host).take_sent().into_iter();
        sent.filter(|sent| sent.upstream == replica).collect()
    }

    fn end(&mut self, host: &str, sent: Vec<Sent>) {
        for attempt in sent {
            self.process(host).end(attempt.attempt, AttemptOutcome::Completed { held: None });
        }
        self.exchange();
    }
}

/// Requests that the replicas of the tests' service run at a time.
fn concurrency(hosts: &mut Hosts) -> usize {
    let services = &hosts.process("a").document.catalogue.services;
    services.values().map(|service| service.concurrency as usize).max().expect("there is a service")
}

/// Guards against more requests at once than an upstream runs, where many hosts ask for slots.
#[test]
fn all_hosts_together_are_lent_the_slots_of_an_upstream_once() {
    let mut hosts = Hosts::new();
    let slots = concurrency(&mut hosts);
    hosts.notice("a");
    hosts.advance(2000);
    let sent: usize = ["a", "b", "c"].into_iter().map(|host| hosts.ask(host, 2 * slots).len()).sum();
    assert!(sent > 0 && sent <= slots, "{sent} requests are sent to {slots} slots");
}

/// Guards against a host that is lent again all that it was lent before, as it forgot the notice for a moment.
#[test]
fn a_host_that_learns_of_the_notice_anew_is_lent_no_more_than_there_is() {
    let mut hosts = Hosts::new();
    let slots = concurrency(&mut hosts);
    hosts.notice("b");
    hosts.advance(2000);
    for _ in 0..3 * slots {
        let sent = hosts.ask("b", 1);
        hosts.end("b", sent);
        hosts.advance(50);
    }
    hosts.is_brittle = false;
    hosts.notice("b");
    hosts.is_brittle = true;
    hosts.notice("b");
    hosts.advance(2000);
    let sent = hosts.ask("b", 4 * slots).len();
    assert!(sent > 0 && sent <= slots, "{sent} requests are sent to {slots} slots");
}

/// Guards against slots that stay lost with the host that lent them.
#[test]
fn another_host_lends_when_the_lender_is_silent() {
    for silent in ["a", "b", "c"] {
        let mut hosts = Hosts::new();
        hosts.notice("a");
        hosts.advance(2000);
        hosts.processes.remove(&name::<HostId>(silent));
        let host = if silent == "a" { "b" } else { "a" };
        let sent = hosts.ask(host, 1);
        hosts.end(host, sent);
        hosts.advance(3000);
        let waiting = hosts.process(host).take_sent();
        hosts.end(host, waiting);
        let sent = hosts.ask(host, 1);
        assert_eq!(sent.len(), 1, "{host} is lent nothing without {silent}");
    }
}

/// Returns how long a host waits for its first slot after it has started again, in milliseconds.
fn wait_after_start(host: &str, number: u64) -> u64 {
    const LIMIT_MS: u64 = 10_000;

    let mut hosts = Hosts::new();
    hosts.notice("a");
    hosts.advance(2000);
    let sent = hosts.ask(host, 1);
    hosts.end(host, sent);
    let mut fresh = Hosts::new().processes.remove(&name::<HostId>(host)).expect("the host exists");
    fresh.now = hosts.process(host).now;
    fresh.cfg.incarnation = Incarnation(number);
    hosts.processes.insert(name(host), fresh);
    for process in hosts.processes.values_mut() {
        process.cache_member(host, Incarnation(number));
    }
    hosts.notice(host);
    // At first the requests under way are taken to need all that there is.
    hosts.advance(1000);
    let mut sent = hosts.ask(host, 1);
    let mut waited = 0;
    while sent.is_empty() && waited < LIMIT_MS {
        hosts.advance(50);
        waited += 50;
        sent = hosts.process(host).take_sent();
    }
    waited
}

/// Guards against a host that waits for slots because it has started with a lower number: its reports would
/// count for those of the process before it.
#[test]
fn a_host_that_starts_with_a_lower_number_is_lent_slots_as_soon_as_any() {
    for host in ["a", "b", "c"] {
        let (lower, higher) = (wait_after_start(host, 0), wait_after_start(host, 2));
        assert!(lower <= higher, "{host}: {lower} ms with a lower number, {higher} ms with a higher one");
    }
}

/// Guards against messages that arrive twice and are taken for two loans.
#[test]
fn a_doubled_answer_lends_nothing_twice() {
    let mut hosts = Hosts::new();
    let slots = concurrency(&mut hosts);
    hosts.notice("b");
    hosts.advance(2000);
    for _ in 0..4 * slots {
        hosts.requests += 1;
        let number = hosts.requests;
        let process = hosts.process("b");
        let request = arrival(process, service("booking"), 1);
        process.arrive(number, request);
    }
    let mut sent = 0;
    for _ in 0..6 {
        let mut messages = Vec::new();
        for (from, process) in &mut hosts.processes {
            process.with(Serving::report_slots);
            let taken = process.take_messages(|message| matches!(message, PeerMessage::Slot(_)));
            messages.extend(taken.into_iter().map(|(to, message)| (from.clone(), to, message)));
        }
        for (from, to, message) in messages {
            let times = if matches!(message, PeerMessage::Slot(SlotMessage::Lent(_))) { 2 } else { 1 };
            for _ in 0..times {
                hosts.processes.get_mut(&to).expect("the host exists").peer(from.as_str(), &message);
            }
        }
        let replica = hosts.replica.clone();
        sent += hosts.process("b").take_sent().iter().filter(|sent| sent.upstream == replica).count();
    }
    assert!(sent > 0 && sent <= slots, "{sent} requests are sent to {slots} slots");
}
