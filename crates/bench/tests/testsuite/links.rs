//! Links that are harmed as the soak harms them.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use cinderspoke_test_support::address;
use cinderspoke_test_support::proxy::{Proxy, Way};
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

/// How long anything may take before a test fails: long, since machines are busy.
const LONG: Duration = Duration::from_secs(20);

/// How long a sender waits for an acknowledgement.
const UNACKNOWLEDGED: Duration = Duration::from_millis(300);

/// A server that sends back whatever comes.
async fn echo() -> SocketAddr {
    let listener = TcpListener::bind(address::free().unwrap()).await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let (mut from, mut to) = stream.split();
                _ = tokio::io::copy(&mut from, &mut to).await;
            });
        }
    });
    address
}

async fn link() -> Proxy {
    Proxy::spawn(address::free().unwrap(), echo().await).await.unwrap()
}

async fn connect(link: &Proxy) -> TcpStream {
    let stream = TcpStream::connect(link.address).await.unwrap();
    SockRef::from(&stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED)).unwrap();
    stream
}

/// Sends a byte and waits for it to come back.
async fn exchange(stream: &mut TcpStream) -> std::io::Result<()> {
    stream.write_all(b"x").await?;
    let mut byte = [0];
    timeout(LONG, stream.read_exact(&mut byte)).await.expect("an answer or an end")?;
    Ok(())
}

#[tokio::test]
async fn a_silent_connection_acknowledges_nothing_and_new_ones_work() {
    let link = link().await;
    let mut old = connect(&link).await;
    exchange(&mut old).await.unwrap();
    link.silence();
    let mut new = connect(&link).await;
    exchange(&mut new).await.unwrap();
    // The system ends it for want of an acknowledgement, and no reset came.
    let error = exchange(&mut old).await.unwrap_err();
    assert_eq!(error.kind(), ErrorKind::TimedOut);
}

#[tokio::test]
async fn a_reset_connection_says_so_and_new_ones_work() {
    let link = link().await;
    let mut old = connect(&link).await;
    exchange(&mut old).await.unwrap();
    link.reset();
    let error = timeout(LONG, old.read_u8()).await.unwrap().unwrap_err();
    assert_eq!(error.kind(), ErrorKind::ConnectionReset);
    exchange(&mut connect(&link).await).await.unwrap();
}

#[tokio::test]
async fn a_cut_link_loses_one_way_until_it_is_mended() {
    for way in [Way::Out, Way::Back] {
        let link = link().await;
        let mut stream = TcpStream::connect(link.address).await.unwrap();
        exchange(&mut stream).await.unwrap();
        link.cut(Some(way));
        stream.write_all(b"x").await.unwrap();
        let mut byte = [0];
        let lost = timeout(Duration::from_millis(500), stream.read(&mut byte)).await;
        assert!(lost.is_err(), "{way:?}: {lost:?}");
        link.cut(None);
        timeout(LONG, stream.read_exact(&mut byte)).await.unwrap().unwrap();
    }
}

#[tokio::test]
async fn a_closed_link_takes_no_new_connections() {
    let link = link().await;
    let mut old = connect(&link).await;
    exchange(&mut old).await.unwrap();
    link.close();
    assert!(timeout(LONG, old.read_u8()).await.unwrap().is_err());
    while TcpStream::connect(link.address).await.is_ok() {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

// The link of an endpoint that ended stayed closed for good once one of its connections had been
// silent, since it waited for the end of that connection.
#[tokio::test]
async fn a_closed_link_opens_again_beside_a_silent_connection() {
    let link = link().await;
    let mut old = connect(&link).await;
    exchange(&mut old).await.unwrap();
    link.silence();
    link.close();
    while TcpStream::connect(link.address).await.is_ok() {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    link.open();
    let opens = async {
        while TcpStream::connect(link.address).await.is_err() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    timeout(LONG, opens).await.expect("the link takes connections again");
}

// What ends with its process is told from what is reset: an answer that ends with its connection
// seems complete.
#[tokio::test]
async fn a_link_that_ends_closes_its_connections_and_takes_no_new_ones() {
    let link = link().await;
    let mut old = connect(&link).await;
    exchange(&mut old).await.unwrap();
    link.end();
    let mut byte = [0];
    assert_eq!(timeout(LONG, old.read(&mut byte)).await.unwrap().unwrap(), 0);
    while TcpStream::connect(link.address).await.is_ok() {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    link.open();
    while TcpStream::connect(link.address).await.is_err() {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}
