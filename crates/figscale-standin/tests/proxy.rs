//! The proxy breaks what it is told to, in the direction it is told to.

use std::io;
use std::time;

use figscale_standin::proxy;
use rstest::rstest;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

const LONG: time::Duration = time::Duration::from_secs(30);
const SHORT: time::Duration = time::Duration::from_millis(100);

struct Bench {
    proxy: proxy::Handle,
    listener: TcpListener,
}

async fn bench() -> Bench {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("it listens");
    let target = listener.local_addr().expect("an address");
    let proxy = proxy::start(proxy::Config::to(target)).await;
    Bench {
        proxy: proxy.expect("it listens"),
        listener,
    }
}

impl Bench {
    /// The two ends of a new connection.
    async fn connect(&self) -> (TcpStream, TcpStream) {
        let client = TcpStream::connect(self.proxy.address()).await;
        let (target, _) = within(self.listener.accept()).await.expect("a connection");
        (client.expect("it connects"), target)
    }
}

async fn within<T>(work: impl Future<Output = T>) -> T {
    tokio::time::timeout(LONG, work).await.expect("in time")
}

async fn read(stream: &mut TcpStream, len: usize) -> io::Result<Vec<u8>> {
    let mut bytes = vec![0; len];
    within(stream.read_exact(&mut bytes)).await?;
    Ok(bytes)
}

async fn is_silent(stream: &mut TcpStream) -> bool {
    let mut byte = [0];
    tokio::time::timeout(SHORT, stream.read(&mut byte))
        .await
        .is_err()
}

#[tokio::test]
async fn bytes_and_ends_pass_both_ways() {
    let bench = bench().await;
    let (mut client, mut target) = bench.connect().await;
    client.write_all(b"question").await.unwrap();
    assert_eq!(read(&mut target, 8).await.unwrap(), b"question");
    client.shutdown().await.unwrap();
    assert_eq!(within(target.read(&mut [0])).await.unwrap(), 0);
    target.write_all(b"answer").await.unwrap();
    assert_eq!(read(&mut client, 6).await.unwrap(), b"answer");
    drop(target);
    assert_eq!(within(client.read(&mut [0])).await.unwrap(), 0);
    assert_eq!(bench.proxy.traffic().to_target_bytes, 8);
    assert_eq!(bench.proxy.traffic().to_client_bytes, 6);
}

#[tokio::test]
async fn a_frozen_way_delivers_later_and_the_other_goes_on() {
    let bench = bench().await;
    let (mut client, mut target) = bench.connect().await;
    bench
        .proxy
        .change_faults(|faults| faults.to_target.freeze = true);
    client.write_all(b"question").await.unwrap();
    assert!(is_silent(&mut target).await);
    target.write_all(b"answer").await.unwrap();
    assert_eq!(read(&mut client, 6).await.unwrap(), b"answer");
    bench
        .proxy
        .change_faults(|faults| faults.to_target.freeze = false);
    assert_eq!(read(&mut target, 8).await.unwrap(), b"question");
}

#[tokio::test]
async fn a_one_way_cut_swallows_bytes_and_resets_when_it_ends() {
    let bench = bench().await;
    let (mut client, mut target) = bench.connect().await;
    bench
        .proxy
        .change_faults(|faults| faults.to_target.cut = true);
    client.write_all(b"question").await.unwrap();
    assert!(is_silent(&mut target).await);
    target.write_all(b"answer").await.unwrap();
    assert_eq!(read(&mut client, 6).await.unwrap(), b"answer");
    bench
        .proxy
        .change_faults(|faults| faults.to_target.cut = false);
    assert!(read(&mut target, 8).await.is_err());
    assert!(read(&mut client, 1).await.is_err());
}

#[tokio::test]
async fn a_connection_that_lost_nothing_survives_a_cut() {
    let bench = bench().await;
    let (mut client, mut target) = bench.connect().await;
    bench.proxy.change_faults(|faults| faults.cut_both(true));
    assert!(is_silent(&mut target).await);
    bench.proxy.change_faults(|faults| faults.cut_both(false));
    client.write_all(b"question").await.unwrap();
    assert_eq!(read(&mut target, 8).await.unwrap(), b"question");
}

#[tokio::test]
async fn a_new_connection_waits_for_the_end_of_a_cut() {
    let bench = bench().await;
    bench
        .proxy
        .change_faults(|faults| faults.to_client.cut = true);
    let _client = TcpStream::connect(bench.proxy.address()).await.unwrap();
    let early = tokio::time::timeout(SHORT, bench.listener.accept()).await;
    assert!(early.is_err());
    bench
        .proxy
        .change_faults(|faults| faults.to_client.cut = false);
    assert!(within(bench.listener.accept()).await.is_ok());
}

#[tokio::test]
async fn a_delay_costs_time_and_no_throughput() {
    let bench = bench().await;
    let (mut client, mut target) = bench.connect().await;
    let delay = time::Duration::from_secs(1);
    bench.proxy.change_faults(|faults| faults.delay_both(delay));
    let began = time::Instant::now();
    // A delay for each chunk would be 64 in a row, longer than a read may take.
    let sent = vec![7; 1 << 20];
    let (written, received) = tokio::join!(client.write_all(&sent), read(&mut target, 1 << 20));
    written.unwrap();
    assert_eq!(received.unwrap(), sent);
    assert!(began.elapsed() >= delay);
}

#[rstest]
#[case::to_target(true)]
#[case::to_client(false)]
#[tokio::test]
async fn a_connection_is_dropped_after_so_many_bytes(#[case] to_target: bool) {
    let bench = bench().await;
    let (mut client, mut target) = bench.connect().await;
    bench.proxy.change_faults(|faults| match to_target {
        true => faults.to_target.drop_after_bytes = Some(3),
        false => faults.to_client.drop_after_bytes = Some(3),
    });
    let (from, to) = match to_target {
        true => (&mut client, &mut target),
        false => (&mut target, &mut client),
    };
    from.write_all(b"question").await.unwrap();
    assert_ne!(read(to, 8).await.ok(), Some(b"question".to_vec()));
    assert!(read(from, 1).await.is_err());
    let traffic = bench.proxy.traffic();
    assert_eq!(traffic.to_target_bytes + traffic.to_client_bytes, 3);
}

#[tokio::test]
async fn a_half_closed_way_ends_in_order_and_the_other_goes_on() {
    let bench = bench().await;
    let (mut client, mut target) = bench.connect().await;
    bench
        .proxy
        .change_faults(|faults| faults.to_target.half_close = true);
    assert_eq!(within(target.read(&mut [0])).await.unwrap(), 0);
    target.write_all(b"answer").await.unwrap();
    assert_eq!(read(&mut client, 6).await.unwrap(), b"answer");
}

#[tokio::test]
async fn connections_are_refused_or_broken_by_order() {
    let bench = bench().await;
    let (mut client, mut target) = bench.connect().await;
    bench.proxy.change_faults(|faults| faults.refuse_new = true);
    let mut refused = TcpStream::connect(bench.proxy.address()).await.unwrap();
    assert!(read(&mut refused, 1).await.is_err());
    client.write_all(b"question").await.unwrap();
    assert_eq!(read(&mut target, 8).await.unwrap(), b"question");
    bench.proxy.break_connections();
    assert!(read(&mut client, 1).await.is_err());
    assert!(read(&mut target, 1).await.is_err());
}
