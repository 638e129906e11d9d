//! Stand-in for the platform's host list, where changes appear with a delay. Start with
//! [`HostListServer`].

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use skylarkshore_core::id::UpstreamId;
use skylarkshore_wire::hostlist::{HOSTS_PATH, HostEntry, HostList, HostState};
use tokio::time::Instant;

use crate::http::{Body, Server, json, unknown};
use crate::lock;

/// A change that isn't visible yet.
#[derive(Debug)]
struct PendingChange {
    visible_at: Instant,
    id: UpstreamId,
    entry: Option<HostEntry>,
}

#[derive(Debug, Default)]
struct Hosts {
    visible: BTreeMap<UpstreamId, HostEntry>,
    pending: Vec<PendingChange>,
}

impl Hosts {
    fn apply_due(&mut self, now: Instant) {
        let (due, pending) = std::mem::take(&mut self.pending).into_iter().partition(|c| c.visible_at <= now);
        self.pending = pending;
        let due: Vec<PendingChange> = due;
        for change in due {
            match change.entry {
                Some(entry) => self.visible.insert(change.id, entry),
                None => self.visible.remove(&change.id),
            };
        }
    }

    fn latest(&self, id: &UpstreamId) -> Option<HostEntry> {
        let latest = self.pending.iter().rev().find(|change| change.id == *id);
        latest.map_or_else(|| self.visible.get(id).cloned(), |change| change.entry.clone())
    }
}

/// HTTP server of the host list.
#[derive(Debug)]
pub struct HostListServer {
    hosts: Arc<Mutex<Hosts>>,
    lag: Duration,
    server: Server,
}

impl HostListServer {
    /// Serves an empty list where each change becomes visible after `lag`.
    ///
    /// # Errors
    ///
    /// Returns an error if the port is taken.
    pub async fn start(address: SocketAddr, lag: Duration) -> io::Result<Self> {
        let hosts = Arc::new(Mutex::new(Hosts::default()));
        let state = Arc::clone(&hosts);
        let server = Server::start(address, move |req| std::future::ready(Ok(answer(&state, &req)))).await?;
        Ok(Self { hosts, lag, server })
    }

    /// Returns the listening address.
    pub const fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Adds or replaces an upstream.
    pub fn put(&self, entry: HostEntry) {
        self.change(entry.id.clone(), Some(entry));
    }

    /// Marks an upstream as leaving.
    pub fn mark_leaving(&self, id: &UpstreamId) {
        let latest = lock(&self.hosts).latest(id);
        if let Some(entry) = latest {
            self.put(HostEntry { state: HostState::Leaving, ..entry });
        }
    }

    /// Removes an upstream.
    pub fn remove(&self, id: &UpstreamId) {
        self.change(id.clone(), None);
    }

    fn change(&self, id: UpstreamId, entry: Option<HostEntry>) {
        let visible_at = Instant::now() + self.lag;
        lock(&self.hosts).pending.push(PendingChange { visible_at, id, entry });
    }
}

fn answer(hosts: &Mutex<Hosts>, req: &Request<Bytes>) -> Response<Body> {
    if req.method() != Method::GET || req.uri().path() != HOSTS_PATH {
        return unknown(req.method(), req.uri().path());
    }
    let mut hosts = lock(hosts);
    hosts.apply_due(Instant::now());
    let list = HostList { hosts: hosts.visible.values().cloned().collect() };
    json(StatusCode::OK, &list)
}
