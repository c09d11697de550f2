//! The part of HTTP/1.1 that the stand-ins need: whole messages with a length, in chunks or up to the connection's end.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// A request or an answer; `first` is its first line.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// A word of the first line, counted from 0.
    pub fn word(&self, number: usize) -> &str {
        self.first.split(' ').nth(number).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }

    pub fn closes(&self) -> bool {
        self.header("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"))
    }
}

/// A connection with the bytes that were read ahead.
pub struct Conn {
    pub stream: TcpStream,
    buf: Vec<u8>,
}

impl Conn {
    pub fn new(stream: TcpStream) -> Conn {
        let _ = stream.set_nodelay(true);
        Conn { stream, buf: Vec::new() }
    }

    pub fn open(address: SocketAddr) -> io::Result<Conn> {
        Ok(Conn::new(TcpStream::connect_timeout(&address, CONNECT_TIMEOUT)?))
    }

    /// Reads a whole message; `None` if the connection ended before one began.
    pub fn read(&mut self) -> io::Result<Option<Message>> {
        let Some(mut message) = self.read_head()? else {
            return Ok(None);
        };
        let is_chunked = message
            .header("transfer-encoding")
            .is_some_and(|value| value.eq_ignore_ascii_case("chunked"));
        if is_chunked {
            message.body = self.read_chunks()?;
        } else if let Some(length) = message.header("content-length") {
            let length = length.parse().map_err(|_| io::ErrorKind::InvalidData)?;
            message.body = self.take(length)?;
        }
        Ok(Some(message))
    }

    fn read_head(&mut self) -> io::Result<Option<Message>> {
        let end = loop {
            if let Some(at) = self.buf.windows(4).position(|window| window == b"\r\n\r\n") {
                break at;
            }
            if !self.fill()? {
                let is_clean = self.buf.is_empty();
                return if is_clean { Ok(None) } else { Err(io::ErrorKind::UnexpectedEof.into()) };
            }
        };
        let head = String::from_utf8_lossy(&self.buf[..end]).into_owned();
        self.buf.drain(..end + 4);
        let mut lines = head.split("\r\n");
        let mut message =
            Message { first: lines.next().unwrap_or_default().to_owned(), ..Message::default() };
        for line in lines {
            if let Some((name, value)) = line.split_once(':') {
                message.headers.push((name.trim().to_owned(), value.trim().to_owned()));
            }
        }
        Ok(Some(message))
    }

    /// Reads an answer as far as it comes; returns its head, its body, and whether it ended as complete.
    pub fn read_parts(&mut self) -> io::Result<(Message, Vec<u8>, bool)> {
        let head = self.read_head()?.ok_or(io::ErrorKind::UnexpectedEof)?;
        let mut body = Vec::new();
        if head.header("transfer-encoding").is_none() {
            let length: Option<usize> =
                head.header("content-length").and_then(|length| length.parse().ok());
            body = self.take(length.ok_or(io::ErrorKind::InvalidData)?)?;
            return Ok((head, body, true));
        }
        let is_whole = self.read_chunks_into(&mut body).is_ok();
        Ok((head, body, is_whole))
    }

    fn read_chunks(&mut self) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        self.read_chunks_into(&mut body)?;
        Ok(body)
    }

    fn read_chunks_into(&mut self, body: &mut Vec<u8>) -> io::Result<()> {
        loop {
            let line = self.read_line()?;
            let size = usize::from_str_radix(line.split(';').next().unwrap_or_default().trim(), 16)
                .map_err(|_| io::ErrorKind::InvalidData)?;
            if size == 0 {
                while !self.read_line()?.is_empty() {}
                return Ok(());
            }
            body.extend(self.take(size)?);
            self.read_line()?;
        }
    }

    fn read_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(at) = self.buf.windows(2).position(|window| window == b"\r\n") {
                let line = String::from_utf8_lossy(&self.buf[..at]).into_owned();
                self.buf.drain(..at + 2);
                return Ok(line);
            }
            if !self.fill()? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    fn take(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.buf.len() < length {
            if !self.fill()? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buf.drain(..length).collect())
    }

    /// Reads more bytes; returns whether there were any.
    fn fill(&mut self) -> io::Result<bool> {
        let mut part = vec![0; 64 * 1024];
        let read = self.stream.read(&mut part)?;
        self.buf.extend_from_slice(&part[..read]);
        Ok(read > 0)
    }

    /// Writes a message with a length.
    pub fn write(
        &mut self,
        first: &str,
        headers: &[(&str, String)],
        body: &[u8],
    ) -> io::Result<()> {
        let mut text = format!("{first}\r\n");
        for (name, value) in headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(body);
        self.stream.write_all(&bytes)
    }
}

/// Serves an address, a thread for each connection; `serve` gets the connection and returns when it is done with it.
pub fn listen(listener: TcpListener, serve: impl Fn(Conn) + Send + Sync + 'static) {
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            thread::spawn(move || serve(Conn::new(stream)));
        }
    });
}
