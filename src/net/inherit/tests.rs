use super::*;

#[test]
fn only_a_listening_tcp_socket_is_accepted() {
    let passed = TcpListener::bind("127.0.0.1:0").unwrap();
    let adopted = listener(passed.as_raw_fd()).unwrap();
    assert_eq!(adopted.local_addr().unwrap(), passed.local_addr().unwrap());
    let (pair, _other) = UnixStream::pair().unwrap();
    let file = std::fs::File::open("/dev/null").unwrap();
    let client = std::net::TcpStream::connect(passed.local_addr().unwrap()).unwrap();
    for number in [pair.as_raw_fd(), file.as_raw_fd(), client.as_raw_fd(), -1, 1 << 20] {
        assert!(listener(number).is_err(), "{number}");
    }
}
