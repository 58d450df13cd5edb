//! Connecting to targets over links that lose packets.

use moleroad_gateway::front::connect::first_up;
use moleroad_gateway::front::pool::Pool;
use std::io;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

/// Time for a connection to come up; one whose first packet was lost takes a
/// second.
const LIMIT: Duration = Duration::from_millis(400);

#[tokio::test]
async fn a_lost_first_packet_is_made_up_for_by_a_second_connection() {
    let tried = AtomicU32::new(0);
    let connect = || async {
        match tried.fetch_add(1, Ordering::Relaxed) {
            0 => std::future::pending().await,
            number => io::Result::Ok(number),
        }
    };
    let connected = tokio::time::timeout(LIMIT, first_up(connect)).await;
    assert_eq!(connected.expect("in time").unwrap(), 1);
}

#[tokio::test]
async fn one_connection_is_made_where_none_is_lost() {
    let tried = AtomicU32::new(0);
    let connect = || async {
        tokio::time::sleep(Duration::from_millis(20)).await;
        io::Result::Ok(tried.fetch_add(1, Ordering::Relaxed))
    };
    assert_eq!(first_up(connect).await.unwrap(), 0);
    assert_eq!(tried.load(Ordering::Relaxed), 1);
}

#[tokio::test]
async fn a_refusal_is_not_tried_again() {
    let tried = AtomicU32::new(0);
    let connect = || async {
        tried.fetch_add(1, Ordering::Relaxed);
        io::Result::<()>::Err(io::ErrorKind::ConnectionRefused.into())
    };
    let began = Instant::now();
    assert!(first_up(connect).await.is_err());
    assert!(began.elapsed() < LIMIT);
    assert_eq!(tried.load(Ordering::Relaxed), 1);
}

#[tokio::test]
async fn a_connection_that_was_not_used_is_kept_no_longer_for_it() {
    let listener = tokio::net::TcpListener::bind(("127.0.0.1", 0))
        .await
        .unwrap();
    let address = listener.local_addr().unwrap();
    let pool = Pool::default();
    let mut connection = pool.connect(address).await.unwrap();
    let _accepted = listener.accept().await.unwrap();
    connection.sender.ready().await.unwrap();
    // Its margin taken off, it is kept for 300 ms.
    pool.give_back(connection, Some(Duration::from_millis(1_800)));
    let taken = pool.take(address).expect("it is kept");
    pool.give_back_unused(taken);
    let taken = pool.take(address).expect("it is kept still");
    pool.give_back_unused(taken);
    tokio::time::sleep(Duration::from_millis(350)).await;
    assert!(pool.take(address).is_none());
}
