//! One request: parsing of its head, and reading of its body with a size limit.

use std::io::{self, Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use chunked_transfer::Decoder;
use drumshore_core::{ErrorCode, RequestError, SecretKey};

use crate::connection::Input;

/// Maximum number of headers in a request.
const MAX_HEADERS: usize = 64;

const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// The request methods that drumshore's interfaces use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Method {
    /// Reads a resource.
    Get,
    /// Starts an operation, such as a completion.
    Post,
    /// Writes a resource.
    Put,
    /// Removes a resource.
    Delete,
    /// Any other method.
    Other,
}

/// One header of a request or an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Header {
    /// The name, in the case in which it was received.
    pub name: String,
    /// The value without surrounding white space; invalid UTF-8 is replaced.
    pub value: String,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BodyLength {
    None,
    Known(u64),
    Chunked,
}

/// The part of a request before its body.
#[derive(Clone, Debug)]
pub(crate) struct Head {
    pub(crate) method: Method,
    pub(crate) target: String,
    pub(crate) headers: Vec<Header>,
    pub(crate) body: BodyLength,
    pub(crate) keep_alive: bool,
}

/// Why no request could be read.
#[derive(Debug)]
pub(crate) enum HeadError {
    /// The peer closed the connection, or it failed or was idle too long before a request.
    Closed,
    /// The request is refused with this error.
    Refused(RequestError),
}

impl Head {
    /// Reads a head of at most `max_bytes`. The first byte has to arrive within `idle_timeout`, and
    /// the whole head within `read_timeout` after it.
    pub(crate) fn read(
        input: &mut Input,
        max_bytes: usize,
        idle_timeout: Duration,
        read_timeout: Duration,
    ) -> Result<Self, HeadError> {
        if input.buffered().is_empty() {
            input.restart_deadline(idle_timeout);
            match input.fill() {
                Ok(0) | Err(_) => return Err(HeadError::Closed),
                Ok(_) => {}
            }
        }
        input.restart_deadline(read_timeout);
        loop {
            if let Some((head, length)) = parse(input.buffered())? {
                check_size(length, max_bytes)?;
                input.consume(length);
                return Ok(head);
            }
            check_size(input.buffered().len(), max_bytes)?;
            match input.fill() {
                Ok(0) => return Err(HeadError::Closed),
                Ok(_) => {}
                Err(error) => return Err(HeadError::Refused(read_failure(&error))),
            }
        }
    }

    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers
            .find(|header| header.name.eq_ignore_ascii_case(name))
            .map(|header| header.value.as_str())
    }
}

fn check_size(length: usize, max_bytes: usize) -> Result<(), HeadError> {
    if length <= max_bytes {
        return Ok(());
    }
    let message = format!("the head exceeds {max_bytes} bytes");
    Err(HeadError::Refused(RequestError::not_run(
        ErrorCode::HeadersTooLarge,
        message,
    )))
}

fn parse(bytes: &[u8]) -> Result<Option<(Head, usize)>, HeadError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    match request.parse(bytes) {
        Ok(httparse::Status::Partial) => Ok(None),
        Ok(httparse::Status::Complete(length)) => {
            let head =
                head_of(&request).map_err(|message| refused(ErrorCode::BadRequest, message))?;
            Ok(Some((head, length)))
        }
        Err(httparse::Error::TooManyHeaders) => {
            let message = format!("more than {MAX_HEADERS} headers");
            Err(refused(ErrorCode::HeadersTooLarge, &message))
        }
        Err(error) => Err(refused(ErrorCode::BadRequest, &error.to_string())),
    }
}

fn refused(code: ErrorCode, message: &str) -> HeadError {
    HeadError::Refused(RequestError::not_run(code, message))
}

fn head_of(request: &httparse::Request<'_, '_>) -> Result<Head, &'static str> {
    let headers: Vec<Header> = request
        .headers
        .iter()
        .map(|header| Header {
            name: header.name.to_owned(),
            value: String::from_utf8_lossy(header.value).trim().to_owned(),
        })
        .collect();
    let mut head = Head {
        method: match request.method {
            Some("GET") => Method::Get,
            Some("POST") => Method::Post,
            Some("PUT") => Method::Put,
            Some("DELETE") => Method::Delete,
            _ => Method::Other,
        },
        target: request.path.unwrap_or("/").to_owned(),
        headers,
        body: BodyLength::None,
        keep_alive: false,
    };
    head.body = body_length(&head)?;
    let connection = head.header("connection").unwrap_or("").to_ascii_lowercase();
    head.keep_alive = request.version == Some(1) && !connection.contains("close");
    Ok(head)
}

