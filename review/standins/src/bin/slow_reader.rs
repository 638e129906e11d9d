//! Callers pause while they read long answers, and their host is stopped in order (SIGTERM) meanwhile.
//!
//! usage: slow_reader REPOSITORY FOLDER, with TROUBLE=0 for a run without the disruption

use std::io::{self, BufReader, Read, Write};
use std::net::TcpStream;
use std::path::Path;
use std::process::ExitCode;
use std::thread;
use std::time::{Duration, Instant};

use review_standins::config::{booking, configuration};
use review_standins::host::{Host, QUIZ_NORDESTE_GROWN, end_after};
use review_standins::http::read_head;
use review_standins::record::Record;
use review_standins::replica::{Replica, Work};
use review_standins::store::Store;

const ZONES: [&str; 3] = ["recife", "fortaleza", "salvador"];
/// Answers of 200 to 437 KiB.
const WORK: Work = Work { time: Duration::from_millis(100), answer_len: 200 * 1024, len_step: 3 * 1024 };
const DEADLINE_MS: u32 = 15_000;
/// How long after the last request was sent the host gets SIGTERM.
const TERM_AFTER: Duration = Duration::from_millis(300);
/// The time from SIGTERM to SIGKILL.
const GRACE: Duration = Duration::from_secs(8);
/// How long a slow caller reads nothing after the head of its answer.
const PAUSE: Duration = Duration::from_millis(5500);
const READ_LEN: usize = 4 * 1024;
const CALLERS: usize = 80;
/// The time between the requests of two callers.
const CALL_INTERVAL: Duration = Duration::from_millis(10);
const CASE_LIMIT: Duration = Duration::from_secs(110);

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let is_troubled = std::env::var("TROUBLE").as_deref() != Ok("0");
    end_after(CASE_LIMIT);
    match run(Path::new(&args[1]), Path::new(&args[2]), is_troubled) {
        Ok(0) => ExitCode::SUCCESS,
        Ok(_) => ExitCode::from(1),
        Err(err) => {
            eprintln!("the case couldn't run: {err}");
            ExitCode::from(2)
        }
    }
}

fn run(repository: &Path, folder: &Path, is_troubled: bool) -> io::Result<usize> {
    let record = Record::create(&folder.join("record.txt"))?;
    let temp = std::env::temp_dir().join(format!("review-slow-reader-{}", std::process::id()));
    std::fs::create_dir_all(&temp)?;
    let result = run_in(repository, &temp, is_troubled, &record);
    _ = std::fs::remove_dir_all(&temp);
    if let Err(err) = &result {
        record.line(&format!("the case couldn't run: {err}"));
    }
    result
}

fn run_in(repository: &Path, temp: &Path, is_troubled: bool, record: &Record) -> io::Result<usize> {
    record.line(if is_troubled { "with the disruption" } else { "without the disruption (TROUBLE=0)" });
    let store = Store::start()?;
    store.put("op/config", &configuration(DEADLINE_MS));
    let mut replicas = Vec::new();
    for (i, zone) in ZONES.iter().enumerate() {
        replicas.push(Replica::start(&format!("i-market{i}"), "lh-market", zone, WORK, &store, record)?);
    }
    let mut hosts = Vec::new();
    for zone in ZONES {
        hosts.push(Host::start(
            repository,
            temp,
            &format!("edge-{zone}-1"),
            zone,
            store.address,
            QUIZ_NORDESTE_GROWN,
        )?);
    }
    for host in &hosts {
        host.wait_ready(Duration::from_secs(20))?;
    }
    record.line("three hosts are ready");
    let mut broken = 0;
    for (round, host) in hosts.iter_mut().enumerate() {
        broken += play(round, host, &replicas, is_troubled, record)?;
        if is_troubled {
            host.start_again()?;
            host.wait_ready(Duration::from_secs(20))?;
            record.line(&format!("{} is started again and ready", host.name));
        }
    }
    record.line(&format!("{broken} of {} answers break LOST", hosts.len() * CALLERS));
    Ok(broken)
}

