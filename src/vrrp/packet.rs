//! Version 3's advertisement, as bytes.

use crate::interface::Duration;
use std::net::Ipv4Addr;

/// Largest datagram that can hold one: 255 addresses.
pub const MAX_ADVERTISEMENT_BYTES: usize = 8 + 4 * 255;
/// Longest interval, in centiseconds: 12 bits.
pub const MAX_INTERVAL_CS: u16 = 0x0fff;

/// An advertisement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Advertisement {
    /// Which virtual router.
    pub vrid: u8,
    /// The sender's priority; 0 where it stops.
    pub priority: u8,
    /// Max Advertise Interval, in centiseconds.
    pub interval: u16,
    /// The addresses of the virtual router.
    pub addresses: Vec<Ipv4Addr>,
}

impl Advertisement {
    /// The interval as a span.
    pub fn interval_duration(&self) -> Duration {
        Duration::millis(u64::from(self.interval) * 10)
    }

    /// The message as it is sent.
    pub fn write(&self) -> Vec<u8> {
        let [high, low] = (self.interval & MAX_INTERVAL_CS).to_be_bytes();
        let mut bytes = vec![0x31, self.vrid, self.priority, self.addresses.len() as u8, high, low, 0, 0];
        self.addresses.iter().for_each(|address| bytes.extend(address.octets()));
        let sum = checksum(&bytes).to_be_bytes();
        bytes[6..8].copy_from_slice(&sum);
        bytes
    }

    /// Reads a message; the error says why it is to be dropped.
    ///
    /// # Errors
    /// The message is cut short, of another version or type, or its checksum is wrong.
    pub fn read(bytes: &[u8]) -> Result<Advertisement, &'static str> {
        let Some((head, rest)) = bytes.split_first_chunk::<8>() else { return Err("cut short") };
        if head[0] >> 4 != 3 {
            return Err("not version 3");
        }
        if head[0] & 0x0f != 1 {
            return Err("not an advertisement");
        }
        let (addresses, odd) = rest.as_chunks::<4>();
        if !odd.is_empty() || addresses.len() != usize::from(head[3]) {
            return Err("length and count differ");
        }
        if addresses.is_empty() {
            return Err("no address");
        }
        if checksum(bytes) != 0 {
            return Err("checksum");
        }
        let interval = u16::from_be_bytes([head[4], head[5]]) & MAX_INTERVAL_CS;
        if head[1] == 0 || interval == 0 {
            return Err("a field is zero");
        }
        let addresses = addresses.iter().map(|octets| Ipv4Addr::from(*octets)).collect();
        Ok(Advertisement { vrid: head[1], priority: head[2], interval, addresses })
    }
}

/// The Internet checksum over the message alone, as is done over IPv4; 0 over a message that holds its own.
fn checksum(bytes: &[u8]) -> u16 {
    let words = bytes.chunks(2).map(|pair| u32::from(pair[0]) << 8 | u32::from(*pair.get(1).unwrap_or(&0)));
    let mut sum: u32 = words.sum();
    while sum > 0xffff {
        sum = (sum & 0xffff) + (sum >> 16);
    }
    !(sum as u16)
}

#[cfg(test)]
mod tests;
