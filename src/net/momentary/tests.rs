use super::*;

#[test]
fn what_passes_is_waited_for_and_what_stays_is_told_at_once() {
    let mut left = 3;
    let done = retry_while_transient(|| {
        left -= 1;
        if left > 0 { Err(io::Error::from(Errno::NOBUFS)) } else { Ok(left) }
    });
    assert_eq!(done.unwrap(), 0);
    let mut asked = 0;
    let done = retry_while_transient(|| {
        asked += 1;
        Err::<(), _>(io::Error::from(Errno::ADDRINUSE))
    });
    assert_eq!((done.unwrap_err().kind(), asked), (io::ErrorKind::AddrInUse, 1));
    assert!(!is_transient(&io::Error::other("no errno")));
}
