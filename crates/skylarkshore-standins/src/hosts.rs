//! The platform's host list, which lags behind.

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

/// A change that isn't seen before its time.
#[derive(Debug)]
struct Change {
    seen_from: Instant,
    id: UpstreamId,
    entry: Option<HostEntry>,
}

#[derive(Debug, Default)]
struct Hosts {
    shown: BTreeMap<UpstreamId, HostEntry>,
    coming: Vec<Change>,
}

impl Hosts {
    fn settle(&mut self, now: Instant) {
        let (due, coming) = std::mem::take(&mut self.coming).into_iter().partition(|c| c.seen_from <= now);
        self.coming = coming;
        let due: Vec<Change> = due;
        for change in due {
            match change.entry {
                Some(entry) => self.shown.insert(change.id, entry),
                None => self.shown.remove(&change.id),
            };
        }
    }

    fn latest(&self, id: &UpstreamId) -> Option<HostEntry> {
        let coming = self.coming.iter().rev().find(|change| change.id == *id);
        coming.map_or_else(|| self.shown.get(id).cloned(), |change| change.entry.clone())
    }
}

/// The host list and its server.
#[derive(Debug)]
pub struct HostListServer {
    hosts: Arc<Mutex<Hosts>>,
    lag: Duration,
    server: Server,
}

impl HostListServer {
    /// Serves an empty list whose changes are seen `lag` after they are made.
    ///
    /// # Errors
    ///
    /// The port is taken.
    pub async fn start(address: SocketAddr, lag: Duration) -> io::Result<Self> {
        let hosts = Arc::new(Mutex::new(Hosts::default()));
        let state = Arc::clone(&hosts);
        let server = Server::start(address, move |req| std::future::ready(Ok(answer(&state, &req)))).await?;
        Ok(Self { hosts, lag, server })
    }

    /// Returns where it listens.
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
        let seen_from = Instant::now() + self.lag;
        lock(&self.hosts).coming.push(Change { seen_from, id, entry });
    }
}

fn answer(hosts: &Mutex<Hosts>, req: &Request<Bytes>) -> Response<Body> {
    if req.method() != Method::GET || req.uri().path() != HOSTS_PATH {
        return unknown(req.method(), req.uri().path());
    }
    let mut hosts = lock(hosts);
    hosts.settle(Instant::now());
    let list = HostList { hosts: hosts.shown.values().cloned().collect() };
    json(StatusCode::OK, &list)
}
