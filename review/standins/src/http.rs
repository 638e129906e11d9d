//! HTTP/1.1 over blocking sockets: a server for stand-ins, and reading of messages.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;

/// A message: the first line, the headers with lowercase names, and the body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    /// Returns a word of the first line: 0 is a request's method, 1 its path or an answer's status.
    pub fn word(&self, number: usize) -> &str {
        self.first_line.split(' ').nth(number).unwrap_or_default()
    }

    pub fn path(&self) -> &str {
        self.word(1).split('?').next().unwrap_or_default()
    }

    /// Returns a parameter of the query.
    pub fn parameter(&self, name: &str) -> Option<String> {
        let query = self.word(1).split_once('?')?.1;
        let value = query.split('&').find_map(|pair| pair.split_once('=').filter(|(key, _)| *key == name))?.1;
        Some(decode_percent(value))
    }
}

fn decode_percent(text: &str) -> String {
    let mut out = Vec::new();
    let mut bytes = text.bytes();
    while let Some(byte) = bytes.next() {
        if byte != b'%' {
            out.push(byte);
            continue;
        }
        let digits = [bytes.next().unwrap_or(b'0'), bytes.next().unwrap_or(b'0')];
        out.push(u8::from_str_radix(&String::from_utf8_lossy(&digits), 16).unwrap_or(b'?'));
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Reads the first line and the headers; `None` if the connection has ended before them.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    message.first_line = line.trim_end().to_owned();
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let header = line.trim_end();
        if header.is_empty() {
            return Ok(Some(message));
        }
        if let Some((name, value)) = header.split_once(':') {
            message.headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

/// Reads a message with its body, which has a length, chunks or neither.
pub fn read_message(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else { return Ok(None) };
    if message.header("transfer-encoding").is_some_and(|value| value.eq_ignore_ascii_case("chunked")) {
        loop {
            let mut line = String::new();
            reader.read_line(&mut line)?;
            let len = usize::from_str_radix(line.trim(), 16).map_err(io::Error::other)?;
            let begin = message.body.len();
            message.body.resize(begin + len, 0);
            reader.read_exact(&mut message.body[begin..])?;
            reader.read_line(&mut line)?;
            if len == 0 {
                return Ok(Some(message));
            }
        }
    }
    let len = message.header("content-length").and_then(|value| value.parse().ok()).unwrap_or(0);
    message.body.resize(len, 0);
    reader.read_exact(&mut message.body)?;
    Ok(Some(message))
}

/// Writes an answer with a length.
pub fn write_answer(
    out: &mut impl Write,
    status: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut head = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    out.write_all(&[head.as_bytes(), body].concat())
}

/// Starts a server on a loopback port; `handle` answers each request on its connection's thread.
///
/// The connection ends when `handle` fails.
pub fn serve<F>(handle: F) -> io::Result<SocketAddr>
where
    F: Fn(&Message, &mut TcpStream) -> io::Result<()> + Send + Sync + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = Arc::clone(&handle);
            thread::spawn(move || serve_connection(stream, &*handle));
        }
    });
    Ok(address)
}

fn serve_connection<F>(mut stream: TcpStream, handle: &F) -> io::Result<()>
where
    F: Fn(&Message, &mut TcpStream) -> io::Result<()>,
{
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    while let Some(request) = read_message(&mut reader)? {
        handle(&request, &mut stream)?;
    }
    Ok(())
}

/// Sends a request over a new connection and returns the answer.
pub fn get(address: SocketAddr, path: &str) -> io::Result<Message> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(std::time::Duration::from_secs(2)))?;
    write!(stream, "GET {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n")?;
    let answer = read_message(&mut BufReader::new(&stream))?;
    answer.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}

/// Reads and drops what is left on a connection, up to its end.
pub fn drain(reader: &mut impl Read) {
    let mut buf = [0; 4096];
    while reader.read(&mut buf).is_ok_and(|len| len > 0) {}
}
