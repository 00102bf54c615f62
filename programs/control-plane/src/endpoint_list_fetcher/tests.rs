//! Guards against fetchers that a panic ends one by one while the process lives on: the endpoint list
//! was never read again.

use super::*;
use crate::operator_handler::OperatorHandler;
use crate::{ClientHandler, PageError};
use postbarrow_controller::ListPage;
use std::io::{Read, Write};
use std::net::TcpListener;
use std::sync::mpsc::channel;

/// Time limit of each wait, far longer than any event here takes.
const HANG_TIMEOUT: Duration = Duration::from_secs(4);
const EMPTY_PAGE: &str = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\n{}";

/// A dialect that panics at each page.
struct PanickingDialect;

impl Dialect for PanickingDialect {
    fn client_handler(&self) -> Arc<dyn ClientHandler> {
        Arc::new(OperatorHandler)
    }

    fn cursor_parameter(&self) -> &'static str {
        "cursor"
    }

    fn parse_page(&self, _: &[u8]) -> Result<ListPage, PageError> {
        panic!("the page can't be parsed")
    }
}

/// Starts a list whose every page is the same, and returns its URL.
fn start_list() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let url = format!("http://{}/targets", listener.local_addr().unwrap());
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let mut head = [0; 1024];
            let _ = stream.read(&mut head);
            let _ = stream.write_all(EMPTY_PAGE.as_bytes());
        }
    });
    url
}

#[test]
fn fetchers_continue_after_panics_and_report_each_as_a_failed_fetch() {
    let (commands, results) = channel();
    let queue = start(start_list(), Arc::new(PanickingDialect), commands).unwrap();
    for number in 0..3 * LIST_IN_FLIGHT as u64 {
        queue.send(PageRequest { number, cursor: None }).unwrap();
        match results.recv_timeout(HANG_TIMEOUT) {
            Ok(Command::Page(PageResult { number: answered, fetched: Fetched::Failed(_) })) => {
                assert_eq!(answered, number);
            }
            _ => panic!("request {number} is not reported as failed"),
        }
    }
}
