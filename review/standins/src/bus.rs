//! The event bus: numbered events, and an empty frame each second.

use crate::util::{ms, note, sleep_ms};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;

pub struct Bus {
    pub at: SocketAddr,
    /// Events after those of the configuration, the first of which has number 2.
    events: Mutex<Vec<Vec<u8>>>,
    /// When the last empty frame was sent, by the record's time.
    pub last_beat: Mutex<f64>,
}

impl Bus {
    pub fn start() -> Arc<Bus> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let at = listener.local_addr().expect("an address");
        let bus = Arc::new(Bus { at, events: Mutex::default(), last_beat: Mutex::new(0.0) });
        let own = bus.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let own = own.clone();
                thread::spawn(move || own.follow(stream));
            }
        });
        bus
    }

    fn follow(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut number = [0; 8];
        if stream.read_exact(&mut number).is_err() {
            return;
        }
        let mut had = u64::from_be_bytes(number);
        let mut next_beat = (ms() / 1000.0).ceil() * 1000.0;
        loop {
            let waiting: Vec<Vec<u8>> =
                self.events.lock().unwrap().iter().skip(had.saturating_sub(1) as usize).cloned().collect();
            for event in waiting {
                had += 1;
                if stream.write_all(&event).is_err() {
                    return;
                }
            }
            if ms() >= next_beat {
                next_beat += 1000.0;
                let frame = [&9u32.to_be_bytes()[..], &had.to_be_bytes(), &[0]].concat();
                if stream.write_all(&frame).is_err() {
                    return;
                }
                *self.last_beat.lock().unwrap() = ms();
            }
            sleep_ms(2);
        }
    }

    /// Tells a change of one box: state 0 ready, 1 draining, 2 gone. Returns when it was in the bus.
    pub fn tell(&self, uid: u32, at: SocketAddr, state: u8) -> f64 {
        let SocketAddr::V4(at) = at else { panic!("IPv4") };
        let mut events = self.events.lock().unwrap();
        let number = events.len() as u64 + 2;
        let mut record = uid.to_be_bytes().to_vec();
        record.extend(at.ip().octets());
        record.extend(at.port().to_be_bytes());
        record.extend([state, 0, 0, 0, 0]);
        record.extend(4000u32.to_be_bytes());
        record.extend(0u64.to_be_bytes());
        let length = 9 + record.len() as u32;
        events.push([&length.to_be_bytes()[..], &number.to_be_bytes(), &[2], &record].concat());
        let word = ["ready", "draining", "gone"][usize::from(state)];
        note(&format!("event bus: event {number} in the bus, s-{uid:08x} is {word}"));
        ms()
    }
}
