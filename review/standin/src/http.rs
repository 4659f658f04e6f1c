//! Raw HTTP/1.1 over TCP: as much as the stand-ins need.

use std::io;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// A request or the head of a response: its first line, its headers in lower case, and a body with a length.
#[derive(Debug, Clone, Default)]
pub struct Message {
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(other, _)| other == name).map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.line.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or("")
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or("")
    }

    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target().split_once('?')?;
        query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
    }

    /// The status of a response.
    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
    }
}

/// A connection with the bytes that were read and not used yet.
#[derive(Debug)]
pub struct Wire {
    pub stream: TcpStream,
    pub buffer: Vec<u8>,
}

impl Wire {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, buffer: Vec::new() }
    }

    pub async fn fill(&mut self) -> io::Result<usize> {
        self.stream.read_buf(&mut self.buffer).await
    }

    async fn need(&mut self) -> io::Result<()> {
        if self.fill().await? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        Ok(())
    }

    /// Reads a head.
    pub async fn head(&mut self) -> io::Result<Message> {
        let end = loop {
            if let Some(end) = self.buffer.windows(4).position(|four| four == b"\r\n\r\n") {
                break end;
            }
            self.need().await?;
        };
        let head: Vec<u8> = self.buffer.drain(..end + 4).collect();
        let head = String::from_utf8_lossy(&head[..end]).into_owned();
        let mut lines = head.split("\r\n");
        let line = lines.next().unwrap_or("").to_owned();
        let headers = lines
            .filter_map(|line| line.split_once(':'))
            .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
            .collect();
        Ok(Message { line, headers, body: Vec::new() })
    }

    /// Reads a head and a body with a length.
    pub async fn message(&mut self) -> io::Result<Message> {
        let mut message = self.head().await?;
        let length = message.header("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
        while self.buffer.len() < length {
            self.need().await?;
        }
        message.body = self.buffer.drain(..length).collect();
        Ok(message)
    }

    /// Reads the next chunk of a chunked body; an empty one is the last.
    pub async fn chunk(&mut self) -> io::Result<Vec<u8>> {
        let (start, size) = loop {
            if let Some(end) = self.buffer.windows(2).position(|two| two == b"\r\n") {
                let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                let size = usize::from_str_radix(text.split(';').next().unwrap_or("").trim(), 16);
                break (end + 2, size.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?);
            }
            self.need().await?;
        };
        while self.buffer.len() < start + size + 2 {
            self.need().await?;
        }
        let all: Vec<u8> = self.buffer.drain(..start + size + 2).collect();
        Ok(all[start..start + size].to_vec())
    }

    /// Sends a response with a length.
    pub async fn respond(&mut self, status: &str, headers: &str, body: &[u8]) -> io::Result<()> {
        let head = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n", body.len());
        self.stream.write_all(&[head.as_bytes(), body].concat()).await
    }
}
