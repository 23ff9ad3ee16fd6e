//! What an old and a new process say to each other: a length, and a message of JSON that names its version.

pub use crate::core::known::{Known, Line};
use serde::{Deserialize, Serialize};

/// Another version may mean other things by the same words.
pub const VERSION: u32 = 1;
/// Longest message: some 50,000 workers.
pub const LONGEST: usize = 8 << 20;

/// What one says to the other.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Message {
    /// The new one asks for what the old one knows.
    Hello {
        /// The version that it speaks.
        version: u32,
        /// The scheduler's name: both are one scheduler.
        name: String,
    },
    /// The old one's answer.
    State(Box<Known>),
    /// The new one takes clients from now on.
    Serving,
    /// An operator has left a worker out, or put it back.
    ByHand {
        /// Which.
        worker: u64,
        /// Out, or back.
        out: bool,
        /// When.
        at: u64,
    },
}

/// Writes a message.
pub fn write(message: &Message) -> Vec<u8> {
    let text = serde_json::to_vec(message).unwrap_or_default();
    [&(text.len() as u32).to_be_bytes()[..], &text].concat()
}

/// Reads the first message of a buffer with the bytes it took; `Ok(None)` where it is not whole yet.
pub fn read(bytes: &[u8]) -> Result<Option<(Message, usize)>, &'static str> {
    let Some(head) = bytes.first_chunk::<4>() else { return Ok(None) };
    let length = u32::from_be_bytes(*head) as usize;
    if !(2..=LONGEST).contains(&length) {
        return Err("length out of range");
    }
    let Some(text) = bytes.get(4..4 + length) else { return Ok(None) };
    let message = serde_json::from_slice(text).map_err(|_| "no message of this version")?;
    Ok(Some((message, 4 + length)))
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::interface::{Member, Time, WorkerId};

    #[test]
    fn messages_are_read_whole_or_not_at_all() {
        let member = Member { worker: WorkerId(7), started: Some(Time(5)), weight: 0.1, ..Member::default() };
        let known = Known {
            version: VERSION,
            list: vec![Line::of(&member, "127.0.0.1:9".parse().unwrap())],
            out: vec![7],
            back: vec![(8, 9)],
            ..Known::default()
        };
        let cases = [
            Message::Hello { version: 1, name: "n0".to_owned() },
            Message::State(Box::new(known)),
            Message::Serving,
            Message::ByHand { worker: 7, out: true, at: 3 },
        ];
        for message in cases {
            let bytes = write(&message);
            for cut in 0..bytes.len() {
                assert_eq!(read(&bytes[..cut]), Ok(None), "{message:?} cut at {cut}");
            }
            assert_eq!(read(&bytes), Ok(Some((message, bytes.len()))));
        }
        assert_eq!(Line::of(&member, "127.0.0.1:9".parse().unwrap()).member(), member);
    }

    #[test]
    fn sizes_that_lie_and_other_versions_are_told() {
        let text = |text: &str| [&(text.len() as u32).to_be_bytes()[..], text.as_bytes()].concat();
        let cases = [
            vec![0, 0, 0, 0],
            vec![255, 255, 255, 255],
            vec![0, 128, 0, 1],
            text("{}"),
            text("nonsense"),
            text(r#"{"farewell":{}}"#),
            text(r#"{"hello":{"version":-1,"name":""}}"#),
            text(r#"{"state":{"version":1}}"#),
        ];
        for bytes in cases {
            assert!(read(&bytes).is_err(), "{bytes:?}");
        }
        let mut short = write(&Message::Serving);
        short[3] -= 1;
        assert!(read(&short).is_err(), "a length one too small");
        short[3] += 2;
        assert_eq!(read(&short), Ok(None), "one too large: the rest is waited for");
    }
}
