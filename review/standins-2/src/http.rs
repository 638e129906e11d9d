//! A small HTTP/1.1 server and the reading of messages, with a thread for each connection.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;

/// The head and body of a request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The request line or the status line.
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }

    pub fn method(&self) -> &str {
        self.first_line.split(' ').next().unwrap_or("")
    }

    /// The path and query of a request.
    pub fn target(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or("")
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or("")
    }

    /// A parameter of the query, percent-decoded.
    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.target().split_once('?')?.1;
        query.split('&').find_map(|pair| {
            let (key, value) = pair.split_once('=')?;
            (key == name).then(|| percent_decode(value))
        })
    }

    /// The status of a response.
    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }
}

fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut i = 0;
    while i < bytes.len() {
        if bytes[i] == b'%' && i + 2 < bytes.len() {
            if let Ok(byte) = u8::from_str_radix(&text[i + 1..i + 3], 16) {
                out.push(byte);
                i += 3;
                continue;
            }
        }
        out.push(bytes[i]);
        i += 1;
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Reads a head; `None` at the end of the connection.
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
        let text = line.trim_end();
        if text.is_empty() {
            return Ok(Some(message));
        }
        if let Some((name, value)) = text.split_once(':') {
            message.headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
}

/// Reads a body with a length or in chunks; a response with neither ends with its connection.
pub fn read_body(reader: &mut impl BufRead, head: &Message, is_response: bool) -> io::Result<Vec<u8>> {
    if head.header("transfer-encoding").is_some_and(|v| v.eq_ignore_ascii_case("chunked")) {
        let mut body = Vec::new();
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let len = usize::from_str_radix(line.trim().split(';').next().unwrap_or(""), 16)
                .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            let mut chunk = vec![0; len + 2];
            reader.read_exact(&mut chunk)?;
            if len == 0 {
                return Ok(body);
            }
            body.extend_from_slice(&chunk[..len]);
        }
    }
    if let Some(len) = head.header("content-length").and_then(|v| v.parse::<usize>().ok()) {
        let mut body = vec![0; len];
        reader.read_exact(&mut body)?;
        return Ok(body);
    }
    let mut body = Vec::new();
    if is_response {
        reader.read_to_end(&mut body)?;
    }
    Ok(body)
}

/// What a handler does with its connection after a request.
pub enum After {
    Keep,
    Close,
}

/// Serves requests until the listener's process ends; a thread for each connection.
pub fn serve<F>(listener: TcpListener, handler: F)
where
    F: Fn(Message, &mut TcpStream) -> io::Result<After> + Send + Sync + 'static,
{
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(stream) = stream else { continue };
            let handler = Arc::clone(&handler);
            thread::spawn(move || _ = serve_connection(stream, &*handler));
        }
    });
}

pub fn serve_connection<F>(mut stream: TcpStream, handler: &F) -> io::Result<()>
where
    F: Fn(Message, &mut TcpStream) -> io::Result<After> + ?Sized,
{
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    while let Some(mut message) = read_head(&mut reader)? {
        message.body = read_body(&mut reader, &message, false)?;
        match handler(message, &mut stream)? {
            After::Keep => {}
            After::Close => return Ok(()),
        }
    }
    Ok(())
}

/// Writes a response with a length.
pub fn respond(stream: &mut TcpStream, status: u16, headers: &[(&str, &str)], body: &[u8]) -> io::Result<()> {
    let mut text = format!("HTTP/1.1 {status} {}\r\n", reason(status));
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

pub fn respond_json(stream: &mut TcpStream, status: u16, body: &serde_json::Value) -> io::Result<After> {
    respond(stream, status, &[("Content-Type", "application/json")], body.to_string().as_bytes())?;
    Ok(After::Keep)
}

fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        202 => "Accepted",
        404 => "Not Found",
        409 => "Conflict",
        410 => "Gone",
        412 => "Precondition Failed",
        421 => "Misdirected Request",
        429 => "Too Many Requests",
        _ => "Status",
    }
}

/// Reads a whole response.
pub fn read_response(reader: &mut impl BufRead) -> io::Result<Message> {
    let mut head = read_head(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    head.body = read_body(reader, &head, true)?;
    Ok(head)
}

/// Reads what is left of a stream.
pub fn read_rest(reader: &mut impl Read) -> Vec<u8> {
    let mut rest = Vec::new();
    _ = reader.read_to_end(&mut rest);
    rest
}
