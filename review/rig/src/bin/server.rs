//! A server as a process of its own, so that it can be killed: `server ADDRESS ID EVENTS GAP_MS`.
//!
//! Its answers are streams of events. One in three has neither a length nor chunks and ends with its
//! connection, the others come in chunks.

use std::env;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

use review_rig::http::Connection;

fn serve(stream: TcpStream, id: &str, events: u64, gap: Duration) -> std::io::Result<()> {
    let mut connection = Connection::new(stream);
    let Some(head) = connection.head()? else { return Ok(()) };
    connection.request_body(&head)?;
    let request = head.get("request-id").unwrap_or("-");
    if head.get("target-instance").is_some_and(|target| target != id) {
        let answer = format!(
            "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: {request}\r\nNot-Executed: 1\r\n\
             Content-Length: 0\r\nConnection: close\r\n\r\n"
        );
        return connection.write(answer.as_bytes());
    }
    let is_chunked = !u32::from_str_radix(request, 16).is_ok_and(|number| number.is_multiple_of(3));
    let framing = if is_chunked { "Transfer-Encoding: chunked\r\n" } else { "" };
    let answer = format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {request}\r\nEngine-Signature: {id}.{request}\r\n\
         Content-Type: text/event-stream\r\nConnection: close\r\n{framing}\r\n"
    );
    connection.write(answer.as_bytes())?;
    let seen: u64 = head.get("last-event-id").and_then(|text| text.parse().ok()).unwrap_or(0);
    for event in seen + 1..=events {
        thread::sleep(gap);
        let event = format!("id: {event}\ndata: {request}\n\n");
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        connection.write(if is_chunked { chunk.as_bytes() } else { event.as_bytes() })?;
    }
    if is_chunked { connection.write(b"0\r\n\r\n") } else { Ok(()) }
}

fn main() {
    let arguments: Vec<String> = env::args().skip(1).collect();
    let [address, id, events, gap] = arguments.as_slice() else {
        eprintln!("server ADDRESS ID EVENTS GAP_MS");
        return;
    };
    let (Ok(address), Ok(events), Ok(gap)) =
        (address.parse::<SocketAddr>(), events.parse::<u64>(), gap.parse::<u64>())
    else {
        eprintln!("an argument cannot be read");
        return;
    };
    // After a kill the address may still be held by the last process's connections.
    let listener = (0..100).find_map(|_| {
        let bound = TcpListener::bind(address).ok();
        if bound.is_none() {
            thread::sleep(Duration::from_millis(10));
        }
        bound
    });
    let Some(listener) = listener else { return };
    for stream in listener.incoming().flatten() {
        let id = id.clone();
        thread::spawn(move || serve(stream, &id, events, Duration::from_millis(gap)));
    }
}
