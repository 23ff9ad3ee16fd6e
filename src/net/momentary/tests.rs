use super::*;

#[test]
fn transient_errors_are_retried_and_others_returned_at_once() {
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
