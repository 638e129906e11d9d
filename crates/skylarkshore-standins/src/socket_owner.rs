//! Finds the process that opened a loopback connection. Start with [`owns_port`].

use std::fs;

/// Column of the local address in the kernel's table of sockets, and of the inode.
const LOCAL_ADDRESS: usize = 1;
const INODE: usize = 9;

/// Reports whether a process owns the IPv4 socket that is bound to a local port.
///
/// A process that has ended owns nothing.
pub fn owns_port(pid: u32, port: u16) -> bool {
    let Ok(table) = fs::read_to_string("/proc/net/tcp") else { return false };
    let suffix = format!(":{port:04X}");
    let columns = table.lines().skip(1).map(|line| line.split_whitespace().collect::<Vec<_>>());
    let mut found =
        columns.filter(|row| row.get(LOCAL_ADDRESS).is_some_and(|local| local.ends_with(&suffix)));
    found.any(|row| row.get(INODE).is_some_and(|inode| has_socket(pid, inode)))
}

fn has_socket(pid: u32, inode: &str) -> bool {
    let Ok(entries) = fs::read_dir(format!("/proc/{pid}/fd")) else { return false };
    let name = format!("socket:[{inode}]");
    let links = entries.flatten().filter_map(|entry| fs::read_link(entry.path()).ok());
    links.into_iter().any(|link| link.to_string_lossy() == name)
}
