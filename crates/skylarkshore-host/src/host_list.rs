//! Polls the platform's host list.

use std::time::Duration;

use bytes::Bytes;
use http::{Method, StatusCode};
use rand::Rng;
use skylarkshore_core::Event;
use skylarkshore_wire::hostlist::CheckedHostList;
use slog::{Logger, warn};
use tokio::time::{Instant, sleep};

use crate::config::HttpUrl;
use crate::driver::Inbox;
use crate::http::{MAX_STORE_ANSWER_LEN, PooledClient, call, client, json_request};

const POLL_INTERVAL: Duration = Duration::from_secs(2);
const TIMEOUT: Duration = Duration::from_secs(2);

/// Polls the host list until the process ends; logs only the first failure in a row.
pub(crate) async fn poll(url: HttpUrl, inbox: Inbox, log: Logger) {
    let client = client();
    let mut failing = false;
    loop {
        match fetch(&client, &url, &log).await {
            Ok(list) => {
                failing = false;
                inbox.event(Event::HostList(list.upstreams)).await;
            }
            Err(reason) if !failing => {
                failing = true;
                warn!(log, "host_list_unreadable"; "url" => %url, "reason" => reason);
            }
            Err(_) => {}
        }
        // Jitter spreads the requests of hosts that started together.
        let delay = POLL_INTERVAL.mul_f64(rand::rng().random_range(0.75..1.25));
        sleep(delay).await;
    }
}

async fn fetch(client: &PooledClient, url: &HttpUrl, log: &Logger) -> Result<CheckedHostList, String> {
    let req = json_request(Method::GET, url.address, &url.path, Bytes::new());
    let answer = call(client, req, MAX_STORE_ANSWER_LEN, Instant::now() + TIMEOUT)
        .await
        .map_err(|err| err.to_string())?;
    if answer.status != StatusCode::OK {
        return Err(format!("status {}", answer.status));
    }
    let list = CheckedHostList::try_from(&*answer.body).map_err(|err| err.to_string())?;
    for entry in &list.invalid {
        warn!(log, "host_list_entry_left_out"; "reason" => entry.to_string());
    }
    Ok(list)
}
