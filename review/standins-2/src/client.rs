//! A client that sends requests one after the other, on a kept connection.

use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::http::{Message, read_response};

pub struct Client {
    address: SocketAddr,
    stream: Option<(BufReader<TcpStream>, TcpStream)>,
}

/// A request as a client sends it.
pub struct Request<'a> {
    pub method: &'a str,
    pub target: &'a str,
    pub host: &'a str,
    pub attempt: &'a str,
    pub headers: &'a [(&'a str, String)],
    pub deadline: Duration,
    pub body: &'a [u8],
}

impl Client {
    pub fn new(address: SocketAddr) -> Self {
        Self { address, stream: None }
    }

    /// Sends a request and waits for the whole answer.
    pub fn send(&mut self, req: &Request<'_>) -> io::Result<Message> {
        let answer = self.exchange(req);
        let is_kept = answer.as_ref().is_ok_and(|answer| {
            !answer.header("connection").is_some_and(|v| v.eq_ignore_ascii_case("close"))
        });
        if !is_kept {
            self.stream = None;
        }
        answer
    }

    fn exchange(&mut self, req: &Request<'_>) -> io::Result<Message> {
        if self.stream.is_none() {
            let stream = TcpStream::connect_timeout(&self.address, Duration::from_secs(1))?;
            stream.set_nodelay(true)?;
            self.stream = Some((BufReader::new(stream.try_clone()?), stream));
        }
        let (reader, writer) = self.stream.as_mut().expect("a connection was just opened");
        writer.set_read_timeout(Some(req.deadline))?;
        let mut text = format!(
            "{} {} HTTP/1.1\r\nHost: {}\r\nX-Attempt-Id: {}\r\nX-Deadline-Ms: {}\r\n",
            req.method,
            req.target,
            req.host,
            req.attempt,
            req.deadline.as_millis()
        );
        for (name, value) in req.headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        if req.method != "GET" {
            text.push_str(&format!("Content-Length: {}\r\n", req.body.len()));
        }
        text.push_str("\r\n");
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(req.body);
        writer.write_all(&bytes)?;
        read_response(reader)
    }
}
