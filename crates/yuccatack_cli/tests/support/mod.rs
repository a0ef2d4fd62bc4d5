//! Runs commands and answers them with a scripted entry.

// Each test file uses a part of this module.
#![allow(dead_code, clippy::unwrap_used)]

use std::ffi::OsString;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, channel};
use std::thread;

use serde_json::Value;
use yuccatack_cli::{Context, ExitStatus, execute};

/// What a command wrote and how it ended.
pub struct Outcome {
    pub status: ExitStatus,
    pub results: String,
    pub messages: String,
}

impl Outcome {
    /// Everything in one text for a snapshot.
    pub fn text(&self) -> String {
        let code = self.status.code();
        let (results, messages) = (&self.results, &self.messages);
        format!("exit code {code}\n--- results\n{results}--- messages\n{messages}")
    }
}

/// Runs one command.
pub fn run(arguments: &[&str]) -> Outcome {
    run_with_address(arguments, None)
}

/// Runs one command with the environment variable set.
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

/// One request that the entry received.
#[derive(Clone, Debug)]
pub struct Received {
    pub method: String,
    pub path: String,
    pub body: Value,
}

/// What the entry does with a request.
pub enum Reply {
    /// Answers with this status and body.
    Json(u16, Value),
    /// Answers with this status and text.
    Text(u16, &'static str),
    /// Closes the connection without an answer.
    Close,
}

/// An entry that answers from a script.
pub struct Entry {
    pub address: SocketAddr,
    received: Receiver<Received>,
}

impl Entry {
    /// Starts an entry that answers each request with `answer`; it ends with the test process.
    pub fn start<Answer>(mut answer: Answer) -> Self
    where
        Answer: FnMut(&Received) -> Reply + Send + 'static,
    {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (sender, received) = channel();
        thread::spawn(move || {
            for stream in listener.incoming() {
                let Ok(mut stream) = stream else { break };
                let Some(request) = read_request(&stream) else { continue };
                let reply = answer(&request);
                // The test may have ended.
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

    /// The requests since the last call.
    pub fn received(&self) -> Vec<Received> {
        self.received.try_iter().collect()
    }

    /// The changes since the last call.
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
    // The command may have stopped waiting.
    let _ = stream.write_all(text.as_bytes());
}
