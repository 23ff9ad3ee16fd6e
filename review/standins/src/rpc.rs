//! A client of the JSON-RPC front.

use crate::util::note;
use std::io::{BufRead, BufReader, Write};
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::time::Duration;

pub struct Rpc {
    pub stream: BufReader<UnixStream>,
}

impl Rpc {
    pub fn connect(path: &Path) -> Rpc {
        let stream = UnixStream::connect(path).expect("the second front's socket");
        stream.set_read_timeout(Some(Duration::from_secs(10))).expect("a time limit");
        Rpc { stream: BufReader::new(stream) }
    }

    pub fn send(&mut self, line: &str) {
        note(&format!("client sends {line}"));
        self.stream.get_mut().write_all(format!("{line}\n").as_bytes()).expect("the client can write");
    }

    /// The next line; `None` at the end of the connection or after 10 s.
    pub fn next(&mut self) -> Option<String> {
        let mut line = String::new();
        let read = self.stream.read_line(&mut line).ok()?;
        let line = (read > 0).then(|| line.trim_end().to_owned())?;
        note(&format!("client receives {}", if line.len() > 300 { &line[..300] } else { &line }));
        Some(line)
    }
}
