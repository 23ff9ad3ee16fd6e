use super::*;

#[test]
fn failures_are_classified_as_accept_2_describes() {
    let of = |errno: Errno| AcceptFailure::of(&io::Error::from(errno));
    for errno in
        [Errno::CONNABORTED, Errno::INTR, Errno::PROTO, Errno::NETDOWN, Errno::HOSTUNREACH, Errno::PERM]
    {
        assert_eq!(of(errno), AcceptFailure::Connection, "{errno}");
    }
    for errno in [Errno::MFILE, Errno::NFILE, Errno::NOBUFS, Errno::NOMEM] {
        assert_eq!(of(errno), AcceptFailure::NoRoom, "{errno}");
    }
    for errno in [Errno::ADDRNOTAVAIL, Errno::INVAL, Errno::IO] {
        assert_eq!(of(errno), AcceptFailure::Other, "{errno}");
    }
    assert_eq!(AcceptFailure::of(&io::Error::other("no errno")), AcceptFailure::Other);
}
