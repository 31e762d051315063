//! HTTP/1.1 messages over blocking sockets.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut found = self
            .headers
            .iter()
            .filter(|(known, _)| known.eq_ignore_ascii_case(name));
        found.next().map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.first_line
            .split(' ')
            .nth(1)
            .and_then(|text| text.parse().ok())
            .unwrap_or(0)
    }

    pub fn method(&self) -> &str {
        self.first_line.split(' ').next().unwrap_or_default()
    }

    pub fn target(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or_default()
    }
}

pub fn read_head(reader: &mut impl BufRead) -> Option<Message> {
    let mut message = Message::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            if message.first_line.is_empty() {
                continue;
            }
            return Some(message);
        }
        if message.first_line.is_empty() {
            message.first_line = line.to_owned();
        } else {
            let (name, value) = line.split_once(':')?;
            message
                .headers
                .push((name.to_owned(), value.trim().to_owned()));
        }
    }
}

/// Reads a body with a length or in chunks; passes its bytes to `take`.
pub fn read_body(
    reader: &mut impl BufRead,
    message: &Message,
    mut take: impl FnMut(&[u8]),
) -> Option<()> {
    if message
        .header("transfer-encoding")
        .is_some_and(|coding| coding.contains("chunked"))
    {
        loop {
            let mut line = String::new();
            reader.read_line(&mut line).ok()?;
            let length = usize::from_str_radix(line.trim().split(';').next()?, 16).ok()?;
            copy(reader, length, &mut take)?;
            let mut end = String::new();
            reader.read_line(&mut end).ok()?;
            if length == 0 {
                return Some(());
            }
        }
    }
    let length = message
        .header("content-length")
        .map_or(Some(0), |text| text.parse().ok())?;
    copy(reader, length, &mut take)
}

fn copy(reader: &mut impl BufRead, mut left: usize, take: &mut impl FnMut(&[u8])) -> Option<()> {
    let mut buffer = vec![0; 64 << 10];
    while left > 0 {
        let wanted = left.min(buffer.len());
        let read = reader.read(&mut buffer[..wanted]).ok()?;
        if read == 0 {
            return None;
        }
        take(&buffer[..read]);
        left -= read;
    }
    Some(())
}

pub fn read_message(reader: &mut impl BufRead) -> Option<Message> {
    let mut message = read_head(reader)?;
    let mut body = Vec::new();
    read_body(reader, &message, |bytes| body.extend_from_slice(bytes))?;
    message.body = body;
    Some(message)
}

/// Sends one request on a new connection and returns the whole answer.
pub fn ask(address: SocketAddr, request: &[u8], timeout: Duration) -> Option<Message> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.write_all(request).ok()?;
    read_message(&mut BufReader::new(stream))
}