/// Sends bookings to a host, stops it, and returns how many answers broke the rule.
fn play(
    round: usize,
    host: &mut Host,
    replicas: &[Replica],
    is_troubled: bool,
    record: &Record,
) -> io::Result<usize> {
    let address = host.callers;
    let callers: Vec<_> = (0..CALLERS)
        .map(|i| {
            let record = record.clone();
            thread::sleep(CALL_INTERVAL);
            thread::spawn(move || call(address, &format!("b{round}-{i}"), &record))
        })
        .collect();
    thread::sleep(TERM_AFTER);
    let term = Instant::now();
    if is_troubled {
        stop(host, record)?;
    }
    let mut broken = 0;
    for caller in callers {
        let call = caller.join().expect("the thread doesn't panic");
        let runs = replicas.iter().flat_map(Replica::runs);
        let written = runs.into_iter().find(|(id, _)| *id == call.id).and_then(|(_, written)| written);
        if breaks_lost(&call, written, term) {
            broken += 1;
            record.line(&format!("{} breaks LOST: a replica had written its whole answer", call.id));
        }
    }
    let log = std::fs::read_to_string(&host.log)?;
    let is_wanted = |line: &&str| {
        ["event=leaving", "event=intake_closed", "event=left"].iter().any(|event| line.contains(event))
    };
    for line in log.lines().filter(is_wanted) {
        record.line(&format!("its log: {line}"));
    }
    Ok(broken)
}

/// Sends SIGTERM and waits until the host has ended, as the platform does before it sends SIGKILL.
fn stop(host: &mut Host, record: &Record) -> io::Result<()> {
    host.signal("TERM")?;
    record.line(&format!("{} gets SIGTERM", host.name));
    let until = Instant::now() + GRACE;
    while Instant::now() < until {
        if let Some(status) = host.ended()? {
            record.line(&format!("{} has ended: {status}", host.name));
            return Ok(());
        }
        thread::sleep(Duration::from_millis(20));
    }
    record.line(&format!("{} hasn't ended in time and gets SIGKILL", host.name));
    host.signal("KILL")
}

/// How a caller's connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    /// With a complete answer, which is the replica's.
    Whole,
    /// Before the answer was complete.
    Cut,
    /// It hasn't ended, or not as the rule means.
    Other,
}

/// A booking as its caller saw it.
struct Call {
    id: String,
    sent: Instant,
    ended: Instant,
    end: End,
}

/// LOST: the connection ends without a complete answer, after the request was passed on, until 1 s after the
/// grace. Excused are a replica that breaks off or is still at work in the last sixth of the grace, and requests whose
/// deadline or route's timeout, both [`DEADLINE_MS`], is reached.
fn breaks_lost(call: &Call, written: Option<Instant>, term: Instant) -> bool {
    let is_around_term = call.ended <= term + GRACE + Duration::from_secs(1);
    let is_in_time = call.ended < call.sent + Duration::from_millis(DEADLINE_MS.into());
    let is_written = written.is_some_and(|at| at < call.ended && at < term + GRACE * 5 / 6);
    call.end == End::Cut && is_around_term && is_in_time && is_written
}

/// Sends a booking and reads its answer slowly.
fn call(address: std::net::SocketAddr, id: &str, record: &Record) -> Call {
    let sent = Instant::now();
    let mut got = Vec::new();
    let result = read_slowly(address, id, &mut got);
    let ended = Instant::now();
    let whole = WORK.body(id);
    let end = match &result {
        Ok(_) if got == whole => End::Whole,
        Err(err) if matches!(err.kind(), io::ErrorKind::UnexpectedEof | io::ErrorKind::ConnectionReset) => {
            End::Cut
        }
        _ => End::Other,
    };
    let seen = result.unwrap_or_else(|err| err.to_string());
    let (len, took) = (got.len(), ended - sent);
    record.line(&format!("{id} got {len} of {} bytes within {took:?}, {end:?}: {seen}", whole.len()));
    Call { id: id.to_owned(), sent, ended, end }
}

fn read_slowly(address: std::net::SocketAddr, id: &str, got: &mut Vec<u8>) -> io::Result<String> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(Duration::from_secs(10)))?;
    stream.write_all(booking(id, DEADLINE_MS).as_bytes())?;
    let mut reader = BufReader::with_capacity(READ_LEN, stream);
    let head = read_head(&mut reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let len: usize = head.header("content-length").and_then(|value| value.parse().ok()).unwrap_or(usize::MAX);
    thread::sleep(PAUSE);
    let mut buf = [0; READ_LEN];
    while got.len() < len {
        let read = reader.read(&mut buf)?;
        if read == 0 {
            let seen = format!("{}; the connection ended early", head.first_line);
            return Err(io::Error::new(io::ErrorKind::UnexpectedEof, seen));
        }
        got.extend_from_slice(&buf[..read]);
    }
    Ok(head.first_line)
}
