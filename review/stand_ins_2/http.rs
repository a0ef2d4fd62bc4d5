//! HTTP/1.1 client and server of the stand-ins, with one thread for each connection.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

pub struct Request {
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        let is_named = |(key, _): &&(String, String)| key.eq_ignore_ascii_case(name);
        self.headers.iter().find(is_named).map(|(_, value)| value.as_str())
    }
}

pub struct Response {
    pub status: u16,
    pub body: Vec<u8>,
}

impl Response {
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Serves `listener` until the process ends. `accept` returns the handler of a new connection, which
/// stays open between requests until the peer closes it or the handler returns `None`.
pub fn serve<Accept, Handler>(listener: TcpListener, accept: Accept)
where
    Accept: Fn() -> Handler + Send + 'static,
    Handler: Fn(&Request) -> Option<Response> + Send + 'static,
{
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = accept();
            thread::spawn(move || {
                // An error shows that the peer has closed the connection.
                let _ = serve_connection(stream, handler);
            });
        }
    });
}

fn serve_connection<Handler>(stream: TcpStream, handler: Handler) -> io::Result<()>
where
    Handler: Fn(&Request) -> Option<Response>,
{
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut writer = stream;
    loop {
        let Some((first, headers)) = read_head(&mut reader)? else { return Ok(()) };
        let body = read_body(&mut reader, &headers)?;
        let mut words = first.split(' ');
        let path = words.nth(1).unwrap_or_default().to_owned();
        let Some(response) = handler(&Request { path, headers, body }) else { return Ok(()) };
        let head = format!(
            "HTTP/1.1 {} -\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            response.status,
            response.body.len()
        );
        let mut message = head.into_bytes();
        message.extend_from_slice(&response.body);
        writer.write_all(&message)?;
    }
}

/// Sends one request on a connection of its own.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    timeout: Duration,
) -> io::Result<Response> {
    let mut stream = TcpStream::connect_timeout(&address, timeout)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.write_all(&encode_request(method, path, headers, body))?;
    read_response(&mut BufReader::new(stream))
}

fn encode_request(method: &str, path: &str, headers: &[(&str, &str)], body: &str) -> Vec<u8> {
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    if !headers.iter().any(|(name, _)| *name == "Host") {
        text.push_str("Host: review.example\r\n");
    }
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    if !body.is_empty() {
        text.push_str(&format!(
            "Content-Type: application/json\r\nContent-Length: {}\r\n",
            body.len()
        ));
    }
    text.push_str("\r\n");
    text.push_str(body);
    text.into_bytes()
}

fn read_response<Source>(reader: &mut BufReader<Source>) -> io::Result<Response>
where
    Source: Read,
{
    let (first, headers) =
        read_head(reader)?.ok_or_else(|| io::Error::other("closed without a response"))?;
    let status = first.split(' ').nth(1).and_then(|code| code.parse().ok());
    let status = status.ok_or_else(|| io::Error::other("no status"))?;
    Ok(Response { status, body: read_body(reader, &headers)? })
}

type Head = (String, Vec<(String, String)>);

fn read_head<Source>(reader: &mut BufReader<Source>) -> io::Result<Option<Head>>
where
    Source: Read,
{
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::Error::other("closed within a header"));
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some((first.trim_end().to_owned(), headers)));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
}

fn read_body<Source>(
    reader: &mut BufReader<Source>,
    headers: &[(String, String)],
) -> io::Result<Vec<u8>>
where
    Source: Read,
{
    let length = headers
        .iter()
        .find(|(name, _)| name.eq_ignore_ascii_case("content-length"))
        .and_then(|(_, value)| value.parse().ok())
        .unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(body)
}
