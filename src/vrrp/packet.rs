//! The byte format of the advertisement of VRRP version 3.

use crate::interface::Duration;
use std::net::Ipv4Addr;

/// Largest size of an advertisement: its header and 255 addresses.
pub const MAX_ADVERTISEMENT_BYTES: usize = 8 + 4 * 255;
/// Longest interval, in centiseconds: the field has 12 bits.
pub const MAX_INTERVAL_CS: u16 = 0x0fff;

/// An advertisement: the sender is active, or stops.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Advertisement {
    /// The number of the virtual router.
    pub vrid: u8,
    /// The sender's priority; 0 if it stops.
    pub priority: u8,
    /// Max Advertise Interval, in centiseconds.
    pub interval: u16,
    /// The addresses of the virtual router.
    pub addresses: Vec<Ipv4Addr>,
}

impl Advertisement {
    /// The interval as a [`Duration`].
    pub fn interval_duration(&self) -> Duration {
        Duration::millis(u64::from(self.interval) * 10)
    }

    /// Encodes the message.
    pub fn write(&self) -> Vec<u8> {
        let [high, low] = (self.interval & MAX_INTERVAL_CS).to_be_bytes();
        let mut bytes = vec![0x31, self.vrid, self.priority, self.addresses.len() as u8, high, low, 0, 0];
        self.addresses.iter().for_each(|address| bytes.extend(address.octets()));
        let sum = checksum(&bytes).to_be_bytes();
        bytes[6..8].copy_from_slice(&sum);
        bytes
    }

    /// Decodes a message.
    ///
    /// # Errors
    /// The reason why the message is dropped: it is malformed, of another version or type, or its checksum is wrong.
    pub fn read(bytes: &[u8]) -> Result<Advertisement, &'static str> {
        let Some((head, rest)) = bytes.split_first_chunk::<8>() else { return Err("cut short") };
        if head[0] >> 4 != 3 {
            return Err("not version 3");
        }
        if head[0] & 0x0f != 1 {
            return Err("not an advertisement");
        }
        let (addresses, remainder) = rest.as_chunks::<4>();
        if !remainder.is_empty() || addresses.len() != usize::from(head[3]) {
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

/// The Internet checksum of the message without a pseudo-header, as over IPv4. It is 0 for a message that contains its
/// own checksum.
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
