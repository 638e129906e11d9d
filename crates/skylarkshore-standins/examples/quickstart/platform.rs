//! Runs the stand-ins in a separate process.

use std::io::{self, Write};
use std::net::SocketAddr;
use std::process::Stdio;

use skylarkshore_standins::fleet::{Fleet, FleetSettings};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, BufReader};
use tokio::process::{Child, Command};

/// The argument with which this program runs the stand-ins.
pub(crate) const HIDDEN_ARGUMENT: &str = "run-the-stand-ins";

const ENGINES: u32 = 3;
const SERVICE_REPLICAS: u32 = 2;

/// Runs the stand-ins until standard input is closed, which also happens when the
/// parent exits for any reason.
pub(crate) async fn run() -> io::Result<()> {
    let settings = FleetSettings::small(ENGINES, SERVICE_REPLICAS).map_err(io::Error::other)?;
    let fleet = Fleet::start(&settings).await?;
    let census = fleet.serve_census().await?;
    println!("{} {} {}", fleet.store.address(), fleet.hosts.address(), census.address());
    io::stdout().flush()?;
    let mut rest = Vec::new();
    tokio::io::stdin().read_to_end(&mut rest).await?;
    Ok(())
}

/// The child process of the stand-ins and its addresses.
#[derive(Debug)]
pub(crate) struct Platform {
    /// The address of the key-value service.
    pub(crate) store: SocketAddr,
    /// The address of the host list.
    pub(crate) host_list: SocketAddr,
    /// The address of the census.
    pub(crate) census: SocketAddr,
    _child: Child,
}

impl Platform {
    /// Starts this program again with the hidden argument.
    pub(crate) async fn start() -> io::Result<Self> {
        let mut child = Command::new(std::env::current_exe()?)
            .arg(HIDDEN_ARGUMENT)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .kill_on_drop(true)
            .spawn()?;
        let out = child.stdout.take().ok_or_else(|| io::Error::other("no output"))?;
        let mut line = String::new();
        BufReader::new(out).read_line(&mut line).await?;
        let addresses: Vec<SocketAddr> = line.split_whitespace().filter_map(|a| a.parse().ok()).collect();
        let [store, host_list, census] = addresses[..] else {
            return Err(io::Error::other("the stand-ins did not start; see their output above"));
        };
        Ok(Self { store, host_list, census, _child: child })
    }
}
