//! Clients that send random bytes beside instances that fail.
//!
//! Each client opens connections, sends heads, bodies and chunks of random lengths, some
//! broken off or mutated, and goes on using its connections, while instances are stopped,
//! killed and paused in series. Meanwhile an ordinary caller submits jobs. In the end all
//! accepted jobs are done, and no instance has exceeded its memory or its descriptors.
//!
//! `FIGSCALE_SEEDS=N` runs N seeds, from `FIGSCALE_FIRST_SEED` on.

#![expect(clippy::unwrap_used, reason = "a test may panic")]

mod fleet_support;

use std::net;
use std::time;

use fleet_support::Fleet;
use rand::RngExt as _;
use rand::SeedableRng as _;
use rand::rngs;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpStream;

/// Seeds in CI.
const SEEDS: u64 = 2;
const INSTANCES: usize = 3;
const WORKERS: usize = 3;
/// Clients that send random bytes.
const CLIENTS: usize = 200;
/// Machine of an instance: fewer descriptors than clients would use.
const MEMORY_MB: u64 = 120;
const DESCRIPTORS: usize = 400;
/// Time during which instances fail.
const DISTURBED: time::Duration = time::Duration::from_secs(8);
/// Requests that a client sends on one connection at most.
const MAX_REQUESTS: usize = 5;
/// Longest body, above the limit.
const MAX_BODY_BYTES: usize = 400_000;

fn setting(name: &str) -> Option<u64> {
    let value = std::env::var(name).ok()?;
    Some(value.parse().unwrap())
}

/// A random length, mostly short.
fn random_len(random: &mut rngs::StdRng, max: usize) -> usize {
    let magnitude = random.random_range(0.0..(max as f64).ln());
    magnitude.exp() as usize
}

/// Bytes of one request, mostly well formed.
fn random_request(random: &mut rngs::StdRng) -> Vec<u8> {
    let job: u64 = random.random_range(1 << 32..1 << 33);
    let method = ["POST", "POST", "POST", "GET", "DELETE", "BREW"][random.random_range(0..6)];
    let mut head = format!("{method} /jobs/{job:016x} HTTP/1.1\r\nhost: jobs.example\r\n");
    for _ in 0..random_len(random, 200) {
        let value = "v".repeat(random_len(random, 500));
        head.push_str(&format!("x-{}: {value}\r\n", random.random_range(0..1_000)));
    }
    let body = random_body(random);
    let mut bytes = match random.random_range(0..3) {
        0 => [format!("{head}\r\n").into_bytes(), body].concat(),
        1 => {
            let length = match random.random_bool(0.8) {
                true => body.len(),
                false => random_len(random, MAX_BODY_BYTES),
            };
            let head = format!("{head}content-length: {length}\r\n\r\n");
            [head.into_bytes(), body].concat()
        }
        _ => {
            let mut bytes = format!("{head}transfer-encoding: chunked\r\n\r\n").into_bytes();
            let mut rest = body.as_slice();
            let max_chunk = 1 + random_len(random, MAX_BODY_BYTES);
            while !rest.is_empty() {
                let (chunk, after) = rest.split_at(rest.len().min(max_chunk));
                bytes.extend(format!("{:x}\r\n", chunk.len()).into_bytes());
                bytes.extend([chunk, b"\r\n"].concat());
                rest = after;
            }
            bytes.extend(b"0\r\n\r\n");
            bytes
        }
    };
    if random.random_bool(0.3) {
        let at = random.random_range(0..bytes.len());
        bytes[at] = random.random();
    }
    if random.random_bool(0.3) {
        bytes.truncate(random.random_range(0..bytes.len()));
    }
    bytes
}

