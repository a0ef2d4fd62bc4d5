//! Runs commands in process and serves their requests from a scripted entry.

// Each test file uses only part of this module.
#![allow(dead_code, clippy::unwrap_used)]

use std::ffi::OsString;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, channel};
use std::thread;

use serde_json::Value;
use yuccatack_cli::{Context, ExitStatus, execute};

/// Output and exit status of a command.
pub struct Outcome {
    pub status: ExitStatus,
    pub results: String,
    pub messages: String,
}

impl Outcome {
    /// Returns the exit code, results and messages as one text for a snapshot.
    pub fn text(&self) -> String {
        let code = self.status.code();
        let (results, messages) = (&self.results, &self.messages);
        format!("exit code {code}\n--- results\n{results}--- messages\n{messages}")
    }
}

/// Runs a command without an address in the environment.
pub fn run(arguments: &[&str]) -> Outcome {
    run_with_address(arguments, None)
}

/// Runs a command with the address that the environment variable contains, if any.
pub fn run_with_address(arguments: &[&str], default_address: Option<String>) -> Outcome {
    let arguments = std::iter::once("yuccatack").chain(arguments.iter().copied());
    let (mut results, mut messages) = (Vec::new(), Vec::new());
    let context = Context {
        default_address,
        results: Box::new(&mut results),
        messages: Box::new(&mut messages),
    };
    let status = execute(arguments.map(OsString::from), context);
    let (results, messages) = (String::from_utf8(results), String::from_utf8(messages));
    Outcome { status, results: results.unwrap(), messages: messages.unwrap() }
}

/// Request that the entry received; the body is null if it is not JSON.
#[derive(Clone, Debug)]
pub struct Received {
    pub method: String,
    pub path: String,
    pub body: Value,
}

/// Reaction of the entry to a request.
pub enum Reply {
    /// Responds with this status and JSON body.
    Json(u16, Value),
    /// Responds with this status and text body.
    Text(u16, &'static str),
    /// Closes the connection without a response.
    Close,
}

/// Scripted entry on a free port.
pub struct Entry {
    pub address: SocketAddr,
    received: Receiver<Received>,
}

impl Entry {
    /// Starts an entry that replies to each request as `script` returns. It runs until the test
    /// process ends.
    pub fn start<Script>(mut script: Script) -> Self
    where
        Script: FnMut(&Received) -> Reply + Send + 'static,
    {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (sender, received) = channel();
        thread::spawn(move || {
            for stream in listener.incoming() {
                let Ok(mut stream) = stream else { break };
                let Some(request) = read_request(&stream) else { continue };
                let reply = script(&request);
                // Sending fails only if the test has already dropped the entry.
                let _ = sender.send(request);
                write_reply(&mut stream, reply);
            }
        });
        Self { address, received }
    }

    /// Runs a command against this entry.
    pub fn run(&self, arguments: &[&str]) -> Outcome {
        run_with_address(arguments, Some(self.address.to_string()))
    }

    /// Returns the requests since the last call.
    pub fn received(&self) -> Vec<Received> {
        self.received.try_iter().collect()
    }

    /// Returns the bodies of the changes since the last call. It also discards other requests.
    pub fn changes(&self) -> Vec<Value> {
        let received = self.received().into_iter();
        received.filter(|request| request.method == "POST").map(|request| request.body).collect()
    }
}

fn read_request(stream: &TcpStream) -> Option<Received> {
    let mut reader = BufReader::new(stream);
    let mut head = String::new();
    reader.read_line(&mut head).ok()?;
    let mut length = 0;
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok()?;
        if line.trim().is_empty() {
            break;
        }
        if let Some(value) = line.to_lowercase().strip_prefix("content-length:") {
            length = value.trim().parse().ok()?;
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    let mut words = head.split(' ');
    let (method, path) = (words.next()?.to_owned(), words.next()?.to_owned());
    Some(Received { method, path, body: serde_json::from_slice(&body).unwrap_or_default() })
}

fn write_reply(stream: &mut TcpStream, reply: Reply) {
    let (status, body) = match reply {
        Reply::Json(status, body) => (status, body.to_string()),
        Reply::Text(status, text) => (status, text.to_owned()),
        Reply::Close => return,
    };
    let length = body.len();
    let text = format!("HTTP/1.1 {status} x\r\ncontent-length: {length}\r\n\r\n{body}");
    // Writing fails only if the command no longer waits for the response.
    let _ = stream.write_all(text.as_bytes());
}
