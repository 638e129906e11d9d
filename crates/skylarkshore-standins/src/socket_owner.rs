//! Finds the process that opened a loopback connection. Start with [`owns_port`].

use std::fs;
use std::time::Instant;

use skylarkshore_core::collections::HashMap;
use tokio::sync::Mutex;
use tokio::task::spawn_blocking;

/// Column of the local address in the kernel's table of sockets, and of the inode.
const LOCAL_ADDRESS: usize = 1;
const INODE: usize = 9;

/// The last table that was read, which answers all questions that were asked before its reading began.
///
/// With many tests at a time the table has ten thousand rows and more. Where each of several connections read
/// it, the last was closed so late that its host took the link for restored.
static TABLE: Mutex<Option<Table>> = Mutex::const_new(None);

/// The kernel's table of IPv4 sockets.
#[derive(Debug)]
struct Table {
    read_at: Instant,
    /// The inodes of the sockets that are bound to a port.
    inodes: HashMap<u16, Vec<String>>,
}

impl Table {
    fn read() -> Self {
        let read_at = Instant::now();
        let mut inodes: HashMap<u16, Vec<String>> = HashMap::default();
        for line in fs::read_to_string("/proc/net/tcp").unwrap_or_default().lines().skip(1) {
            let mut columns = line.split_whitespace();
            let Some(local) = columns.nth(LOCAL_ADDRESS) else { continue };
            let port = local.rsplit(':').next().and_then(|port| u16::from_str_radix(port, 16).ok());
            let inode = columns.nth(INODE - LOCAL_ADDRESS - 1);
            if let Some((port, inode)) = port.zip(inode) {
                inodes.entry(port).or_default().push(inode.to_owned());
            }
        }
        Self { read_at, inodes }
    }
}

/// Reports whether one of several processes owns the IPv4 socket that is bound to a local port.
///
/// A process that has ended owns nothing.
pub async fn owns_port(pids: Vec<u32>, port: u16) -> bool {
    let asked_at = Instant::now();
    let mut table = TABLE.lock().await;
    if table.as_ref().is_none_or(|table| table.read_at < asked_at) {
        *table = spawn_blocking(Table::read).await.ok();
    }
    let inodes = table.as_ref().and_then(|table| table.inodes.get(&port)).cloned().unwrap_or_default();
    drop(table);
    spawn_blocking(move || pids.iter().any(|pid| has_socket(*pid, &inodes))).await.unwrap_or(false)
}

fn has_socket(pid: u32, inodes: &[String]) -> bool {
    let Ok(entries) = fs::read_dir(format!("/proc/{pid}/fd")) else { return false };
    let links = entries.flatten().filter_map(|entry| fs::read_link(entry.path()).ok());
    let is_socket = |link: &str| inodes.iter().any(|inode| link == format!("socket:[{inode}]"));
    links.into_iter().any(|link| is_socket(&link.to_string_lossy()))
}
