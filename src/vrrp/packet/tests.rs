use super::*;

#[test]
fn messages_are_decoded_as_encoded_and_malformed_ones_are_rejected() {
    let addresses = vec![Ipv4Addr::new(127, 0, 0, 100)];
    let good = Advertisement { vrid: 7, priority: 100, interval: 100, addresses };
    let bytes = good.write();
    // 0x3107 + 0x6401 + 0x0064 + 0x7f00 + 0x0064 = 0x114d0, folded 0x14d1, inverted 0xeb2e.
    assert_eq!(bytes, [0x31, 7, 100, 1, 0, 100, 0xeb, 0x2e, 127, 0, 0, 100]);
    assert_eq!(Advertisement::read(&bytes), Ok(good.clone()));
    let sealed = |change: fn(&mut Vec<u8>)| {
        let mut bytes = bytes.clone();
        change(&mut bytes);
        bytes[6..8].fill(0);
        let sum = checksum(&bytes).to_be_bytes();
        bytes[6..8].copy_from_slice(&sum);
        bytes
    };
    let cases = [
        (vec![], "cut short"),
        (bytes[..7].to_vec(), "cut short"),
        (bytes[..11].to_vec(), "length and count differ"),
        (sealed(|b| b[0] = 0x21), "not version 3"),
        (sealed(|b| b[0] = 0x32), "not an advertisement"),
        (sealed(|b| b[3] = 2), "length and count differ"),
        (sealed(|b| b[1] = 0), "a field is zero"),
        (sealed(|b| (b[4], b[5]) = (0xf0, 0)), "a field is zero"),
        (sealed(|b| (b[3], _) = (0, b.truncate(8))), "no address"),
        ([&bytes[..2], &[101], &bytes[3..]].concat(), "checksum"),
    ];
    for (bytes, why) in cases {
        assert_eq!(Advertisement::read(&bytes), Err(why), "{bytes:?}");
    }
    let reserved = sealed(|b| b[4] |= 0xf0);
    assert_eq!(Advertisement::read(&reserved), Ok(good), "reserved bits are ignored");
}
