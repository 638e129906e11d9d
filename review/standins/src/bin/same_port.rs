//! A caller's directory connection has the same source port as another one's booking connection, and ends
//! while the booking runs.
//!
//! usage: same_port REPOSITORY FOLDER, with TROUBLE=0 for a run without the disruption

use std::collections::BTreeMap;
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::process::ExitCode;
use std::thread;
use std::time::{Duration, Instant};

use review_standins::config::{booking, configuration, lookup, resolve};
use review_standins::host::{Host, LAGERHELV, end_after};
use review_standins::http::{Message, read_message};
use review_standins::record::Record;
use review_standins::replica::{Replica, Work};
use review_standins::same_port::connect_from;
use review_standins::store::Store;

const ZONES: [&str; 3] = ["bern-a", "olten-b", "aarau-c"];
/// The callers, who share an address, and keep a connection each to the first host's frontend.
const CALLERS: usize = 60;
/// How long each of them keeps an answer of the directory (`ttl_s`).
const ENTRY_TTL: Duration = Duration::from_secs(1);
/// Every so many questions to the directory, a look-up is sent over a kept connection.
const QUESTIONS_PER_LOOKUP: usize = 10;
const WORK: Work = Work { time: Duration::from_millis(400), answer_len: 800, len_step: 0 };
/// How long after the booking was sent the directory's caller leaves.
const LEAVES_AFTER: Duration = Duration::from_millis(150);
const DEADLINE_MS: u32 = 4000;
/// How long the callers wait for the kernel to repeat a port before one of them sets it.
const SEARCH_LIMIT: Duration = Duration::from_secs(30);
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

/// A connection that a caller keeps open.
struct Kept {
    stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Kept {
    fn open(address: SocketAddr) -> io::Result<Self> {
        Self::over(TcpStream::connect(address)?)
    }

    fn over(stream: TcpStream) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(10)))?;
        Ok(Self { reader: BufReader::new(stream.try_clone()?), stream })
    }

    fn port(&self) -> u16 {
        self.stream.local_addr().map_or(0, |address| address.port())
    }

    fn ask(&mut self, request: &str) -> io::Result<Message> {
        self.stream.write_all(request.as_bytes())?;
        self.answer()
    }

    fn answer(&mut self) -> io::Result<Message> {
        read_message(&mut self.reader)?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
    }
}

/// Runs the case and returns how many answers broke the rule.
fn run(repository: &Path, folder: &Path, is_troubled: bool) -> io::Result<usize> {
    let record = Record::create(&folder.join("record.txt"))?;
    let temp = std::env::temp_dir().join(format!("review-same-port-{}", std::process::id()));
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
        hosts.push(Host::start(repository, temp, &format!("edge-{zone}-1"), zone, store.address, LAGERHELV)?);
    }
    for host in &hosts {
        host.wait_ready(Duration::from_secs(20))?;
    }
    record.line("three hosts are ready");
    let is_broken = play(&hosts[0], is_troubled, record)?;
    for replica in &replicas {
        let ids: Vec<String> =
            replica.runs().into_iter().map(|(id, _)| id).filter(|id| id.starts_with('b')).collect();
        record.line(&format!("{} has run the bookings {ids:?}", replica.id));
    }
    record.line(if is_broken { "the booking breaks MIXED" } else { "the booking keeps MIXED" });
    Ok(usize::from(is_broken))
}

/// Plays until a port comes twice, then a booking; reports whether its answer breaks the rule.
fn play(host: &Host, is_troubled: bool, record: &Record) -> io::Result<bool> {
    let mut kept = BTreeMap::new();
    for _ in 0..CALLERS {
        let connection = Kept::open(host.callers)?;
        kept.insert(connection.port(), connection);
    }
    let (directory, mut caller) = match find_same_port(host, &mut kept, record)? {
        Some(pair) => pair,
        None => set_same_port(host, record)?,
    };
    let port = directory.port();
    let id = "b0";
    caller.stream.write_all(booking(id, DEADLINE_MS).as_bytes())?;
    record.line(&format!("{id} is sent from port {port} to the frontend"));
    thread::sleep(LEAVES_AFTER);
    let mut stays = Some(directory);
    if is_troubled {
        stays = None;
        record.line(&format!("the directory's caller at port {port} closes its connection"));
    }
    let answer = caller.answer();
    drop(stays);
    let (verdict, is_broken) = judge(id, &answer);
    record.line(&format!("{id} gets {verdict}"));
    Ok(is_broken)
}

/// Lets each caller ask the directory over a new connection once in [`ENTRY_TTL`], and use its kept connection now and
/// then, until the kernel gives a directory connection the port of a kept one.
///
/// Returns that connection, whose question is answered, and the kept one; `None` if it takes too long.
fn find_same_port(
    host: &Host,
    kept: &mut BTreeMap<u16, Kept>,
    record: &Record,
) -> io::Result<Option<(Kept, Kept)>> {
    let begun = Instant::now();
    for asked in 1.. {
        let mut connection = Kept::open(host.directory)?;
        let answer = connection.ask(&resolve())?;
        if answer.word(1) != "200" {
            return Err(io::Error::other(format!("the directory answers {}", answer.first_line)));
        }
        if let Some(caller) = kept.remove(&connection.port()) {
            let port = connection.port();
            record.line(&format!("the kernel gives port {port} to the directory, too, at question {asked}"));
            return Ok(Some((connection, caller)));
        }
        drop(connection);
        if asked % QUESTIONS_PER_LOOKUP == 0 {
            let number = asked / QUESTIONS_PER_LOOKUP;
            let caller = kept.values_mut().nth(number % CALLERS);
            let answer =
                caller.map(|caller| caller.ask(&lookup(&format!("l{number}"), DEADLINE_MS))).transpose()?;
            if answer.is_none_or(|answer| answer.word(1) != "200") {
                return Err(io::Error::other("a look-up isn't served"));
            }
        }
        if begun.elapsed() > SEARCH_LIMIT {
            record.line(&format!("the kernel gave no port twice in {asked} questions"));
            break;
        }
        let next = ENTRY_TTL.mul_f64(asked as f64 / CALLERS as f64);
        thread::sleep(next.saturating_sub(begun.elapsed()));
    }
    Ok(None)
}

/// Lets a caller set the source port of both connections itself.
fn set_same_port(host: &Host, record: &Record) -> io::Result<(Kept, Kept)> {
    let mut caller = Kept::over(connect_from(0, host.callers)?)?;
    // The host takes note of the earlier connection first.
    let answer = caller.ask(&lookup("l-last", DEADLINE_MS))?;
    let mut directory = Kept::over(connect_from(caller.port(), host.directory)?)?;
    let found = directory.ask(&resolve())?;
    if answer.word(1) != "200" || found.word(1) != "200" {
        return Err(io::Error::other("a look-up or the directory isn't served"));
    }
    record.line(&format!("a caller sets port {} for both connections", caller.port()));
    Ok((directory, caller))
}

/// MIXED: a success without the replica's stamp, or with another body than the replica's whole one.
fn judge(id: &str, answer: &io::Result<Message>) -> (String, bool) {
    let answer = match answer {
        Ok(answer) => answer,
        Err(err) => return (format!("no answer: {err}"), false),
    };
    let stamp = answer.header("x-server-stamp");
    let is_whole = answer.body == WORK.body(id);
    let seen = format!(
        "{}, stamp {stamp:?}, {} bytes, whole body: {is_whole}",
        answer.first_line,
        answer.body.len()
    );
    let is_success = answer.word(1).starts_with('2');
    (seen, is_success && (stamp.is_none() || !is_whole))
}
