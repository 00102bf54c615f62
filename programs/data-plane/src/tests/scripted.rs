use postbarrow_constants::traffic::PROOF_PATH;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;

#[derive(Clone, Default)]
pub struct Seen {
    pub heads: Vec<String>,
    pub bodies: Vec<Vec<u8>>,
    pub connections: usize,
}

/// What a target does with the next ask it gets.
#[derive(Clone)]
pub enum Script {
    Whole(&'static str),
    /// These bytes, then the connection ends.
    Raw(Vec<u8>),
    /// These bytes, and the connection goes on.
    Reply(Vec<u8>),
    /// A whole response, then the connection ends without a word of it.
    WholeThenClose(&'static str),
}

/// A target on a real socket that proves itself and then plays its script.
pub struct ScriptedTarget {
    pub address: SocketAddr,
    pub seen: Arc<Mutex<Seen>>,
}

pub fn read_request(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<(String, Vec<u8>)> {
    loop {
        if let Some(end) = buffer.windows(4).position(|four| four == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buffer[..end + 4]).into_owned();
            let length = head
                .lines()
                .find_map(|line| {
                    line.to_ascii_lowercase().strip_prefix("content-length: ")?.parse().ok()
                })
                .unwrap_or(0);
            if buffer.len() >= end + 4 + length {
                let body = buffer[end + 4..end + 4 + length].to_vec();
                buffer.drain(..end + 4 + length);
                return Some((head, body));
            }
        }
        let mut part = [0; 4096];
        match stream.read(&mut part) {
            Ok(0) | Err(_) => return None,
            Ok(length) => buffer.extend_from_slice(&part[..length]),
        }
    }
}

fn whole(body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nX-T: 1\r\nX-T: 2\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

impl ScriptedTarget {
    pub fn start(instance: &'static str, service: &'static str, script: Vec<Script>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let seen = Arc::new(Mutex::new(Seen::default()));
        let script = Arc::new(Mutex::new(script));
        let told = seen.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (script, told) = (script.clone(), told.clone());
                told.lock().unwrap().connections += 1;
                thread::spawn(move || play(stream, instance, service, &script, &told));
            }
        });
        ScriptedTarget { address, seen }
    }

    pub fn runs(&self) -> usize {
        self.seen.lock().unwrap().heads.len()
    }
}

fn play(
    mut stream: TcpStream,
    instance: &str,
    service: &str,
    script: &Mutex<Vec<Script>>,
    told: &Mutex<Seen>,
) {
    let mut buffer = Vec::new();
    while let Some((head, body)) = read_request(&mut stream, &mut buffer) {
        if head.contains(PROOF_PATH) {
            let proof = format!(
                "{{\"instance\":\"{instance}\",\"service\":\"{service}\",\"labels\":{{}},\"occupancy\":0}}"
            );
            stream.write_all(whole(&proof).as_bytes()).unwrap();
            continue;
        }
        let next = {
            let mut seen = told.lock().unwrap();
            seen.heads.push(head);
            seen.bodies.push(body);
            let mut script = script.lock().unwrap();
            if script.len() > 1 { script.remove(0) } else { script[0].clone() }
        };
        match next {
            Script::Whole(body) => stream.write_all(whole(body).as_bytes()).unwrap(),
            Script::Reply(bytes) => stream.write_all(&bytes).unwrap(),
            Script::Raw(bytes) => {
                let _ = stream.write_all(&bytes);
                return;
            }
            Script::WholeThenClose(body) => {
                let _ = stream.write_all(whole(body).as_bytes());
                return;
            }
        }
    }
}
