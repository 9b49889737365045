//! A reserved port is not reserved again, neither by this process nor by another
//! one that uses the same reservation scheme.

use std::collections::HashSet;
use std::net;

use figscale_standin::ports;

#[test]
fn an_address_is_never_returned_twice() {
    let addresses: HashSet<_> = (0..200).map(|_| ports::free_address().unwrap()).collect();
    assert_eq!(addresses.len(), 200);
    assert!(
        addresses
            .iter()
            .all(|a| (10_000..32_000).contains(&a.port()))
    );
}

/// The bound UDP port shows other processes that the port is reserved although
/// nothing listens on it yet.
#[test]
fn an_address_stays_reserved() {
    let address = ports::free_address().unwrap();
    let error = net::UdpSocket::bind(address).unwrap_err();
    assert_eq!(error.kind(), std::io::ErrorKind::AddrInUse);
    net::TcpListener::bind(address).unwrap();
}

/// Two processes whose ids lead to the same offset of the range do this.
#[test]
fn two_searches_from_one_offset_get_different_addresses() {
    let mut one = ports::Ports::starting_at(7);
    let mut other = ports::Ports::starting_at(7);
    for _ in 0..50 {
        let addresses = [one.free_address().unwrap(), other.free_address().unwrap()];
        assert_ne!(addresses[0], addresses[1]);
    }
}
