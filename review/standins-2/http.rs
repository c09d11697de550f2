//! A small HTTP/1.1 reader and writer over blocking sockets.

use std::io::ErrorKind;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

/// A request or a response without its body.
#[derive(Clone, Debug, Default)]
pub struct Head {
    /// Start line.
    pub line: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn word(&self, index: usize) -> &str {
        self.line.split(' ').nth(index).unwrap_or("")
    }

    /// Status of a response; 0 if it cannot be read.
    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }
}

/// A socket with what was read ahead of it.
pub struct Conn {
    pub stream: TcpStream,
    buf: Vec<u8>,
}

impl Conn {
    pub fn new(stream: TcpStream) -> Conn {
        let _ = stream.set_nodelay(true);
        Conn { stream, buf: Vec::new() }
    }

    pub fn open(address: SocketAddr, timeout: Duration) -> std::io::Result<Conn> {
        Ok(Conn::new(TcpStream::connect_timeout(&address, timeout)?))
    }

    fn fill(&mut self) -> std::io::Result<()> {
        let mut chunk = [0; 16 * 1024];
        match self.stream.read(&mut chunk)? {
            0 => Err(ErrorKind::UnexpectedEof.into()),
            read => {
                self.buf.extend_from_slice(&chunk[..read]);
                Ok(())
            }
        }
    }

    pub fn read_head(&mut self) -> std::io::Result<Head> {
        let end = loop {
            if let Some(at) = self.buf.windows(4).position(|window| window == b"\r\n\r\n") {
                break at;
            }
            self.fill()?;
        };
        let text = String::from_utf8_lossy(&self.buf[..end]).into_owned();
        self.buf.drain(..end + 4);
        let mut lines = text.split("\r\n");
        let line = lines.next().unwrap_or("").to_owned();
        let headers = lines.filter_map(|line| {
            let (name, value) = line.split_once(':')?;
            Some((name.trim().to_owned(), value.trim().to_owned()))
        });
        Ok(Head { line, headers: headers.collect() })
    }

    fn take(&mut self, length: usize) -> std::io::Result<Vec<u8>> {
        while self.buf.len() < length {
            self.fill()?;
        }
        Ok(self.buf.drain(..length).collect())
    }

    fn take_line(&mut self) -> std::io::Result<String> {
        let end = loop {
            if let Some(at) = self.buf.windows(2).position(|window| window == b"\r\n") {
                break at;
            }
            self.fill()?;
        };
        let line = String::from_utf8_lossy(&self.buf[..end]).into_owned();
        self.buf.drain(..end + 2);
        Ok(line)
    }

    /// Reads a body; one of a response without a length ends with its connection.
    pub fn read_body(&mut self, head: &Head, is_response: bool) -> std::io::Result<Vec<u8>> {
        if let Some(length) = head.get("content-length") {
            let length =
                length.parse().map_err(|_| std::io::Error::from(ErrorKind::InvalidData))?;
            return self.take(length);
        }
        let is_chunked = head.get("transfer-encoding").is_some_and(|te| te.contains("chunked"));
        if is_chunked {
            let mut body = Vec::new();
            loop {
                let line = self.take_line()?;
                let size = line.split(';').next().unwrap_or("").trim();
                let size = usize::from_str_radix(size, 16)
                    .map_err(|_| std::io::Error::from(ErrorKind::InvalidData))?;
                if size == 0 {
                    while !self.take_line()?.is_empty() {}
                    return Ok(body);
                }
                body.extend(self.take(size)?);
                self.take(2)?;
            }
        }
        if !is_response || matches!(head.status(), 204 | 304) {
            return Ok(Vec::new());
        }
        loop {
            match self.fill() {
                Ok(()) => {}
                Err(e) if e.kind() == ErrorKind::UnexpectedEof => {
                    return Ok(std::mem::take(&mut self.buf));
                }
                Err(e) => return Err(e),
            }
        }
    }

    pub fn write(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Writes a response with a body of known length.
    pub fn respond(&mut self, status: u16, headers: &str, body: &[u8]) -> std::io::Result<()> {
        let mut text =
            format!("HTTP/1.1 {status} X\r\n{headers}Content-Length: {}\r\n\r\n", body.len())
                .into_bytes();
        text.extend_from_slice(body);
        self.write(&text)
    }
}
