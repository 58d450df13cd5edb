//! Tests of connection setup over links that lose packets, and of the connection
//! pool.

use moleroad_gateway::front::connect::first_connected;
use moleroad_gateway::front::pool::Pool;
use std::io;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

/// Time limit for connecting; a lost first packet is retransmitted after 1 s only.
const LIMIT: Duration = Duration::from_millis(400);

#[tokio::test]
async fn a_second_connection_attempt_compensates_for_a_lost_first_packet() {
    let tried = AtomicU32::new(0);
    let connect = || async {
        match tried.fetch_add(1, Ordering::Relaxed) {
            0 => std::future::pending().await,
            number => io::Result::Ok(number),
        }
    };
    let connected = tokio::time::timeout(LIMIT, first_connected(connect)).await;
    assert_eq!(connected.expect("in time").unwrap(), 1);
}

#[tokio::test]
async fn a_single_connection_is_opened_without_packet_loss() {
    let tried = AtomicU32::new(0);
    let connect = || async {
        tokio::time::sleep(Duration::from_millis(20)).await;
        io::Result::Ok(tried.fetch_add(1, Ordering::Relaxed))
    };
    assert_eq!(first_connected(connect).await.unwrap(), 0);
    assert_eq!(tried.load(Ordering::Relaxed), 1);
}

#[tokio::test]
async fn a_refused_connection_is_not_retried() {
    let tried = AtomicU32::new(0);
    let connect = || async {
        tried.fetch_add(1, Ordering::Relaxed);
        io::Result::<()>::Err(io::ErrorKind::ConnectionRefused.into())
    };
    let began = Instant::now();
    assert!(first_connected(connect).await.is_err());
    assert!(began.elapsed() < LIMIT);
    assert_eq!(tried.load(Ordering::Relaxed), 1);
}

#[tokio::test]
async fn returning_an_unused_connection_does_not_extend_its_idle_time() {
    let listener = tokio::net::TcpListener::bind(("127.0.0.1", 0))
        .await
        .unwrap();
    let address = listener.local_addr().unwrap();
    let pool = Pool::default();
    let mut connection = pool.connect(address).await.unwrap();
    let _accepted = listener.accept().await.unwrap();
    connection.sender.ready().await.unwrap();
    // The pool subtracts a margin of 1500 ms and keeps it idle for 300 ms.
    pool.give_back(connection, Some(Duration::from_millis(1_800)));
    let taken = pool.take(address).expect("the connection is in the pool");
    pool.give_back_unused(taken);
    let taken = pool
        .take(address)
        .expect("the connection is in the pool again");
    pool.give_back_unused(taken);
    tokio::time::sleep(Duration::from_millis(350)).await;
    assert!(pool.take(address).is_none());
}

/// Returns the result of two connection attempts with the given delays (in
/// milliseconds) and results.
async fn connect_two(ends: [(u64, Result<u32, io::ErrorKind>); 2]) -> Result<u32, io::ErrorKind> {
    let tried = AtomicU32::new(0);
    let connect = || async {
        let number = tried.fetch_add(1, Ordering::Relaxed);
        let (after_ms, end) = ends[number as usize];
        tokio::time::sleep(Duration::from_millis(after_ms)).await;
        end.map_err(io::Error::from)
    };
    first_connected(connect).await.map_err(|error| error.kind())
}

#[tokio::test]
async fn an_error_of_one_connection_does_not_end_the_other() {
    use io::ErrorKind::*;
    let (up, local) = (Ok(1), Err(AddrNotAvailable));
    assert_eq!(connect_two([(150, up), (1, local)]).await, up);
    assert_eq!(connect_two([(150, local), (100, up)]).await, up);
    assert_eq!(
        connect_two([(150, Err(Other)), (1, local)]).await,
        Err(Other)
    );
    // A target that refuses one attempt also refuses the other.
    let refused = Err(ConnectionRefused);
    assert_eq!(connect_two([(60_000, up), (1, refused)]).await, refused);
    assert_eq!(connect_two([(150, refused), (60_000, up)]).await, refused);
}
