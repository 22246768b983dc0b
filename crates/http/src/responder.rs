//! Sends answers: complete, streamed, or the error of a refusal.

use std::io::{self, Write};
use std::net::TcpStream;

use drumshore_core::RequestError;
use serde::Serialize;

use crate::stream_body::StreamBody;
use crate::{Header, EXECUTION_HEADER, RETRY_AFTER_MS_HEADER};

/// Whether an answer was sent, as far as the socket reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendOutcome {
    /// The socket accepted all bytes.
    Complete,
    /// The write failed because the caller disconnected or did not read in time.
    CallerGone,
}

/// Sends the answer to one request.
#[derive(Debug)]
pub struct Responder<'c> {
    stream: &'c TcpStream,
    keep_alive: bool,
    headers: Vec<Header>,
}

/// The JSON body of a refusal.
#[derive(Serialize)]
struct ErrorBody<'v> {
    error: ErrorDetail<'v>,
}

#[derive(Serialize)]
struct ErrorDetail<'v> {
    code: &'static str,
    message: &'v str,
    execution: &'static str,
}

impl<'c> Responder<'c> {
    pub(crate) fn new(stream: &'c TcpStream, keep_alive: bool) -> Self {
        Self {
            stream,
            keep_alive,
            headers: Vec::new(),
        }
    }

    /// Adds a header to the answer. Name and value are sent as they are, without validation.
    pub fn add_header(&mut self, name: &str, value: impl ToString) {
        self.headers.push(Header {
            name: name.to_owned(),
            value: value.to_string(),
        });
    }

    /// Sends a complete answer.
    pub fn send(self, status: u16, content_type: &str, body: &[u8]) -> SendOutcome {
        let mut bytes = self.head(status, content_type);
        bytes.extend_from_slice(format!("content-length: {}\r\n\r\n", body.len()).as_bytes());
        bytes.extend_from_slice(body);
        outcome((&mut &*self.stream).write_all(&bytes))
    }

    /// Sends a JSON answer. Sends status 500 if `document` cannot be serialized.
    pub fn send_json(self, status: u16, document: &impl Serialize) -> SendOutcome {
        match serde_json::to_vec(document) {
            Ok(body) => self.send(status, "application/json", &body),
            Err(error) => self.send(500, "text/plain", error.to_string().as_bytes()),
        }
    }

    /// Refuses the request. Status, headers and JSON body all follow from the error.
    pub fn refuse(mut self, error: &RequestError) -> SendOutcome {
        self.add_header(EXECUTION_HEADER, error.execution.as_str());
        if let Some(delay) = error.retry_after {
            let seconds = delay.as_millis().div_ceil(1_000).max(1);
            self.add_header("retry-after", seconds);
            self.add_header(RETRY_AFTER_MS_HEADER, delay.as_millis());
        }
        self.send_json(error.code.status(), &error_body(error))
    }

    /// Sends the head of a streamed answer. Call `flush` on the returned body to send the bytes
    /// written to it as a chunk.
    pub fn start_stream(
        self,
        status: u16,
        content_type: &str,
    ) -> Result<StreamBody<'c>, io::Error> {
        let mut head = self.head(status, content_type);
        head.extend_from_slice(b"transfer-encoding: chunked\r\n\r\n");
        let mut stream = self.stream;
        stream.write_all(&head)?;
        Ok(StreamBody::new(stream))
    }

    fn head(&self, status: u16, content_type: &str) -> Vec<u8> {
        let mut head = format!("HTTP/1.1 {status} {}\r\n", reason(status));
        head.push_str(&format!("content-type: {content_type}\r\n"));
        if !self.keep_alive {
            head.push_str("connection: close\r\n");
        }
        for header in &self.headers {
            head.push_str(&format!("{}: {}\r\n", header.name, header.value));
        }
        head.into_bytes()
    }
}

/// The JSON document that callers receive for an error.
pub(crate) fn error_body(error: &RequestError) -> impl Serialize + '_ {
    ErrorBody {
        error: ErrorDetail {
            code: error.code.as_str(),
            message: &error.message,
            execution: error.execution.as_str(),
        },
    }
}

fn outcome(result: io::Result<()>) -> SendOutcome {
    match result {
        Ok(()) => SendOutcome::Complete,
        Err(_) => SendOutcome::CallerGone,
    }
}

fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        401 => "Unauthorized",
        404 => "Not Found",
        408 => "Request Timeout",
        409 => "Conflict",
        412 => "Precondition Failed",
        413 => "Content Too Large",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Status",
    }
}