/// A job, or bytes that are none. The jobs are short, so that they leave room for those of
/// the ordinary caller.
fn random_body(random: &mut rngs::StdRng) -> Vec<u8> {
    match random.random_range(0..4) {
        0 => vec![b' '; random_len(random, MAX_BODY_BYTES)],
        1 => {
            let steps = vec!["{}"; random_len(random, 5_000)].join(",");
            format!(r#"{{"phases":[{steps}]}}"#).into_bytes()
        }
        2 => {
            let spec = "x".repeat(random_len(random, 20_000));
            format!(r#"{{"spec":"{spec}","phases":[{{"count":1,"cpu":1000}}]}}"#).into_bytes()
        }
        _ => {
            let times = random.random_range(0..3_000);
            let step = r#"{"count":1,"cpu":1000}"#;
            let due = r#""start_at_ms":4102444800000,"interval_ms":60000"#;
            format!(r#"{{"spec":"fail","phases":[{step}],"repeats":{times},{due}}}"#).into_bytes()
        }
    }
}

/// Sends requests on one connection, and leaves it open for a while.
async fn visit(address: net::SocketAddr, random: &mut rngs::StdRng) {
    let Ok(socket) = TcpStream::connect(address).await else {
        return;
    };
    let (mut reader, mut writer) = socket.into_split();
    let reads = random.random_bool(0.8);
    let requests: Vec<Vec<u8>> = (0..random.random_range(0..=MAX_REQUESTS))
        .map(|_| random_request(random))
        .collect();
    let linger = time::Duration::from_millis(random.random_range(0..3_000));
    let write = async {
        for request in &requests {
            if writer.write_all(request).await.is_err() {
                return;
            }
        }
        tokio::time::sleep(linger).await;
    };
    let read = async {
        let mut buffer = [0; 4_096];
        while reads && matches!(reader.read(&mut buffer).await, Ok(1..)) {}
        if !reads {
            std::future::pending::<()>().await;
        }
    };
    let both = async {
        tokio::select! {
            () = write => (),
            () = read => (),
        }
    };
    let _ = tokio::time::timeout(time::Duration::from_secs(5), both).await;
}

async fn send_random_requests(addresses: Vec<net::SocketAddr>, mut random: rngs::StdRng) {
    loop {
        let address = addresses[random.random_range(0..addresses.len())];
        visit(address, &mut random).await;
        let pause = random.random_range(0..200);
        tokio::time::sleep(time::Duration::from_millis(pause)).await;
    }
}

/// Stops, kills or pauses one instance, then lets it run again.
async fn disturb(fleet: &mut Fleet, random: &mut rngs::StdRng) {
    let number = random.random_range(0..INSTANCES);
    let pause = time::Duration::from_millis(random.random_range(100..2_500));
    match random.random_range(0..3) {
        0 => {
            fleet.signal(number, "STOP");
            tokio::time::sleep(pause).await;
            fleet.signal(number, "CONT");
        }
        1 => {
            fleet.kill(number);
            tokio::time::sleep(pause).await;
            fleet.launch(number);
        }
        _ => {
            fleet.signal(number, "TERM");
            tokio::time::sleep(pause).await;
            assert_eq!(fleet.exit_code(number), Some(0), "a planned stop failed");
            fleet.launch(number);
        }
    }
}

/// Submits small jobs through all instances; returns those that were accepted.
async fn submit_jobs(caller: fleet_support::caller::Caller, first: u64) -> Vec<u64> {
    let begun = time::Instant::now();
    let mut accepted = Vec::new();
    let mut job = first;
    while begun.elapsed() < DISTURBED {
        let instance = job as usize % INSTANCES;
        if caller.submit(instance, job, 1, "20").await == Some(200) {
            accepted.push(job);
        }
        job += 1;
        tokio::time::sleep(time::Duration::from_millis(100)).await;
    }
    accepted
}

async fn run(seed: u64) {
    let mut random = rngs::StdRng::seed_from_u64(seed);
    let mut fleet = Fleet::start_on_machines(INSTANCES, WORKERS, MEMORY_MB, DESCRIPTORS).await;
    let addresses: Vec<_> = (0..INSTANCES)
        .map(|number| fleet.caller_address(number))
        .collect();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|_| {
            let random = rngs::StdRng::seed_from_u64(random.random());
            tokio::spawn(send_random_requests(addresses.clone(), random))
        })
        .collect();
    let submitted = tokio::spawn(submit_jobs(fleet.caller(), 0x1_0000));
    let begun = time::Instant::now();
    let mut descriptors = 0;
    while begun.elapsed() < DISTURBED {
        disturb(&mut fleet, &mut random).await;
        descriptors = descriptors.max(fleet.most_descriptors());
        let pause = random.random_range(100..1_500);
        tokio::time::sleep(time::Duration::from_millis(pause)).await;
    }
    let accepted = submitted.await.unwrap();
    let peaks = [0, 1, 2].map(|number| fleet.peak_memory_kib(number));
    println!(
        "seed {seed}: {} accepted, {descriptors} descriptors, {peaks:?} KiB",
        accepted.len()
    );
    for client in clients {
        client.abort();
    }
    for number in 0..INSTANCES {
        assert!(
            !fleet.has_ended(number),
            "seed {seed}: entry-{number} ended"
        );
        fleet.wait_until_ready(number).await;
        fleet
            .submit_until_taken(number, 0xf000 + number as u64, 1, "20")
            .await;
    }
    for job in accepted
        .into_iter()
        .chain(0xf000..0xf000 + INSTANCES as u64)
    {
        fleet.wait_for_state(0, job, "completed").await;
    }
    assert!(
        descriptors < DESCRIPTORS,
        "seed {seed}: no descriptor is left"
    );
    for peak_kib in peaks {
        assert!(peak_kib <= MEMORY_MB * 1_024, "seed {seed}: {peak_kib} KiB");
    }
    fleet.assert_no_violations();
}

#[tokio::test(flavor = "multi_thread")]
async fn random_clients_beside_failing_instances() {
    let first = setting("FIGSCALE_FIRST_SEED").unwrap_or(1);
    for seed in first..first + setting("FIGSCALE_SEEDS").unwrap_or(SEEDS) {
        run(seed).await;
    }
}
