//! Replicas of a plain service.

use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Message};
use crate::lock;
use crate::record::Record;
use crate::store::Store;

const HEARTBEAT: Duration = Duration::from_millis(1200);
/// How long a replica works on a look-up.
const LOOKUP_TIME: Duration = Duration::from_millis(10);

/// What a replica does with a booking: how long it works, and the length of its answer's body.
#[derive(Clone, Copy, Debug)]
pub struct Work {
    pub time: Duration,
    pub answer_len: usize,
    /// The body is longer by this for each number at the end of the request's id.
    pub len_step: usize,
}

impl Work {
    /// Returns the body of the answer to a request; callers compare what they get with it.
    pub fn body(&self, attempt: &str) -> Vec<u8> {
        let digits = attempt.rsplit(|c: char| !c.is_ascii_digit()).next().unwrap_or_default();
        let len = self.answer_len + self.len_step * digits.parse::<usize>().unwrap_or(0);
        attempt.bytes().chain(*b" done ").cycle().take(len).collect()
    }
}

/// The id of a request that a replica has run, and when its whole answer was written.
pub type Run = (String, Option<Instant>);

/// A running replica.
#[derive(Clone, Debug)]
pub struct Replica {
    pub id: String,
    pub address: SocketAddr,
    /// The ids of the requests that it has run, and when the whole answer was written.
    runs: Arc<Mutex<Vec<Run>>>,
}

impl Replica {
    /// Starts a replica, registers it, and renews its entry for good.
    pub fn start(
        id: &str,
        service: &str,
        zone: &str,
        work: Work,
        store: &Store,
        record: &Record,
    ) -> io::Result<Self> {
        let runs = Arc::new(Mutex::new(Vec::new()));
        let (name, known, log) = (id.to_owned(), Arc::clone(&runs), record.clone());
        let address = http::serve(move |request, out| handle(&name, work, &known, &log, request, out))?;
        let key = format!("servers/{id}");
        let entry = format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"v1\",\
             \"slots\":6,\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":"
        );
        let store = store.clone();
        store.put(&key, &format!("{entry}1}}"));
        thread::spawn(move || {
            for number in 2.. {
                thread::sleep(HEARTBEAT);
                store.put(&key, &format!("{entry}{number}}}"));
            }
        });
        Ok(Self { id: id.to_owned(), address, runs })
    }

    /// Returns the requests that it has run.
    pub fn runs(&self) -> Vec<Run> {
        lock(&self.runs).clone()
    }
}

fn handle(
    id: &str,
    work: Work,
    runs: &Mutex<Vec<Run>>,
    record: &Record,
    request: &Message,
    out: &mut TcpStream,
) -> io::Result<()> {
    if request.path() == "/healthz" {
        return http::write_answer(out, "200 OK", &[("X-Replica-Id", id), ("X-Replica-Load", "0,0,6")], b"");
    }
    let Some(attempt) = request.header("x-attempt-id") else {
        return http::write_answer(out, "400 Bad Request", &[("X-Not-Executed", "1")], b"");
    };
    if request.header("x-expect-instance").is_some_and(|expected| expected != id) {
        return http::write_answer(out, "421 Misdirected Request", &[("X-Replica-Id", id)], b"");
    }
    let is_lookup = request.path().starts_with("/lookup/");
    if !is_lookup {
        record.line(&format!("replica {id} runs {attempt}: {}", request.first_line));
    }
    let number = {
        let mut runs = lock(runs);
        runs.push((attempt.to_owned(), None));
        runs.len() - 1
    };
    thread::sleep(if is_lookup { LOOKUP_TIME } else { work.time });
    let stamp = format!("{id}.{attempt}");
    let headers = [
        ("X-Attempt-Id", attempt),
        ("X-Server-Stamp", stamp.as_str()),
        ("X-Replica-Id", id),
        ("X-Replica-Load", "1,0,6"),
    ];
    let body = work.body(attempt);
    match http::write_answer(out, "200 OK", &headers, &body).and_then(|()| out.flush()) {
        Ok(()) => {
            lock(runs)[number].1 = Some(Instant::now());
            if !is_lookup {
                let len = body.len();
                record.line(&format!("replica {id} has written its whole answer to {attempt}, {len} bytes"));
            }
            Ok(())
        }
        Err(err) => {
            record.line(&format!("replica {id} can't write its answer to {attempt}: {err}"));
            Err(err)
        }
    }
}
