//! A run box: takes calls and orders in JSON lines over TCP, loads checkers, runs calls and answers.

use crate::util::{field, note, sleep_ms};
use std::collections::{BTreeMap, HashSet};
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// One line that the box received, or one run that it began.
#[derive(Clone, Debug)]
pub struct Seen {
    pub at: f64,
    pub what: String,
    pub rid: String,
    pub function: String,
    pub content: String,
}

/// How a call is to be treated, by what it carries.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Treat {
    /// Load if needed, run, answer 200.
    Serve,
    /// Reset the connection after this many milliseconds; the call has run if `ran`.
    Reset { after_ms: u64, ran: bool },
}

pub struct Rules {
    /// How long a load takes, by function.
    pub load_ms: Box<dyn Fn(&str) -> u64 + Send + Sync>,
    /// How long a run takes.
    pub work_ms: u64,
    pub treat: Box<dyn Fn(&Seen) -> Treat + Send + Sync>,
    /// The body of the answer, in base64.
    pub body: Box<dyn Fn(&Seen) -> String + Send + Sync>,
}

pub struct RunBox {
    pub uid: u32,
    pub at: SocketAddr,
    pub seen: Mutex<Vec<Seen>>,
    /// Since when each checker stands or will stand.
    loaded: Mutex<BTreeMap<String, Instant>>,
    draining: Mutex<bool>,
    rules: Rules,
}

impl RunBox {
    pub fn start(uid: u32, rules: Rules) -> Arc<RunBox> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let at = listener.local_addr().expect("an address");
        let run_box = Arc::new(RunBox {
            uid,
            at,
            seen: Mutex::default(),
            loaded: Mutex::default(),
            draining: Mutex::new(false),
            rules,
        });
        let own = run_box.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let own = own.clone();
                thread::spawn(move || own.serve(&stream));
            }
        });
        run_box
    }

    pub fn name(&self) -> String {
        format!("s-{:08x}", self.uid)
    }

    /// From now on it finishes what it has and takes nothing new.
    pub fn drain(&self) {
        *self.draining.lock().unwrap() = true;
    }

    fn serve(self: &Arc<RunBox>, stream: &TcpStream) {
        let _ = stream.set_nodelay(true);
        let write = Arc::new(Mutex::new(stream.try_clone().expect("a handle")));
        let halted: Arc<Mutex<HashSet<String>>> = Arc::default();
        for line in BufReader::new(stream.try_clone().expect("a handle")).lines() {
            let Ok(line) = line else { return };
            let get = |name| field(&line, name).unwrap_or_default();
            let seen = Seen {
                at: crate::util::ms(),
                what: get("verb"),
                rid: get("rid"),
                function: get("name"),
                content: get("content"),
            };
            let short = if line.len() > 300 { &line[..300] } else { &line };
            if seen.what != "ping" && seen.what != "stat" {
                note(&format!("{} received {short}", self.name()));
            }
            self.seen.lock().unwrap().push(seen.clone());
            match seen.what.as_str() {
                "halt" => {
                    halted.lock().unwrap().insert(seen.rid.clone());
                }
                "ping" | "stat" => {
                    let word = if *self.draining.lock().unwrap() { "dead" } else { "alive" };
                    self.answer(&write, &seen.rid, word, "", None);
                }
                "go" | "stage" => {
                    let (own, write, halted) = (self.clone(), write.clone(), halted.clone());
                    let stream = stream.try_clone().expect("a handle");
                    thread::spawn(move || own.take(&seen, &write, &halted, &stream));
                }
                _ => {}
            }
        }
    }

    fn take(
        &self,
        seen: &Seen,
        write: &Mutex<TcpStream>,
        halted: &Mutex<HashSet<String>>,
        stream: &TcpStream,
    ) {
        if *self.draining.lock().unwrap() {
            return self.answer(write, &seen.rid, "503", "", Some(0));
        }
        let treat = if seen.what == "go" { (self.rules.treat)(seen) } else { Treat::Serve };
        match treat {
            Treat::Reset { after_ms, ran } => {
                if ran {
                    self.ran(seen);
                }
                sleep_ms(after_ms);
                note(&format!("{} resets the connection of {}", self.name(), seen.rid));
                let _ = stream.shutdown(Shutdown::Both);
                return;
            }
            Treat::Serve => {}
        }
        let load = Duration::from_millis((self.rules.load_ms)(&seen.function));
        let stands_at =
            *self.loaded.lock().unwrap().entry(seen.function.clone()).or_insert_with(|| Instant::now() + load);
        thread::sleep(stands_at.saturating_duration_since(Instant::now()));
        if seen.what == "stage" {
            return self.answer(write, &seen.rid, "200", "", Some(1));
        }
        // Waiting work is dropped at a cancel.
        if halted.lock().unwrap().contains(&seen.rid) {
            return note(&format!("{} drops {}: halted while it waited", self.name(), seen.rid));
        }
        self.ran(seen);
        sleep_ms(self.rules.work_ms);
        self.answer(write, &seen.rid, "200", &(self.rules.body)(seen), None);
    }

    fn ran(&self, seen: &Seen) {
        note(&format!("{} runs {} function={} content={}", self.name(), seen.rid, seen.function, seen.content));
        let run = Seen { at: crate::util::ms(), what: "run".to_owned(), ..seen.clone() };
        self.seen.lock().unwrap().push(run);
    }

    fn answer(&self, write: &Mutex<TcpStream>, rid: &str, word: &str, content: &str, copies: Option<u8>) {
        let attrs = copies.map_or(String::new(), |copies| format!("\"replicas\":{copies}"));
        let line =
            format!("{{\"verb\":\"{word}\",\"rid\":\"{rid}\",\"attrs\":{{{attrs}}},\"content\":\"{content}\"}}\n");
        if word != "alive" {
            note(&format!("{} answers {rid} {word} ({} bytes of content)", self.name(), content.len()));
        }
        let _ = write.lock().unwrap().write_all(line.as_bytes());
    }
}

/// A record of the box for the configuration.
pub fn listed(run_box: &RunBox, zone: &str) -> String {
    format!(
        "{{\"uid\":\"{}\",\"endpoint\":\"{}\",\"az\":\"{zone}\",\"model\":\"std-5c\",\"pod_group\":0,\
         \"state\":\"SERVING\",\"capacity_hint\":4,\"boot_ms\":0}}",
        run_box.name(),
        run_box.at
    )
}