/// Determines how the length of the body is stated. A request that states it more than once is
/// refused, because another server on the path could read the end of the body differently.
fn body_length(head: &Head) -> Result<BodyLength, &'static str> {
    let count = |name: &str| {
        let named = |header: &&Header| header.name.eq_ignore_ascii_case(name);
        head.headers.iter().filter(named).count()
    };
    match (count("content-length"), head.header("transfer-encoding")) {
        (0, None) => Ok(BodyLength::None),
        (0, Some(coding)) if coding.eq_ignore_ascii_case("chunked") => Ok(BodyLength::Chunked),
        (0, Some(_)) => Err("transfer-encoding other than chunked"),
        (1, None) => head
            .header("content-length")
            .and_then(|length| length.parse().ok())
            .map(BodyLength::Known)
            .ok_or("content-length is not a number"),
        _ => Err("the body's length is stated more than once"),
    }
}

/// A request whose head was read; the body can be read from the connection.
#[derive(Debug)]
pub struct Request<'c> {
    head: Head,
    input: &'c mut Input,
    output: &'c TcpStream,
    read_timeout: Duration,
    pub(crate) body_read: bool,
}

impl<'c> Request<'c> {
    pub(crate) fn new(
        head: Head,
        input: &'c mut Input,
        output: &'c TcpStream,
        read_timeout: Duration,
    ) -> Self {
        let body_read = matches!(head.body, BodyLength::None | BodyLength::Known(0));
        Self {
            head,
            input,
            output,
            read_timeout,
            body_read,
        }
    }

    /// The request method.
    pub fn method(&self) -> Method {
        self.head.method
    }

    /// The path of the request target, without the query.
    pub fn path(&self) -> &str {
        let target = self.head.target.as_str();
        target.split_once('?').map_or(target, |(path, _)| path)
    }

    /// The value of the first query parameter of this name, not percent-decoded.
    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.head.target.split_once('?')?;
        query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|(key, _)| *key == name)
            .map(|(_, value)| value)
    }

    /// The value of the first header of this name, in any case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.header(name)
    }

    /// The key of the `authorization` header, if its scheme is `Bearer`.
    pub fn bearer_key(&self) -> Option<SecretKey> {
        let (scheme, key) = self.header("authorization")?.split_once(' ')?;
        scheme
            .eq_ignore_ascii_case("bearer")
            .then(|| SecretKey::new(key.trim()))
    }

    /// Reads the whole body of at most `max_bytes`. Fails if the body is larger, malformed or too
    /// slow.
    pub fn read_body(&mut self, max_bytes: u64) -> Result<Vec<u8>, RequestError> {
        if let BodyLength::Known(length) = self.head.body {
            check_body(length, max_bytes)?;
        }
        let expects = self.header("expect").unwrap_or("");
        if !self.body_read && expects.eq_ignore_ascii_case("100-continue") {
            let mut output = self.output;
            let _ = output.write_all(CONTINUE);
        }
        self.input.restart_deadline(self.read_timeout);
        let mut body = Vec::new();
        let read = match self.head.body {
            BodyLength::None => Ok(0),
            BodyLength::Known(length) => (&mut *self.input).take(length).read_to_end(&mut body),
            BodyLength::Chunked => Decoder::new(&mut *self.input)
                .take(max_bytes + 1)
                .read_to_end(&mut body),
        };
        read.map_err(|error| read_failure(&error))?;
        check_body(body.len() as u64, max_bytes)?;
        if matches!(self.head.body, BodyLength::Known(length) if length > body.len() as u64) {
            let message = "the connection ended within the body";
            return Err(RequestError::not_run(ErrorCode::BadRequest, message));
        }
        self.body_read = true;
        Ok(body)
    }
}

fn check_body(length: u64, max_bytes: u64) -> Result<(), RequestError> {
    if length <= max_bytes {
        return Ok(());
    }
    let message = format!("the body exceeds {max_bytes} bytes");
    Err(RequestError::not_run(ErrorCode::TooLarge, message))
}

fn read_failure(error: &io::Error) -> RequestError {
    if error.kind() == io::ErrorKind::TimedOut {
        return RequestError::not_run(ErrorCode::SlowSender, "the request took too long to arrive");
    }
    RequestError::not_run(ErrorCode::BadRequest, error.to_string())
}
